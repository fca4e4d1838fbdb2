//! Maintains the link to one other daemon: connects, pings, handles replies and reconnects.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::StatusCode;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use super::super::executor::read_hello;
use super::super::executor::CallOutcome;
use super::super::executor::EndpointResponse;
use super::super::fleet::DaemonReport;
use super::super::fleet::DaemonStatus;
use super::super::fleet::Peer;
use super::super::fleet::PeerReply;
use super::super::link::configure_stream;
use super::super::link::decode_frame;
use super::super::link::open_link;
use super::super::link::LinkFrame;
use super::super::link::LinkMessage;
use super::super::link::LinkReader;
use super::super::link::LinkSender;
use super::super::link::ResponseHead;
use super::super::state::MeshState;
use crate::clock::time_since_boot;
use crate::observe::LogEvent;
use crate::transport::is_final_status;

/// Timeout of a connection attempt, and then of the peer's hello frame.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Minimum interval between two pings.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(300);
/// Ping interval per daemon in larger fleets, so that the cost of pings stays constant.
const PING_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);
/// A link without a frame for this many ping intervals is closed.
const MAX_MISSED_PINGS: u32 = 4;
/// Delay before reconnecting after a link broke. Without it, a peer that accepts links and drops
/// them would keep a whole core busy.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Random factor on the backoff.
const BACKOFF_JITTER: std::ops::Range<f64> = 0.7..1.3;
/// Time after which an unreachable daemon is removed; it connects to this one when it returns.
const REMOVE_PEER_AFTER: Duration = Duration::from_secs(60);

/// Maintains a link to a daemon until the daemon is removed.
pub async fn maintain_link(state: Rc<MeshState>, peer: Rc<Peer>) {
    let mut backoff = MIN_BACKOFF;
    let mut last_connected = Instant::now();
    while last_connected.elapsed() < REMOVE_PEER_AFTER {
        match connect(&state, &peer).await {
            Ok((reader, sender)) => {
                run_link(&state, &peer, reader, sender).await;
                peer.detach();
                state.rebuild_service_index();
                let event = LogEvent::PeerUnreachable.number();
                tracing::warn!(event, peer = %peer.address, "lost the link to a peer; reconnecting");
                backoff = MIN_BACKOFF;
                last_connected = Instant::now();
                // A prompt connection attempt shows whether the process is still running.
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => peer.fail_pending_calls(),
            Err(_) => {}
        }
        let jitter = state.rng.borrow_mut().random_range(BACKOFF_JITTER);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    peer.fail_pending_calls();
    state.remove_peer(peer.address);
}

async fn connect(state: &MeshState, peer: &Peer) -> std::io::Result<(LinkReader, LinkSender)> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address)).await??;
    configure_stream(&stream)?;
    let (mut reader, sender) = open_link(stream, &state.link_traffic, &state.body_budget);
    sender.send(&LinkFrame::Hello(state.hello()), &[]);
    let hello = timeout(CONNECT_TIMEOUT, read_hello(&mut reader)).await?;
    let hello = hello.ok_or(ErrorKind::UnexpectedEof)?;
    sender.set_crosses_domains(hello.failure_domain != state.settings().failure_domain);
    let now = state.clock.now();
    peer.attach(
        sender.clone(),
        hello.incarnation,
        &hello.failure_domain,
        now,
    );
    Ok((reader, sender))
}

/// Returns the interval between two pings on a link.
fn ping_interval(daemons: usize) -> Duration {
    MIN_PING_INTERVAL.max(PING_INTERVAL_PER_DAEMON * daemons as u32)
}

async fn run_link(state: &Rc<MeshState>, peer: &Peer, mut reader: LinkReader, sender: LinkSender) {
    let interval = ping_interval(state.linked_daemons());
    let mut link = LinkSession {
        state: state.clone(),
        sequence: 0,
        pinged_at: time_since_boot(),
        behind_since: None,
    };
    let mut last_received = Instant::now();
    let mut next_ping = Instant::now();
    loop {
        if Instant::now() >= next_ping {
            if last_received.elapsed() > interval * MAX_MISSED_PINGS {
                return;
            }
            link.ping(peer, &sender);
            next_ping = Instant::now() + interval;
        }
        let received = tokio::select! {
            received = timeout_at(next_ping, reader.next()) => received,
            () = peer.ping_due.notified() => {
                next_ping = Instant::now();
                continue;
            }
        };
        match received {
            Err(_) => continue,
            Ok(Ok(Some(message))) => {
                last_received = Instant::now();
                peer.record_received();
                if let Err(error) = link.handle_frame(peer, &sender, &message) {
                    tracing::warn!(peer = %peer.address, %error, "cannot decode a frame; closing the link");
                    return;
                }
            }
            Ok(_) => return,
        }
    }
}

/// State of one open link.
struct LinkSession {
    state: Rc<MeshState>,
    /// Sequence number of the last ping.
    sequence: u32,
    /// Time of the last ping, since boot.
    pinged_at: Duration,
    /// Time since which the peer reports a newer configuration than the one in force here.
    behind_since: Option<Instant>,
}

impl LinkSession {
    fn ping(&mut self, peer: &Peer, sender: &LinkSender) {
        peer.record_ping();
        self.sequence += 1;
        self.pinged_at = time_since_boot();
        let sequence = self.sequence;
        sender.send(&LinkFrame::Ping { sequence }, &[]);
    }

    fn handle_frame(
        &mut self,
        peer: &Peer,
        sender: &LinkSender,
        message: &LinkMessage,
    ) -> Result<(), postcard::Error> {
        let bytes = &message.bytes;
        let (frame, body_offset) = decode_frame(bytes)?;
        match frame {
            LinkFrame::Pong { sequence, status } => {
                self.handle_status(peer, sequence, &status);
                self.follow_version(peer, sender, status.config_version);
            }
            LinkFrame::Report(report) => {
                let version = report.config_version;
                let state = self.state.clone();
                state.measure_control_time(|| self.handle_report(peer, report));
                self.follow_version(peer, sender, version);
            }
            LinkFrame::Response(head) if message.truncated => {
                tracing::warn!(
                    peer = %peer.address,
                    held_bytes = self.state.body_budget.held(),
                    "no memory for the body of a response"
                );
                peer.record_load(head.in_hand);
                peer.resolve(head.call, PeerReply::Outcome(CallOutcome::Unknown));
            }
            LinkFrame::Response(head) => {
                peer.record_load(head.in_hand);
                let call = head.call;
                let outcome = self.decode_response(peer, head, bytes.slice(body_offset..));
                peer.resolve(call, PeerReply::Outcome(outcome));
            }
            LinkFrame::Refused {
                call,
                cause,
                in_hand,
            } => {
                peer.record_load(in_hand);
                peer.resolve(call, PeerReply::Outcome(CallOutcome::Refused(cause)));
            }
            LinkFrame::Unknown { call, in_hand } => {
                peer.record_load(in_hand);
                peer.resolve(call, PeerReply::Outcome(CallOutcome::Unknown));
            }
            LinkFrame::Config { .. } => {
                let raw = Bytes::copy_from_slice(&bytes[body_offset..]);
                self.state.apply_config(&raw, "peer");
            }
            _ => tracing::warn!(
                peer = %peer.address,
                "ignoring a frame that only the connecting side of a link may send"
            ),
        }
        Ok(())
    }

    /// Returns the outcome that a response says. The daemon that sent it may be of another version, which
    /// forwards more statuses.
    fn decode_response(&self, peer: &Peer, head: ResponseHead<'_>, body: Bytes) -> CallOutcome {
        let status = StatusCode::from_u16(head.status).ok();
        let Some(status) = status.filter(|status| is_final_status(*status)) else {
            let (call, status) = (head.call, head.status);
            let event = LogEvent::CallUnknown.number();
            tracing::warn!(event, peer = %peer.address, call, status, "no final response has this status");
            return CallOutcome::Unknown;
        };
        CallOutcome::Completed(EndpointResponse {
            status,
            headers: self.state.header_codec.decode(&head.headers),
            usage: head.usage,
            body,
        })
    }

    fn handle_status(&mut self, peer: &Peer, sequence: u32, status: &DaemonStatus) {
        peer.handle_status(status);
        self.state.apply_evacuations(&status.evacuations, "peer");
        if sequence != self.sequence {
            return;
        }
        if let Some(age) = status.proof_age_ms {
            // The peer measured the age after the ping was sent, so its proof is at least as new
            // as the difference.
            let age = Duration::from_millis(u64::from(age));
            let proven_at = self.pinged_at.saturating_sub(age);
            self.state.record_proof(status.config_version, proven_at);
        }
    }

    fn handle_report(&mut self, peer: &Peer, report: DaemonReport) {
        // A configuration that the peer reports is put in force only after its evacuations.
        self.state.apply_evacuations(&report.evacuations, "peer");
        if peer.handle_report(report) {
            self.state.rebuild_service_index();
        }
    }

    /// Requests the peer's configuration if it is newer than the one in force here.
    fn follow_version(&mut self, peer: &Peer, sender: &LinkSender, version: u64) {
        if version <= self.state.config_version() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert_with(Instant::now);
        if self.state.begin_config_request(peer, since.elapsed()) {
            self.behind_since = None;
            sender.send(&LinkFrame::RequestConfig, &[]);
        }
    }
}
