//! Small messages on a link beside large ones.
//!
//! Pattern: bodies of hundreds of kilobytes share a link with small calls and pings, and the link
//! may be narrow.

use hyper::body::Bytes;
use marigoldhatch::mesh::link::LinkMessage;
use marigoldhatch::mesh::link::SegmentQueue;
use marigoldhatch::mesh::link::SegmentTable;
use marigoldhatch::mesh::link::SEGMENT_BYTES;
use marigoldhatch::mesh::BodyBudget;
use rstest::rstest;
use tokio_util::bytes::Buf;
use tokio_util::bytes::BytesMut;

const BUDGET_BYTES: usize = 8 * 1024 * 1024;
const LARGE_BYTES: usize = 360 * 1024;

fn large_message(fill: u8) -> Bytes {
    Bytes::from(vec![fill; LARGE_BYTES])
}

/// Passes all queued segments to a table and returns the completed messages.
fn transfer(queue: &mut SegmentQueue, table: &mut SegmentTable) -> Vec<LinkMessage> {
    let mut messages = Vec::new();
    while let Some(packet) = next_segment(queue) {
        messages.extend(receive(table, &packet));
    }
    messages
}

/// Queues a message and returns its packet, if it is a small one.
fn push(queue: &mut SegmentQueue, message: Bytes) -> Option<BytesMut> {
    let mut output = BytesMut::new();
    let is_small = queue.push(message, &mut output);
    assert_ne!(is_small, output.is_empty());
    is_small.then(|| strip_length(output))
}

fn next_segment(queue: &mut SegmentQueue) -> Option<BytesMut> {
    let mut output = BytesMut::new();
    queue
        .next_segment(&mut output)
        .then(|| strip_length(output))
}

/// Returns the packet after its length, which must be that of all other bytes.
fn strip_length(mut output: BytesMut) -> BytesMut {
    let length = output.get_u32() as usize;
    assert_eq!(length, output.len());
    output
}

fn receive(table: &mut SegmentTable, packet: &[u8]) -> Option<LinkMessage> {
    table
        .receive(BytesMut::from(packet))
        .expect("a valid packet")
}

#[rstest]
#[case::one_large(1)]
#[case::several_large(8)]
fn small_message_waits_for_at_most_one_segment(#[case] large: u8) {
    let mut queue = SegmentQueue::default();
    for number in 0..large {
        assert!(push(&mut queue, large_message(number)).is_none());
    }
    let segment = next_segment(&mut queue).expect("a segment");
    assert!(segment.len() <= SEGMENT_BYTES + 8, "{}", segment.len());
    let small = push(&mut queue, Bytes::from_static(b"ping"));
    assert!(small.is_some(), "it goes before the next segment");
}

#[test]
fn interleaved_messages_arrive_whole() {
    let mut queue = SegmentQueue::default();
    let mut table = SegmentTable::from_budget(BodyBudget::from_limit(BUDGET_BYTES));
    push(&mut queue, large_message(1));
    push(&mut queue, large_message(2));
    let first = next_segment(&mut queue).expect("a segment");
    assert!(receive(&mut table, &first).is_none());
    let small = push(&mut queue, Bytes::from_static(b"ping")).expect("a packet");
    let message = receive(&mut table, &small).expect("a whole message");
    assert_eq!(&message.bytes[..], b"ping");
    let messages = transfer(&mut queue, &mut table);
    assert_eq!(messages.len(), 2);
    for message in &messages {
        assert!(!message.truncated);
        assert_eq!(message.bytes.len(), LARGE_BYTES);
        assert!(message.bytes.iter().all(|byte| *byte == message.bytes[0]));
    }
}

#[test]
fn message_without_room_is_cut_to_its_beginning_and_the_next_one_fits() {
    let budget = BodyBudget::from_limit(LARGE_BYTES + SEGMENT_BYTES);
    let mut queue = SegmentQueue::default();
    let mut table = SegmentTable::from_budget(budget.clone());
    push(&mut queue, large_message(1));
    let first = transfer(&mut queue, &mut table);
    assert!(!first[0].truncated);
    push(&mut queue, large_message(2));
    let second = transfer(&mut queue, &mut table);
    assert!(second[0].truncated, "the first one is still held");
    assert!(second[0].bytes.len() < LARGE_BYTES);
    assert_eq!(second[0].bytes[0], 2, "the beginning holds the call's head");
    drop((first, second));
    assert_eq!(budget.held(), 0);
    push(&mut queue, large_message(3));
    assert!(!transfer(&mut queue, &mut table)[0].truncated);
    assert!(budget.peak() <= LARGE_BYTES + SEGMENT_BYTES);
}

#[rstest]
#[case::empty(&[])]
#[case::unknown_kind(&[9, 1, 2, 3, 4, 5])]
#[case::segment_without_number(&[1, 0, 0])]
fn malformed_packet_is_an_error(#[case] packet: &[u8]) {
    let mut table = SegmentTable::from_budget(BodyBudget::from_limit(BUDGET_BYTES));
    assert!(table.receive(BytesMut::from(packet)).is_err());
}

#[test]
fn packets_of_several_messages_follow_one_another_in_one_write() {
    let mut queue = SegmentQueue::default();
    let mut table = SegmentTable::from_budget(BodyBudget::from_limit(BUDGET_BYTES));
    let mut output = BytesMut::new();
    assert!(queue.push(Bytes::from_static(b"ping"), &mut output));
    assert!(queue.push(Bytes::from_static(b""), &mut output));
    assert!(!queue.push(large_message(1), &mut output));
    assert!(queue.next_segment(&mut output));
    let mut received = Vec::new();
    while !output.is_empty() {
        let length = output.get_u32() as usize;
        let packet = output.split_to(length);
        let message = table.receive(packet).expect("a valid packet");
        received.push(message.map(|message| message.bytes));
    }
    let ping = Some(Bytes::from_static(b"ping"));
    assert_eq!(received, [ping, Some(Bytes::new()), None]);
}
