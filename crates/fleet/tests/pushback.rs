//! Instances that asked this node to send nothing for a time.

use reedford_fleet::Now;
use reedford_fleet::pushback::{MAX_HOLD, Pushback};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct HoldCase {
    /// Pauses that the incarnation with the start time 5 asks for, with their times.
    asked: Vec<(Now, Duration)>,
    /// Start time of the incarnation that a call is for.
    born: u64,
    /// Time of the call.
    now: Now,
    held_until: Option<Now>,
}

#[test_case(HoldCase { asked: vec![], born: 5, now: ms(0), held_until: None }; "never asked")]
#[test_case(HoldCase { asked: vec![(ms(0), ms(800))], born: 5, now: ms(799), held_until: Some(ms(800)) }; "before the end")]
#[test_case(HoldCase { asked: vec![(ms(0), ms(800))], born: 5, now: ms(800), held_until: None }; "at the end")]
#[test_case(HoldCase { asked: vec![(ms(0), ms(800)), (ms(100), ms(50))], born: 5, now: ms(700), held_until: Some(ms(800)) }; "a later shorter one")]
#[test_case(HoldCase { asked: vec![(ms(0), ms(800)), (ms(100), ms(900))], born: 5, now: ms(700), held_until: Some(ms(1_000)) }; "a later longer one")]
#[test_case(HoldCase { asked: vec![(ms(0), ms(800))], born: 6, now: ms(10), held_until: None }; "restarted")]
#[test_case(HoldCase { asked: vec![(ms(0), ms(800))], born: 4, now: ms(10), held_until: Some(ms(800)) }; "a call for an earlier incarnation")]
#[test_case(HoldCase { asked: vec![(ms(0), Duration::ZERO)], born: 5, now: ms(0), held_until: None }; "zero")]
#[test_case(HoldCase { asked: vec![(ms(0), Duration::MAX)], born: 5, now: ms(10), held_until: Some(MAX_HOLD) }; "without bounds")]
fn an_instance_is_held_for_the_time_that_it_asked_for(case: HoldCase) {
    let mut pushback = Pushback::default();
    for (at, pause) in case.asked {
        pushback.record("a", 5, pause, at);
    }
    let held_until = pushback.held_until("a", case.born, case.now);
    assert_eq!(held_until, case.held_until);
    let available_at = pushback.available_at("a", case.born, case.now);
    assert_eq!(available_at, held_until.unwrap_or(case.now));
    assert_eq!(pushback.available_at("b", 5, case.now), case.now);
}

/// Sends calls to an instance that is available, and returns how many.
fn send_available(pushback: &mut Pushback, now: Now) -> u32 {
    let mut sent = 0;
    while sent < 100 && pushback.available_at("a", 5, now) <= now {
        pushback.on_sent("a", now);
        sent += 1;
    }
    sent
}

/// Guards against a burst of waiting calls at the end of a hold.
#[test]
fn calls_resume_gradually_after_a_hold() {
    let mut pushback = Pushback::default();
    pushback.record("a", 5, ms(500), Now::ZERO);
    assert_eq!(send_available(&mut pushback, ms(499)), 0);
    assert_eq!(send_available(&mut pushback, ms(500)), 2);
    assert_eq!(send_available(&mut pushback, ms(600)), 0);
    let mut rounds = Vec::new();
    for round in 0..4 {
        pushback.on_response("a", ms(610 + round));
        pushback.on_response("a", ms(610 + round));
        rounds.push(send_available(&mut pushback, ms(610 + round)));
    }
    assert_eq!(rounds, [4, 4, 4, 100], "unlimited after eight responses");
}

/// Guards against an instance that is never used again because the first calls
/// after its hold got no response.
#[test]
fn the_slow_start_ends_without_responses() {
    let mut pushback = Pushback::default();
    pushback.record("a", 5, ms(500), Now::ZERO);
    assert_eq!(send_available(&mut pushback, ms(500)), 2);
    assert!(!pushback.is_over(ms(2_499)));
    assert_eq!(send_available(&mut pushback, ms(2_500)), 100);
    assert!(pushback.is_over(ms(2_500)));
}

/// Guards against memory that grows with the number of instances that ever asked.
#[test]
fn the_number_of_holds_is_bounded() {
    let mut pushback = Pushback::default();
    for n in 0..2_000 {
        pushback.record(&format!("i{n}"), 5, ms(60_000 + n), Now::ZERO);
    }
    let held = |n: u64| pushback.held_until(&format!("i{n}"), 5, ms(1)).is_some();
    assert_eq!((0..2_000).filter(|n| held(*n)).count(), 1_024);
    assert!(held(1_999));
}
