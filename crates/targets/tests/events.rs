//! What the reader of events holds of the memory for bodies.

use reedford_bodies::{BodyKind, BodyMemory, NoRoom};
use reedford_targets::EventReader;
use test_case::test_case;

const LIMIT: usize = 1 << 20;
const EVENT: &str = "id: 1\ndata: token\n\n";

struct Case {
    pieces: &'static [&'static str],
    events: usize,
    /// Bytes that are held beside those of the events.
    buffered: usize,
}

#[test_case(Case { pieces: &[EVENT], events: 1, buffered: 0 }; "an event")]
#[test_case(Case { pieces: &[EVENT, EVENT], events: 2, buffered: 0 }; "two events")]
#[test_case(Case { pieces: &["id: 1\nda", "ta: token\n\n"], events: 1, buffered: 0 }; "an event in pieces")]
#[test_case(Case { pieces: &[EVENT, "id: 2\n"], events: 1, buffered: 6 }; "an incomplete event")]
#[test_case(Case { pieces: &[": comment\n\n", "\n\n"], events: 0, buffered: 0 }; "comments and blank lines")]
fn events_hold_their_bytes_until_they_are_dropped(case: Case) {
    let memory = BodyMemory::new(LIMIT);
    let mut reader = EventReader::new(memory.share(BodyKind::Response));
    let mut events = Vec::new();
    for piece in case.pieces {
        reader.push(piece.as_bytes()).expect("there is room");
        while let Some(event) = reader.next_event().expect("the events are valid") {
            events.push(event);
        }
    }
    assert_eq!(events.len(), case.events);
    assert!(events.iter().all(|e| e.raw == EVENT));
    let held: usize = events.iter().map(|e| e.raw.len()).sum();
    assert_eq!(memory.held(), held + case.buffered);
    drop(events);
    assert_eq!(memory.held(), case.buffered);
    drop(reader);
    assert_eq!(memory.held(), 0);
}

/// Load pattern: many streams that each begin an event and don't end it.
#[test]
fn incomplete_events_stay_within_the_memory() {
    const STREAMS: usize = 64;
    let memory = BodyMemory::new(LIMIT);
    let mut readers: Vec<EventReader> = Vec::new();
    let mut refused = 0;
    for _ in 0..STREAMS {
        let mut reader = EventReader::new(memory.share(BodyKind::Response));
        let pushed = reader.push(&[b'x'; 60 << 10]);
        refused += usize::from(pushed == Err(NoRoom));
        readers.push(reader);
        assert!(memory.held() <= LIMIT);
    }
    assert!(refused > 0);
    drop(readers);
    assert_eq!(memory.held(), 0);
}
