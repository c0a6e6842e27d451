//! How far a node is behind the keys that operators write.

use reedford_fleet::Now;
use reedford_fleet::key_lag::KeyLag;
use std::time::Duration;
use test_case::test_case;

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

enum Step {
    Reported(u64),
    Read(u64),
}

use Step::{Read, Reported};

struct Case {
    /// Steps, one each second from the first on.
    steps: &'static [Step],
    /// Time for which the node is behind, half a second after the last step.
    behind: Option<u64>,
}

#[test_case(Case { steps: &[], behind: None }; "nothing is known")]
#[test_case(Case { steps: &[Reported(5)], behind: Some(500) }; "a change is reported")]
#[test_case(Case { steps: &[Reported(5), Reported(7)], behind: Some(1_500) };
    "a later change does not start the time anew")]
#[test_case(Case { steps: &[Reported(5), Read(4)], behind: Some(1_500) }; "an older change is read")]
#[test_case(Case { steps: &[Reported(5), Reported(7), Read(5)], behind: Some(2_500) };
    "a change before the newest is read")]
#[test_case(Case { steps: &[Reported(5), Read(6)], behind: None }; "the change is read")]
#[test_case(Case { steps: &[Read(6), Reported(5)], behind: None }; "a change that was read is reported")]
#[test_case(Case { steps: &[Reported(5), Read(5), Reported(8)], behind: Some(500) }; "behind again")]
fn a_node_is_behind_from_the_first_report_until_it_has_read_the_newest_change(case: Case) {
    let mut lag = KeyLag::default();
    let mut now = ms(0);
    for step in case.steps {
        now += ms(1_000);
        match *step {
            Reported(position) => lag.on_reported(position, now),
            Read(position) => _ = lag.on_read(position, now),
        }
    }
    assert_eq!(lag.behind(now + ms(500)), case.behind.map(ms));
}

#[test]
fn the_end_of_a_lag_is_told_once() {
    let mut lag = KeyLag::default();
    lag.on_reported(5, ms(1_000));
    assert_eq!(lag.on_read(4, ms(1_500)), None);
    assert_eq!(lag.on_read(5, ms(3_000)), Some(ms(2_000)));
    assert_eq!(lag.on_read(6, ms(4_000)), None);
    assert_eq!((lag.read(), lag.newest()), (6, 6));
}
