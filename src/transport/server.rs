//! Serves HTTP requests on one connection and closes it without loss of a response.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::shared_stream::SharedStream;

/// Serves a connection until it ends, or until its last response once `stopped` is true.
///
/// # Errors
///
/// Returns an error if the connection fails or carries no valid requests.
pub async fn serve_connection<S, F>(
    stream: TcpStream,
    builder: &http1::Builder,
    respond: S,
    mut stopped: watch::Receiver<bool>,
) -> hyper::Result<()>
where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let stream = SharedStream::from_stream(stream);
    let service = service_fn(|request| {
        let response = respond(request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let served = {
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream.clone()), service));
        let stop = async { drop(stopped.wait_for(|stop| *stop).await) };
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
    stream.close().await;
    served
}
