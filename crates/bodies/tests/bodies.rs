//! Memory that bodies take together.

use reedford_bodies::{BodyBuf, BodyKind, BodyMemory, NoRoom, SMALL_BODY_BYTES, TINY_BODY_BYTES};
use test_case::test_case;

const LIMIT: usize = 8 << 20;
/// What one read of a connection brings.
const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];

const LARGE: usize = 1 << 20;
const SMALL: usize = SMALL_BODY_BYTES;
const TINY: usize = TINY_BODY_BYTES;

/// Appends pieces up to a size.
fn fill(body: &mut BodyBuf, size: usize) -> Result<(), NoRoom> {
    while body.len() < size {
        body.push(&PIECE[..PIECE.len().min(size - body.len())])?;
    }
    Ok(())
}

fn body_of(memory: &BodyMemory, kind: BodyKind, size: usize) -> Result<BodyBuf, NoRoom> {
    let mut body = memory.body(kind);
    fill(&mut body, size).map(|()| body)
}

struct Beside {
    /// The bodies that came first, as many as there was room for.
    first: BodyKind,
    first_size: usize,
    /// The body that comes then.
    kind: BodyKind,
    size: usize,
    has_room: bool,
}

#[test_case(Beside { first: BodyKind::Response, first_size: LARGE, kind: BodyKind::Response, size: SMALL, has_room: true }; "a small response beside large responses")]
#[test_case(Beside { first: BodyKind::Response, first_size: LARGE, kind: BodyKind::Request, size: SMALL, has_room: true }; "a small request beside large responses")]
#[test_case(Beside { first: BodyKind::Response, first_size: LARGE, kind: BodyKind::Response, size: LARGE, has_room: false }; "a large response beside others")]
#[test_case(Beside { first: BodyKind::Response, first_size: LARGE, kind: BodyKind::Request, size: LARGE, has_room: false }; "a large request beside large responses")]
#[test_case(Beside { first: BodyKind::Request, first_size: LARGE, kind: BodyKind::Response, size: LARGE, has_room: true }; "a large response beside large requests")]
#[test_case(Beside { first: BodyKind::Request, first_size: LARGE, kind: BodyKind::Request, size: SMALL, has_room: true }; "a small request beside large ones")]
#[test_case(Beside { first: BodyKind::Request, first_size: LARGE, kind: BodyKind::Request, size: LARGE, has_room: false }; "a large request beside others")]
#[test_case(Beside { first: BodyKind::Request, first_size: SMALL, kind: BodyKind::Response, size: SMALL, has_room: true }; "a small response beside small requests")]
#[test_case(Beside { first: BodyKind::Request, first_size: SMALL, kind: BodyKind::Request, size: SMALL, has_room: false }; "a small request beside others")]
#[test_case(Beside { first: BodyKind::Response, first_size: SMALL, kind: BodyKind::Response, size: SMALL, has_room: false }; "a small response beside others")]
#[test_case(Beside { first: BodyKind::Response, first_size: SMALL, kind: BodyKind::Response, size: TINY, has_room: true }; "a tiny response beside small responses")]
#[test_case(Beside { first: BodyKind::Response, first_size: SMALL, kind: BodyKind::Request, size: TINY, has_room: true }; "a tiny request beside small responses")]
#[test_case(Beside { first: BodyKind::Request, first_size: TINY, kind: BodyKind::Response, size: TINY, has_room: true }; "a tiny response beside tiny requests")]
#[test_case(Beside { first: BodyKind::Request, first_size: TINY, kind: BodyKind::Request, size: 1, has_room: false }; "a tiny request beside others")]
fn bodies_leave_room_to_those_that_matter_more(case: Beside) {
    let memory = BodyMemory::new(LIMIT);
    let mut first = Vec::new();
    while let Ok(body) = body_of(&memory, case.first, case.first_size) {
        first.push(body);
    }
    assert!(memory.held() <= LIMIT, "{}", memory.held());
    assert_eq!(
        body_of(&memory, case.kind, case.size).is_ok(),
        case.has_room
    );
    drop(first);
    assert_eq!(memory.held(), 0);
}

/// Load pattern: all workers send large bodies at once and go on slowly, beside small
/// responses. The memory is never exceeded, no small body fails, and nothing is left behind.
#[test_case(20; "a few more than there is room for")]
#[test_case(200; "ten times as many")]
fn large_bodies_from_all_workers_leave_small_ones_alone(workers: usize) {
    const ROUNDS: usize = 600;
    let memory = BodyMemory::new(LIMIT);
    let mut large: Vec<Option<BodyBuf>> = Vec::new();
    large.resize_with(workers, || None);
    let mut given_up = 0;
    for round in 0..ROUNDS {
        for slot in &mut large {
            let body = slot.get_or_insert_with(|| memory.body(BodyKind::Response));
            if body.push(&PIECE).is_err() {
                *slot = None;
                given_up += 1;
            }
        }
        let small = body_of(&memory, BodyKind::Response, 2_000);
        assert!(small.is_ok(), "round {round}: {} held", memory.held());
        assert!(memory.held() <= LIMIT, "round {round}");
    }
    assert!(given_up > 0);
    drop(large);
    assert_eq!(memory.held(), 0);
}

struct Piecewise {
    pieces: &'static [usize],
    /// Most that the body may hold.
    max_held: usize,
}

#[test_case(Piecewise { pieces: &[0], max_held: 0 }; "nothing")]
#[test_case(Piecewise { pieces: &[300], max_held: 300 }; "one piece")]
#[test_case(Piecewise { pieces: &[300, 300], max_held: 2_000 }; "two pieces")]
#[test_case(Piecewise { pieces: &[40 << 10, 20 << 10], max_held: SMALL }; "a small body in large pieces")]
#[test_case(Piecewise { pieces: &[1 << 20, 1 << 20, 1], max_held: 3 << 20 }; "a large one")]
fn a_body_holds_little_more_than_its_bytes(case: Piecewise) {
    let memory = BodyMemory::new(LIMIT);
    let mut body = memory.body(BodyKind::Response);
    let mut sent = Vec::new();
    for (n, len) in case.pieces.iter().enumerate() {
        let piece = vec![u8::try_from(n).expect("a few"); *len];
        sent.extend_from_slice(&piece);
        body.push(&piece).expect("there is room");
    }
    assert!(memory.held() >= sent.len() && memory.held() <= case.max_held);
    assert_eq!(body.freeze(), sent);
    assert_eq!(memory.held(), 0);
}

/// Guards against a body that gives its share back when it was read, although its bytes still
/// wait for a slow receiver.
#[test]
fn a_share_lasts_until_the_last_byte_is_dropped() {
    let memory = BodyMemory::new(LIMIT);
    let body = body_of(&memory, BodyKind::Response, LARGE).expect("there is room");
    let mut bytes = body.freeze();
    let held = memory.held();
    assert!(held >= LARGE);
    let rest = bytes.split_off(LARGE - 1);
    drop(bytes);
    assert_eq!(memory.held(), held);
    drop(rest);
    assert_eq!(memory.held(), 0);
}

#[test]
fn a_piece_without_room_leaves_the_body_as_it_was() {
    let memory = BodyMemory::new(LIMIT);
    let mut body = body_of(&memory, BodyKind::Response, LARGE).expect("there is room");
    let held = memory.held();
    assert_eq!(body.push(&vec![b'y'; LIMIT]), Err(NoRoom));
    assert_eq!((body.len(), memory.held()), (LARGE, held));
}

struct Split {
    grown: usize,
    split: usize,
    /// What is held once the first share is dropped.
    left: usize,
}

#[test_case(Split { grown: 1_000, split: 300, left: 300 }; "a part")]
#[test_case(Split { grown: 1_000, split: 1_000, left: 1_000 }; "all")]
#[test_case(Split { grown: 1_000, split: 2_000, left: 1_000 }; "more than all")]
#[test_case(Split { grown: 1_000, split: 0, left: 0 }; "nothing")]
fn a_share_that_is_split_is_given_back_in_parts(case: Split) {
    let memory = BodyMemory::new(LIMIT);
    let mut share = memory.share(BodyKind::Response);
    share.grow_to(case.grown).expect("there is room");
    let part = share.split_off(case.split);
    assert_eq!(memory.held(), case.grown);
    drop(share);
    assert_eq!(memory.held(), case.left);
    drop(part);
    assert_eq!(memory.held(), 0);
}

/// Threads that take and give back at once lose no bytes.
#[test]
fn nothing_is_lost_between_threads() {
    const THREADS: usize = 8;
    const BODIES: usize = 200;
    let memory = BodyMemory::new(LIMIT);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for n in 0..BODIES {
                    let body = body_of(&memory, BodyKind::Response, n * 8_000);
                    drop(body.map(BodyBuf::freeze));
                    assert!(memory.held() <= LIMIT);
                }
            });
        }
    });
    assert_eq!(memory.held(), 0);
}
