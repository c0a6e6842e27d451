//! Bounds of the reader of events.

use reedford_bodies::{BodyKind, BodyMemory};
use reedford_targets::{EventReader, InvalidEvent};
use test_case::test_case;

const EVENT: &str = "id: 1\ndata: x\n\n";

/// Reads what comes in pieces of `piece` bytes, and returns the number of events.
fn read_events(text: &str, piece: usize) -> Result<usize, InvalidEvent> {
    let memory = BodyMemory::default();
    let mut reader = EventReader::new(memory.share(BodyKind::Response));
    let mut events = 0;
    for piece in text.as_bytes().chunks(piece) {
        reader.push(piece).expect("there is room");
        while reader.next_event()?.is_some() {
            events += 1;
        }
    }
    Ok(events)
}

/// Guards against a stream of events in which none comes.
#[test_case(": alive\n\n", 1 << 20, Ok(3); "comments")]
#[test_case("\n", 1 << 20, Ok(3); "blank lines")]
#[test_case("event: none\n\n", 1 << 20, Ok(3); "events without data")]
#[test_case(": alive\n\n", 2 << 20, Err(InvalidEvent::Missing); "too many comments")]
#[test_case("\r\n", 2 << 20, Err(InvalidEvent::Missing); "too many blank lines")]
#[test_case("event: none\n\n", 2 << 20, Err(InvalidEvent::Missing); "too many events without data")]
#[test_case(": alive\n", 2 << 20, Err(InvalidEvent::Unreadable); "a comment that does not end")]
fn bytes_between_events(text: &str, bytes: usize, expected: Result<usize, InvalidEvent>) {
    let gap = text.repeat(bytes / text.len() - 1);
    let stream = format!("{EVENT}{gap}{EVENT}{gap}{EVENT}");
    assert_eq!(read_events(&stream, 1 << 10), expected);
}

/// Guards against time that grows with the square of a line's length.
#[test_case(1)]
#[test_case(7)]
fn a_long_event_in_small_pieces(piece: usize) {
    let event = format!("id: 1\r\ndata: {}\r\n\r\n", "x".repeat(250 << 10));
    assert_eq!(read_events(&event.repeat(2), piece), Ok(2));
}
