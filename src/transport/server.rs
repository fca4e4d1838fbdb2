//! Serves HTTP requests on one connection and closes it without loss of a response.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;

use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::request_body::RequestBody;
use super::shared_stream::SharedStream;

/// Reasons for which a connection ended early.
#[derive(Debug, Error)]
pub enum ConnectionError {
    #[error("the connection failed or carries no valid requests: {0}")]
    Failed(#[from] hyper::Error),
    #[error("the caller closed the connection before it had its response")]
    CallerLeft,
}

/// Serves a connection until it ends, or until its last response once `stopped` is true.
///
/// A request whose caller leaves is dropped, and so are those that the caller has sent behind it.
///
/// # Errors
///
/// Returns an error if the connection fails, carries no valid requests or is closed by a caller that still
/// awaits a response.
pub async fn serve_connection<S, F>(
    stream: TcpStream,
    builder: &http1::Builder,
    respond: S,
    mut stopped: watch::Receiver<bool>,
) -> Result<(), ConnectionError>
where
    S: Fn(Request<RequestBody>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let stream = SharedStream::from_stream(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let stream = &stream;
        stream.begin_request();
        let request = request.map(|body| RequestBody::from_incoming(body, stream.clone()));
        // An async block would hold the future twice: as its capture and as what it awaits.
        respond(request).map(|response| {
            stream.end_request();
            Ok::<_, Infallible>(response)
        })
    });
    let served = {
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream.clone()), service));
        let stop = async { drop(stopped.wait_for(|stop| *stop).await) };
        let server = async {
            let served = tokio::select! {
                served = &mut connection => Some(served),
                () = stop => None,
            };
            match served {
                Some(served) => served,
                None => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        };
        // The server is polled first: it may read the bytes itself.
        tokio::select! {
            biased;
            served = server => served.map_err(ConnectionError::from),
            () = stream.wait_for_peer_end() => Err(ConnectionError::CallerLeft),
        }
    };
    stream.close().await;
    served
}
