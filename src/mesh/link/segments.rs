//! Splits large messages into segments, so that small ones do not wait behind them.
//!
//! Each packet comes after its length. It begins with its kind. A small message is one packet. The segments of a large message
//! carry its number, and segments of other messages may come between them.

use std::collections::HashMap;
use std::collections::VecDeque;

use hyper::body::Bytes;
use tokio_util::bytes::Buf;
use tokio_util::bytes::BufMut;
use tokio_util::bytes::BytesMut;

use super::super::body_budget::BodyBudget;
use super::super::body_budget::BodyReservation;

/// Size of a segment in bytes: at 100 Mbit/s it occupies a connection for about a millisecond.
pub const SEGMENT_BYTES: usize = 16 * 1024;
/// Bytes of a message that are kept even if the body budget is exhausted. They hold its head, so
/// that the receiver can refuse the call.
const MIN_KEPT_BYTES: usize = 128 * 1024;

const KIND_WHOLE: u8 = 0;
const KIND_SEGMENT: u8 = 1;
const KIND_LAST_SEGMENT: u8 = 2;
/// Length of a packet, which comes before it on a connection.
const LENGTH_BYTES: usize = 4;
/// Kind and message number.
const SEGMENT_HEADER_BYTES: usize = 5;

/// Maximum size of a packet.
pub const MAX_PACKET_BYTES: usize = SEGMENT_BYTES + SEGMENT_HEADER_BYTES;

/// Large messages that are being sent, a segment of each in turn.
#[derive(Debug, Default)]
pub struct SegmentQueue {
    next_number: u32,
    sending: VecDeque<(u32, Bytes)>,
}

impl SegmentQueue {
    /// Appends the packet of a small message, with its length before it, to `output` and returns true, or
    /// queues a large message and returns false.
    pub fn push(&mut self, message: Bytes, output: &mut BytesMut) -> bool {
        if message.len() <= SEGMENT_BYTES {
            let packet_bytes = 1 + message.len();
            output.reserve(LENGTH_BYTES + packet_bytes);
            output.put_u32(packet_bytes as u32);
            output.put_u8(KIND_WHOLE);
            output.extend_from_slice(&message);
            return true;
        }
        self.next_number = self.next_number.wrapping_add(1);
        self.sending.push_back((self.next_number, message));
        false
    }

    /// Appends the packet of the next segment, with its length before it, to `output`; returns false if no
    /// large message is being sent.
    pub fn next_segment(&mut self, output: &mut BytesMut) -> bool {
        let Some((number, mut message)) = self.sending.pop_front() else {
            return false;
        };
        let segment = message.split_to(SEGMENT_BYTES.min(message.len()));
        let kind = if message.is_empty() {
            KIND_LAST_SEGMENT
        } else {
            KIND_SEGMENT
        };
        let packet_bytes = SEGMENT_HEADER_BYTES + segment.len();
        output.reserve(LENGTH_BYTES + packet_bytes);
        output.put_u32(packet_bytes as u32);
        output.put_u8(kind);
        output.put_u32(number);
        output.extend_from_slice(&segment);
        if !message.is_empty() {
            self.sending.push_back((number, message));
        }
        true
    }
}

/// A complete message, or the beginning of one that the body budget had no room for.
#[derive(Debug)]
pub struct LinkMessage {
    pub bytes: Bytes,
    pub truncated: bool,
}

/// Large messages that are being received.
#[derive(Debug)]
pub struct SegmentTable {
    budget: BodyBudget,
    receiving: HashMap<u32, PartialMessage>,
}

#[derive(Debug)]
struct PartialMessage {
    bytes: BytesMut,
    reservation: BodyReservation,
    truncated: bool,
}

impl SegmentTable {
    /// Creates a table whose messages are counted in `budget`.
    pub fn from_budget(budget: BodyBudget) -> Self {
        Self {
            budget,
            receiving: HashMap::new(),
        }
    }

    /// Handles a packet; returns the message that it completes, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet has an unknown kind or no message number.
    pub fn receive(&mut self, mut packet: BytesMut) -> std::io::Result<Option<LinkMessage>> {
        let kind = packet.first().copied();
        match kind {
            Some(KIND_WHOLE) => {
                packet.advance(1);
                let bytes = packet.freeze();
                let truncated = false;
                return Ok(Some(LinkMessage { bytes, truncated }));
            }
            Some(KIND_SEGMENT | KIND_LAST_SEGMENT) if packet.len() >= SEGMENT_HEADER_BYTES => {}
            _ => {
                let text = format!("invalid packet of kind {kind:?}, {} bytes", packet.len());
                return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, text));
            }
        }
        packet.advance(1);
        let number = packet.get_u32();
        let message = self
            .receiving
            .entry(number)
            .or_insert_with(|| PartialMessage {
                bytes: BytesMut::new(),
                reservation: self.budget.start(),
                truncated: false,
            });
        message.append(&packet);
        if kind != Some(KIND_LAST_SEGMENT) {
            return Ok(None);
        }
        let complete = self.receiving.remove(&number);
        Ok(complete.map(PartialMessage::close))
    }
}

impl PartialMessage {
    fn append(&mut self, segment: &[u8]) {
        let size = self.bytes.len() + segment.len();
        self.truncated |= !self.reservation.grow_to(size);
        if !self.truncated || size <= MIN_KEPT_BYTES {
            self.bytes.extend_from_slice(segment);
        }
    }

    fn close(self) -> LinkMessage {
        LinkMessage {
            bytes: self.reservation.attach(self.bytes.freeze()),
            truncated: self.truncated,
        }
    }
}
