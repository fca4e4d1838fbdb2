//! Serves the endpoint, and a forwarder on pooled HTTP/1.1 connections for comparison.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use marigoldhatch::transport::ConnectionPool;
use marigoldhatch::transport::SendOptions;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

const MAX_RESPONSE_BYTES: usize = 1 << 20;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE_BODY: &[u8] = &[b'a'; 600];

/// Serves an endpoint that responds to each request with a small body, until `stop` completes.
pub async fn serve_endpoint(address: SocketAddr, stop: oneshot::Receiver<()>) {
    serve(address, stop, |request| async move {
        endpoint_response(request.headers())
    })
    .await;
}

/// Returns a small response that a daemon accepts as the endpoint's own.
pub fn endpoint_response(request_headers: &HeaderMap) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(RESPONSE_BODY)));
    let headers = response.headers_mut();
    if let Some(attempt) = request_headers.get("x-attempt") {
        headers.insert("x-attempt", attempt.clone());
    }
    headers.insert("x-seal", HeaderValue::from_static("1.2.3"));
    response
}

/// Serves a forwarder that sends each request to `next`, until `stop` completes.
pub async fn serve_forwarder(address: SocketAddr, next: SocketAddr, stop: oneshot::Receiver<()>) {
    let pool = Rc::new(ConnectionPool::default());
    serve(address, stop, move |request| {
        let pool = pool.clone();
        async move {
            let (head, _) = request.into_parts();
            let request = Request::from_parts(head, Full::new(Bytes::new()));
            let options = SendOptions {
                deadline: Instant::now() + REQUEST_TIMEOUT,
                max_answer_bytes: MAX_RESPONSE_BYTES,
                new_connection: false,
            };
            match pool.send(next, request, options).await {
                Ok(buffered) => {
                    let mut response = Response::new(Full::new(buffered.body));
                    *response.status_mut() = buffered.status;
                    *response.headers_mut() = buffered.headers;
                    response
                }
                Err(_) => {
                    let mut response = Response::new(Full::new(Bytes::new()));
                    *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
                    response
                }
            }
        }
    })
    .await;
}

/// Accepts connections and serves them with `handle` until `stop` completes.
pub async fn serve<H, A>(address: SocketAddr, stop: oneshot::Receiver<()>, handle: H)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .expect("failed to bind the listener");
    let handle = Rc::new(handle);
    let accept_loop = async {
        loop {
            let (stream, _) = listener
                .accept()
                .await
                .expect("failed to accept a connection");
            stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
            tokio::task::spawn_local(serve_connection(stream, handle.clone()));
        }
    };
    tokio::select! {
        () = accept_loop => {}
        _ = stop => {}
    }
}

async fn serve_connection<H, A>(stream: TcpStream, handle: Rc<H>)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let result = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error is expected: callers close their connections when the measurement ends.
    drop(result.await);
}
