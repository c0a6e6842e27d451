//! Whether a node is cut off.

use reedford_fleet::Now;
use reedford_fleet::connectivity::Connectivity;
use std::time::Duration;

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

#[test]
fn a_node_that_hears_nothing_is_cut_off_after_a_while() {
    let mut contact = Connectivity::default();
    assert!(!contact.cut_off(ms(60_000)), "nothing was tried");
    contact.on_failure(ms(1_000));
    contact.on_failure(ms(2_000));
    assert!(!contact.cut_off(ms(2_100)));
    assert!(contact.cut_off(ms(2_200)), "counted from the first failure");
}

#[test]
fn one_word_ends_it() {
    let mut contact = Connectivity::default();
    contact.on_failure(ms(0));
    contact.on_success();
    assert!(!contact.cut_off(ms(5_000)));
    contact.on_failure(ms(5_000));
    assert!(!contact.cut_off(ms(5_500)));
}
