//! Reads and writes frames on one connection.

use std::cell::Cell;
use std::io::Result;
use std::rc::Rc;

use futures_util::StreamExt;
use hyper::body::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::bytes::BytesMut;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use super::super::body_budget::BodyBudget;
use super::frame::encode_frame;
use super::frame::EncodedFrame;
use super::frame::LinkFrame;
use super::segments::LinkMessage;
use super::segments::SegmentQueue;
use super::segments::SegmentTable;
use super::segments::MAX_PACKET_BYTES;
use super::segments::SEGMENT_BYTES;
use super::traffic::LinkTraffic;

/// Initial size of a link's read buffer: most messages fit, a longer one enlarges it, and a daemon has
/// two links for each other one.
const READ_BUFFER_BYTES: usize = 1024;
/// Capacity of a write buffer up to which an idle link keeps it.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;

/// Message after which no other one is written. No frame is empty.
const END_OF_FRAMES: Bytes = Bytes::new();

/// Reads the messages that the peer sends.
#[derive(Debug)]
pub struct LinkReader {
    packets: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    segments: SegmentTable,
}

impl LinkReader {
    /// Returns the next message, or none at the end of the connection. Dropping the future loses
    /// nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or carries an invalid packet.
    pub async fn next(&mut self) -> Result<Option<LinkMessage>> {
        while let Some(packet) = self.packets.next().await {
            if let Some(message) = self.segments.receive(packet?)? {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }
}

/// Queues frames to be sent to the peer.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::UnboundedSender<Bytes>,
    /// Number of messages that are not yet written to the connection.
    unsent: Rc<Cell<usize>>,
    traffic: Rc<LinkTraffic>,
    crosses_domains: Rc<Cell<bool>>,
}

impl LinkSender {
    /// Queues a frame; returns false if the link is closed or the frame cannot be encoded.
    pub fn send(&self, frame: &LinkFrame<'_>, body: &[u8]) -> bool {
        match encode_frame(frame, body) {
            Ok(encoded) => self.send_encoded(&encoded),
            Err(error) => {
                tracing::error!(%error, "cannot encode a frame");
                false
            }
        }
    }

    /// Queues an encoded frame; returns false if the link is closed.
    pub fn send_encoded(&self, frame: &EncodedFrame) -> bool {
        let sent = self.queue.send(frame.bytes.clone()).is_ok();
        if sent {
            self.unsent.set(self.unsent.get() + 1);
            let crosses = self.crosses_domains.get();
            let head_bytes = frame.bytes.len() - frame.body_bytes;
            self.traffic
                .record_head(frame.head_cause, crosses, head_bytes);
            self.traffic
                .record_body(frame.body_cause, crosses, frame.body_bytes);
        }
        sent
    }

    /// Queues the end of the connection, which is written after all frames that are queued already.
    pub fn close(&self) {
        // If the queue is closed, the connection has ended.
        drop(self.queue.send(END_OF_FRAMES));
    }

    /// Sets whether the peer is in another failure domain, for the byte counts. Until the peer is
    /// identified, its bytes count as sent to another one.
    pub fn set_crosses_domains(&self, crosses: bool) {
        self.crosses_domains.set(crosses);
    }

    /// Returns true if both senders belong to the same connection.
    pub fn same_link(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }

    /// Returns true if messages wait to be written to the connection.
    pub fn has_unsent(&self) -> bool {
        self.unsent.get() > 0 && !self.is_closed()
    }

    /// Returns true if the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Splits a connection into a reader and a sender, and spawns the task that writes queued frames.
///
/// The bytes that are sent are added to `traffic`, and large messages that are received count in
/// `budget`.
pub fn open_link(
    stream: TcpStream,
    traffic: &Rc<LinkTraffic>,
    budget: &BodyBudget,
) -> (LinkReader, LinkSender) {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_PACKET_BYTES)
        .new_codec();
    let (input, output) = stream.into_split();
    let (queue, frames) = mpsc::unbounded_channel();
    let unsent = Rc::new(Cell::new(0));
    let counter = unsent.clone();
    tokio::task::spawn_local(async move {
        // The reader detects the end of the connection too, so a write error is ignored here.
        drop(write_frames(output, frames, &counter).await);
    });
    let sender = LinkSender {
        queue,
        unsent,
        traffic: traffic.clone(),
        crosses_domains: Rc::new(Cell::new(true)),
    };
    let reader = LinkReader {
        packets: FramedRead::with_capacity(input, codec, READ_BUFFER_BYTES),
        segments: SegmentTable::from_budget(budget.clone()),
    };
    (reader, sender)
}

async fn write_frames(
    mut output: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Bytes>,
    unsent: &Cell<usize>,
) -> Result<()> {
    let mut segments = SegmentQueue::default();
    let mut buffer = BytesMut::new();
    while let Some(first) = frames.recv().await {
        let mut next = Some(first);
        let mut taken = 0;
        loop {
            // Other tasks may have queued more messages by now; they are sent with one write.
            while let Some(message) = next.take().or_else(|| frames.try_recv().ok()) {
                if message == END_OF_FRAMES {
                    frames.close();
                    continue;
                }
                taken += 1;
                segments.push(message, &mut buffer);
                if buffer.len() >= SEGMENT_BYTES {
                    output.write_all_buf(&mut buffer).await?;
                }
            }
            // Small messages that are queued while a segment is written go before the next one.
            if !segments.next_segment(&mut buffer) {
                break;
            }
            output.write_all_buf(&mut buffer).await?;
        }
        output.write_all_buf(&mut buffer).await?;
        unsent.set(unsent.get() - taken);
        if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            buffer = BytesMut::new();
        }
    }
    output.shutdown().await
}
