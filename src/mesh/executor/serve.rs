//! Serves the links that other daemons open.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::Method;
use hyper::Uri;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use super::super::fleet::daemon_order;
use super::super::fleet::hash_name;
use super::super::link::configure_stream;
use super::super::link::decode_frame;
use super::super::link::encode_frame;
use super::super::link::open_link;
use super::super::link::LinkFrame;
use super::super::link::LinkHello;
use super::super::link::LinkMessage;
use super::super::link::LinkReader;
use super::super::link::LinkSender;
use super::super::link::RefusalCause;
use super::super::link::ResponseHead;
use super::super::link::SubmitHead;
use super::super::state::MeshState;
use super::call::CallOutcome;
use super::call::CallRequest;
use super::calls::CallId;
use super::calls::CallState;

/// Time without a frame after which a link is closed; peers ping more often than this.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links until the task is dropped.
pub async fn accept_links(state: Rc<MeshState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                tokio::task::spawn_local(async move {
                    serve_link(state, stream).await;
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a link");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_link(state: Rc<MeshState>, stream: TcpStream) {
    if let Err(error) = configure_stream(&stream) {
        tracing::warn!(%error, "cannot set the socket options of a link");
    }
    let (mut reader, sender) = open_link(stream, &state.link_traffic, &state.body_budget);
    let Some(hello) = read_hello(&mut reader).await else {
        return;
    };
    sender.set_crosses_domains(hello.failure_domain != state.settings().failure_domain);
    sender.send(&LinkFrame::Hello(state.hello()), &[]);
    state.add_peer(hello.address);
    for address in &hello.known {
        state.add_peer(*address);
    }
    sender.send(&LinkFrame::Report(state.report()), &[]);
    let _guard = LinkGuard::from_state(&state);
    state.add_subscriber(sender.clone());
    while let Ok(Ok(Some(message))) = timeout(SILENCE_TIMEOUT, reader.next()).await {
        if let Err(error) = handle_frame(&state, &hello, &sender, &message) {
            tracing::warn!(peer = %hello.address, %error, "cannot decode a frame; closing the link");
            break;
        }
    }
    let now = Instant::now();
    let mut calls = state.calls.borrow_mut();
    calls.close_link(hello.incarnation, &sender, now);
}

/// Counts a link as open until the peer has closed it.
struct LinkGuard<'a> {
    state: &'a MeshState,
}

impl<'a> LinkGuard<'a> {
    fn from_state(state: &'a MeshState) -> Self {
        state.adjust_open_links(1);
        Self { state }
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.state.adjust_open_links(-1);
    }
}

/// Reads the first frame of a link; returns none if it is missing or is not a hello frame.
pub async fn read_hello(reader: &mut LinkReader) -> Option<LinkHello> {
    let message = timeout(SILENCE_TIMEOUT, reader.next()).await.ok()?.ok()??;
    match decode_frame(&message.bytes) {
        Ok((LinkFrame::Hello(hello), _)) => Some(hello),
        _ => None,
    }
}

fn handle_frame(
    state: &Rc<MeshState>,
    hello: &LinkHello,
    sender: &LinkSender,
    message: &LinkMessage,
) -> Result<(), postcard::Error> {
    let incarnation = hello.incarnation;
    let bytes = &message.bytes;
    let (frame, body_offset) = decode_frame(bytes)?;
    match frame {
        LinkFrame::Ping { sequence } => {
            let status = state.status();
            sender.send(&LinkFrame::Pong { sequence, status }, &[]);
        }
        LinkFrame::Submit(head) if message.truncated => {
            refuse(state, head.call, sender, RefusalCause::NoMemory);
        }
        LinkFrame::Submit(head) => {
            let body = bytes.slice(body_offset..);
            let caller_domain = hash_name(&hello.failure_domain);
            let id = (incarnation, head.call);
            start_call(state, id, caller_domain, sender, &head, body);
        }
        LinkFrame::Cancel { call } => {
            let mut calls = state.calls.borrow_mut();
            calls.cancel((incarnation, call), Instant::now());
        }
        LinkFrame::Resume { call } => resume_call(state, (incarnation, call), sender),
        LinkFrame::Demand(report) => {
            let mut table = state.relay_table.borrow_mut();
            table.record_member(daemon_order(hello.address), report, state.now());
        }
        LinkFrame::DomainDemand { domain, report } => {
            let mut table = state.relay_table.borrow_mut();
            table.record_domain(domain, daemon_order(hello.address), report, state.now());
        }
        LinkFrame::OthersDemand(report) => {
            let mut view = state.demand_view.borrow_mut();
            view.record(daemon_order(hello.address), report, state.now());
        }
        LinkFrame::RequestConfig => {
            let (version, raw) = state.raw_config();
            sender.send(&LinkFrame::Config { version }, &raw);
        }
        _ => tracing::warn!(
            incarnation,
            "ignoring a frame that only the accepting side of a link may send"
        ),
    }
    Ok(())
}

fn start_call(
    state: &Rc<MeshState>,
    id: CallId,
    caller_domain: u32,
    sender: &LinkSender,
    head: &SubmitHead<'_>,
    body: Bytes,
) {
    let parsed = Method::from_bytes(head.method.as_bytes())
        .ok()
        .zip(Uri::try_from(head.target).ok());
    let Some((method, target)) = parsed else {
        tracing::error!(target = head.target, "invalid method or target in a call");
        let cause = RefusalCause::EndpointGone;
        refuse(state, id.1, sender, cause);
        return;
    };
    let forwarded = Rc::new(Cell::new(false));
    let running = CallState::Running {
        forwarded: forwarded.clone(),
        idempotent: head.idempotent,
        task: None,
        reply_to: sender.clone(),
    };
    if !state.calls.borrow_mut().insert(id, running) {
        return;
    }
    let request = CallRequest {
        method,
        target,
        headers: state.header_codec.decode(&head.headers),
        body,
        service: Rc::from(head.service),
        idempotent: head.idempotent,
        origin: head.origin,
        caller_domain,
        deadline: state.clock.now() + Duration::from_millis(u64::from(head.remaining_ms)),
        queue_timeout: Duration::from_millis(u64::from(head.queue_timeout_ms)),
    };
    let task_state = state.clone();
    let task = tokio::task::spawn_local(async move {
        let outcome = task_state.executor.run(&request, &forwarded).await;
        if let CallOutcome::Refused(cause) = &outcome {
            task_state.executor.log_refusal(&request, *cause);
        }
        complete_call(&task_state, id, outcome);
    });
    state.calls.borrow_mut().set_task(id, task.abort_handle());
}

fn complete_call(state: &MeshState, id: CallId, outcome: CallOutcome) {
    let call = id.1;
    let in_hand = state.executor.in_hand();
    let frame = match &outcome {
        CallOutcome::Completed(response) => {
            let head = ResponseHead {
                call,
                status: response.status.as_u16(),
                headers: state.header_codec.encode_response(&response.headers),
                usage: response.usage.clone(),
                in_hand,
            };
            encode_frame(&LinkFrame::Response(head), &response.body)
        }
        CallOutcome::Refused(cause) => {
            let cause = *cause;
            encode_frame(
                &LinkFrame::Refused {
                    call,
                    cause,
                    in_hand,
                },
                &[],
            )
        }
        CallOutcome::Unknown => encode_frame(&LinkFrame::Unknown { call, in_hand }, &[]),
    };
    // The frame holds a copy of the body from here on.
    drop(outcome);
    match frame {
        Ok(encoded) => {
            let encoded = encoded.reserve(&state.body_budget);
            let mut calls = state.calls.borrow_mut();
            if let Some(link) = calls.complete(id, encoded.clone(), Instant::now()) {
                link.send_encoded(&encoded);
            }
        }
        Err(error) => tracing::error!(%error, call, "cannot encode the outcome of a call"),
    }
}

fn resume_call(state: &MeshState, id: CallId, sender: &LinkSender) {
    let mut calls = state.calls.borrow_mut();
    match calls.resume(id, sender, Instant::now()) {
        CallState::Running { .. } => {}
        CallState::Completed(encoded) => {
            sender.send_encoded(encoded);
        }
        CallState::Forgotten => {
            let (call, in_hand) = (id.1, state.executor.in_hand());
            sender.send(&LinkFrame::Unknown { call, in_hand }, &[]);
        }
        CallState::Rejected => refuse(state, id.1, sender, RefusalCause::EndpointGone),
    }
}

fn refuse(state: &MeshState, call: u64, sender: &LinkSender, cause: RefusalCause) {
    let in_hand = state.executor.in_hand();
    sender.send(
        &LinkFrame::Refused {
            call,
            cause,
            in_hand,
        },
        &[],
    );
}
