//! Bounds the bytes that an endpoint can send for one part of a response.
//!
//! hyper reads interim responses and chunks without a bound on their number. An endpoint that sends them
//! without end would keep the thread busy, which all requests share.

use std::cell::Cell;
use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Number of bytes that may still be read from a connection, shared with its user.
#[derive(Debug, Clone)]
pub struct ReadAllowance {
    bytes: Rc<Cell<usize>>,
}

impl ReadAllowance {
    /// Creates an allowance of this many bytes.
    pub fn from_bytes(bytes: usize) -> Self {
        Self {
            bytes: Rc::new(Cell::new(bytes)),
        }
    }

    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.bytes.set(bytes);
    }
}

/// Connection that fails once more bytes are read than the allowance permits.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    /// Wraps a connection.
    pub fn from_stream(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        let filled = buffer.filled().len();
        let poll = Pin::new(&mut this.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - filled;
        match this.allowance.bytes.get().checked_sub(read) {
            Some(rest) => this.allowance.bytes.set(rest),
            None => {
                let text = "the endpoint sends more bytes than a response has";
                return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, text)));
            }
        }
        poll
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
