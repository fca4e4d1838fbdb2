//! Reads and writes frames on one connection.

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

/// Maximum size of a frame: the largest body that the platform allows, with its head.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Stream of the frames that the peer sends.
pub type LinkReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Queues frames to be sent to the peer.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::UnboundedSender<Bytes>,
}

impl LinkSender {
    /// Queues a frame; returns false if the link is closed or the frame cannot be encoded.
    pub fn send(&self, frame: &LinkFrame<'_>, body: &[u8]) -> bool {
        match encode_frame(frame, body) {
            Ok(bytes) => self.queue.send(bytes).is_ok(),
            Err(error) => {
                tracing::error!(%error, "cannot encode a frame");
                false
            }
        }
    }

    /// Queues an encoded frame. A closed link is ignored here, because its reader handles it.
    pub fn send_encoded(&self, bytes: Bytes) {
        drop(self.queue.send(bytes));
    }

    /// Returns true if both senders belong to the same connection.
    pub fn same_link(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Returns true if the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Splits a connection into a reader and a sender, and spawns the task that writes queued frames.
pub fn open_link(stream: TcpStream) -> (LinkReader, LinkSender) {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let (input, output) = stream.into_split();
    let (queue, frames) = mpsc::unbounded_channel();
    let writer = FramedWrite::new(output, codec.clone());
    tokio::task::spawn_local(async move {
        // The reader detects the end of the connection too, so a write error is ignored here.
        drop(write_frames(writer, frames).await);
    });
    (FramedRead::new(input, codec), LinkSender { queue })
}

async fn write_frames(
    mut writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
) -> Result<()> {
    while let Some(first) = frames.recv().await {
        // Other tasks may have queued more frames by now; they are sent with one flush.
        writer.feed(first).await?;
        while let Ok(frame) = frames.try_recv() {
            writer.feed(frame).await?;
        }
        SinkExt::<Bytes>::flush(&mut writer).await?;
    }
    SinkExt::<Bytes>::close(&mut writer).await
}
