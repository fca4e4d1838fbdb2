//! Connection that an HTTP server reads and writes while its owner watches for its end.

use std::future::poll_fn;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::timeout_at;
use tokio::time::Instant;
use tokio_util::bytes::BytesMut;

/// Time without a byte from the peer after which a closed connection is dropped.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which the bytes of a peer are read after a connection was closed.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);
/// Size of a read whose bytes are discarded.
const DISCARD_BYTES: usize = 16 * 1024;

/// Maximum number of bytes that are read before the server asks for them.
const MAX_AHEAD_BYTES: usize = 64 * 1024;
/// Size of a read whose bytes are kept for the server.
const AHEAD_READ_BYTES: usize = 4096;
/// Interval between two checks for the peer's end behind more bytes than are read ahead.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Handle of a connection; the server has one and the owner of the connection another.
#[derive(Debug, Clone)]
pub struct SharedStream {
    state: Arc<Mutex<StreamState>>,
}

#[derive(Debug)]
struct StreamState {
    stream: TcpStream,
    /// Bytes that were read before the server asked for them.
    ahead: BytesMut,
    /// True if the server's last read found no bytes, so that it sees the end of the connection itself.
    server_waits: bool,
    phase: RequestPhase,
    /// True once the connection has failed or the peer has closed its side.
    ended: bool,
}

/// Progress of the request that the server handles.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestPhase {
    /// There is none, or its response is being written.
    Idle,
    /// The server reads the request's body.
    ReceivesBody,
    /// The request's body was received or given up.
    AwaitsResponse,
}

impl SharedStream {
    /// Shares a connection.
    pub fn from_stream(stream: TcpStream) -> Self {
        let state = StreamState {
            stream,
            ahead: BytesMut::new(),
            server_waits: false,
            phase: RequestPhase::Idle,
            ended: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records that the server handles a request from now on and reads its body.
    pub fn begin_request(&self) {
        self.lock().phase = RequestPhase::ReceivesBody;
    }

    /// Records that the body of the request was received or given up.
    pub fn end_body(&self) {
        let mut state = self.lock();
        if state.phase == RequestPhase::ReceivesBody {
            state.phase = RequestPhase::AwaitsResponse;
        }
    }

    /// Records that the request has its response.
    pub fn end_request(&self) {
        self.lock().phase = RequestPhase::Idle;
    }

    /// Waits until the peer has left while a request of it awaits its response.
    ///
    /// The server stops reading once it holds bytes of a further request, and would not see the end of the
    /// connection before it takes up that request. The bytes that are read here are given to it later. See
    /// `docs/incidents/callers-that-sent-ahead-and-left.md`. The task that runs the server must poll this
    /// future after the server's.
    pub async fn wait_for_peer_end(&self) {
        loop {
            poll_fn(|context| self.poll_ahead(context)).await;
            if self.is_closed_by_peer() {
                return;
            }
            tokio::time::sleep(END_CHECK_INTERVAL).await;
        }
    }

    /// Reads ahead; ready at the end of the connection, or if no more bytes may be read.
    fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        loop {
            if state.phase != RequestPhase::AwaitsResponse || state.server_waits {
                return Poll::Pending;
            }
            if state.ended || state.ahead.len() >= MAX_AHEAD_BYTES {
                return Poll::Ready(());
            }
            let mut bytes = [0; AHEAD_READ_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            // An error ends the connection, which is all that matters here.
            drop(ready!(state.poll_read(context, &mut buffer)));
            state.ahead.extend_from_slice(buffer.filled());
        }
    }

    fn is_closed_by_peer(&self) -> bool {
        let state = self.lock();
        // The end is reported even if there are bytes before it that nobody has read.
        let ready = state.stream.ready(Interest::READABLE).now_or_never();
        state.ended || matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
    }

    /// Closes the connection so that the peer can read all that was written to it.
    ///
    /// The system resets a connection that is closed with unread bytes and discards what it has not sent
    /// yet. So only the writing side is closed at first, and what the peer still sends is read and discarded
    /// until it closes its side, sends nothing for [`LINGER_IDLE_TIMEOUT`] or [`MAX_LINGER_TIME`] is over. See
    /// `docs/incidents/reset-with-unread-bytes.md`.
    pub async fn close(self) {
        if self.lock().ended {
            return;
        }
        let shut_down = poll_fn(|context| Pin::new(&mut self.lock().stream).poll_shutdown(context));
        // A connection that can't be shut down has failed already.
        if shut_down.await.is_err() {
            return;
        }
        let give_up_at = Instant::now() + MAX_LINGER_TIME;
        let mut buffer = vec![0; DISCARD_BYTES];
        loop {
            let wait_until = give_up_at.min(Instant::now() + LINGER_IDLE_TIMEOUT);
            let discard = poll_fn(|context| self.poll_discard(context, &mut buffer));
            let is_open = timeout_at(wait_until, discard).await;
            if is_open != Ok(true) || Instant::now() >= give_up_at {
                return;
            }
        }
    }

    /// Discards what the peer has sent; returns false at the end of the connection.
    fn poll_discard(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<bool> {
        let mut state = self.lock();
        let mut bytes = ReadBuf::new(buffer);
        let result = ready!(state.poll_read(context, &mut bytes));
        Poll::Ready(result.is_ok() && !state.ended)
    }

    fn lock(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamState {
    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.ended {
            return Poll::Ready(Ok(()));
        }
        let filled = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.ended = result.is_err() || buffer.filled().len() == filled;
        Poll::Ready(result)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let mut state = self.lock();
        if !state.ahead.is_empty() {
            let length = state.ahead.len().min(buffer.remaining());
            buffer.put_slice(&state.ahead.split_to(length));
            state.server_waits = false;
            return Poll::Ready(Ok(()));
        }
        let poll = state.poll_read(context, buffer);
        state.server_waits = poll.is_pending();
        poll
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }
}
