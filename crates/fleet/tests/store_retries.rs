//! Requests to a store that does not respond.

use reedford_fleet::Now;
use reedford_fleet::store_retries::StoreRetries;
use std::time::Duration;
use test_case::test_case;

const WATCHES: usize = 3;
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

struct Outage {
    staleness_limit: Duration,
    duration: Duration,
    max_attempts: usize,
}

/// Load pattern: an outage of the store, in which the watches of a node take
/// turns.
#[test_case(Outage { staleness_limit: ms(2_000), duration: ms(5_000), max_attempts: 9 }; "narrow limit")]
#[test_case(Outage { staleness_limit: ms(4_000), duration: ms(5_000), max_attempts: 7 }; "wide limit")]
fn watches_take_turns_during_an_outage(outage: Outage) {
    let mut retries = StoreRetries::new(outage.staleness_limit);
    for _ in 0..WATCHES {
        retries.on_failure(Now::ZERO, 1.0);
    }
    let mut attempts = Vec::new();
    let mut now = Now::ZERO;
    while now < outage.duration {
        for _ in 0..WATCHES {
            if retries.try_take_turn(now, 1.0).is_ok() {
                attempts.push(now);
                retries.on_failure(now, 1.0);
            }
        }
        now += STEP;
    }
    assert!(attempts.len() <= outage.max_attempts, "{attempts:?}");
    let longest = attempts.windows(2).map(|pair| pair[1] - pair[0]).max();
    let longest = longest.expect("several attempts");
    assert!(longest < outage.staleness_limit / 2, "{attempts:?}");
    assert!(retries.on_response(), "the store did not respond before");
    for _ in 0..WATCHES {
        assert_eq!(retries.try_take_turn(now, 1.0), Ok(()));
    }
}

#[test]
fn a_turn_that_is_not_due_names_its_time() {
    let mut retries = StoreRetries::new(ms(2_000));
    assert_eq!(retries.try_take_turn(ms(0), 1.0), Ok(()), "no failure yet");
    retries.on_failure(ms(1_000), 1.0);
    assert_eq!(retries.try_take_turn(ms(1_050), 1.0), Err(ms(1_100)));
    assert_eq!(retries.try_take_turn(ms(1_100), 1.0), Ok(()));
    assert_eq!(retries.try_take_turn(ms(1_100), 1.0), Err(ms(1_300)));
}
