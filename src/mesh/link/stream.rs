//! Reading and writing frames on one connection.

use std::io::Result;

use futures_util::SinkExt;
use hyper::body::Bytes;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use super::frame::encode_frame;
use super::frame::LinkFrame;

/// Largest frame: the largest body that the platform allows, and its head.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Yields the frames that the other side sends.
pub type LinkReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Queues frames for the other side.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::UnboundedSender<Bytes>,
}

impl LinkSender {
    /// Queues a frame; returns whether the link was still open.
    pub fn send(&self, frame: &LinkFrame<'_>, body: &[u8]) -> bool {
        match encode_frame(frame, body) {
            Ok(bytes) => self.queue.send(bytes).is_ok(),
            Err(error) => {
                tracing::error!(%error, "a frame can't be encoded");
                false
            }
        }
    }

    /// Queues a frame that is encoded already; a closed link's reader tells who depends on it.
    pub fn send_encoded(&self, bytes: Bytes) {
        drop(self.queue.send(bytes));
    }

    /// Whether both send on one connection.
    pub fn same_link(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Splits a connection into a reader and a sender with a task that writes.
pub fn open_link(stream: TcpStream) -> (LinkReader, LinkSender) {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let (input, output) = stream.into_split();
    let (queue, frames) = mpsc::unbounded_channel();
    let writer = FramedWrite::new(output, codec.clone());
    tokio::task::spawn_local(async move {
        // The reader sees the end of the connection too and tells who depends on it.
        drop(write_frames(writer, frames).await);
    });
    (FramedRead::new(input, codec), LinkSender { queue })
}

async fn write_frames(
    mut writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
) -> Result<()> {
    while let Some(first) = frames.recv().await {
        // Frames of tasks that ran before this one are in the queue, and one write carries them all.
        writer.feed(first).await?;
        while let Ok(frame) = frames.try_recv() {
            writer.feed(frame).await?;
        }
        SinkExt::<Bytes>::flush(&mut writer).await?;
    }
    SinkExt::<Bytes>::close(&mut writer).await
}
