//! Body of a request that reports when it is no longer read.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use super::shared_stream::SharedStream;

/// Body of a request. While it exists, only the server reads the connection.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    stream: SharedStream,
}

impl RequestBody {
    /// Wraps the body of a request that arrived on `stream`.
    pub fn from_incoming(incoming: Incoming, stream: SharedStream) -> Self {
        Self { incoming, stream }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.stream.end_body();
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
