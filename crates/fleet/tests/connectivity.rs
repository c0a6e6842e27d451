//! When a node considers itself cut off.

use reedford_fleet::Now;
use reedford_fleet::connectivity::Connectivity;
use std::time::Duration;

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

#[test]
fn a_node_without_any_success_is_cut_off_after_a_while() {
    let mut connectivity = Connectivity::default();
    assert!(!connectivity.cut_off(ms(60_000)), "nothing was attempted");
    connectivity.on_failure(ms(1_000));
    connectivity.on_failure(ms(2_000));
    assert!(!connectivity.cut_off(ms(2_100)));
    assert!(
        connectivity.cut_off(ms(2_200)),
        "counted from the first failure"
    );
}

#[test]
fn one_success_ends_the_cut_off_state() {
    let mut connectivity = Connectivity::default();
    connectivity.on_failure(ms(0));
    connectivity.on_success();
    assert!(!connectivity.cut_off(ms(5_000)));
    connectivity.on_failure(ms(5_000));
    assert!(!connectivity.cut_off(ms(5_500)));
}
