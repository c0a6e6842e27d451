//! An engine that restarts, and so holds no adapters.

use super::support::{
    Harness, POLICY, av, engine_listing, granted, ms, order, refusal_reason, requested_turns,
    turn_ended,
};
use reedford_core::messages::PermitReason;
use reedford_core::scheduler::{Action, LoadError};
use std::collections::BTreeSet;

const BOOT_AFTER_RESTART: &str = "boot-2";

fn restart(harness: &mut Harness, slots: u32) -> Vec<Action> {
    harness.now += ms(10);
    harness.deliver_listing(&engine_listing(BOOT_AFTER_RESTART, slots, 8, &[]))
}

#[test]
fn a_request_that_waits_for_its_load_keeps_waiting() {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    let (id, _) = harness.request("a");
    assert_eq!(
        restart(&mut harness, 1),
        [],
        "its load turn is already requested"
    );
    assert_eq!(harness.grant_turn("a"), [order(None, "a")]);
    harness.now += ms(250);
    assert_eq!(
        harness.finish_load("a"),
        [turn_ended("a"), granted(&id, ms(260))]
    );
}

#[test]
fn a_request_that_waits_for_batch_capacity_gets_its_adapter_loaded_again() {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    let pins: Vec<_> = (0..8).map(|_| harness.request("a").0).collect();
    let (waiting, _) = harness.request("a");
    assert_eq!(requested_turns(&restart(&mut harness, 1)), ["a"]);
    harness.grant_turn("a");
    harness.now += ms(250);
    assert_eq!(
        harness.finish_load("a"),
        [turn_ended("a")],
        "the batch may still be full"
    );
    assert_eq!(
        harness.release(&pins[0], true),
        [granted(&waiting, ms(260))]
    );
}

#[test]
fn a_permit_from_before_the_restart_still_pins() {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    let (slow, _) = harness.request("a");
    restart(&mut harness, 1);
    harness.load("a");
    harness.request("b");
    assert_eq!(
        harness.grant_turn("b"),
        [turn_ended("b")],
        "the slow request may still reach the engine"
    );
    harness.release(&slow, true);
    assert_eq!(harness.grant_turn("b"), [order(Some("a"), "b")]);
}

#[test]
fn a_restart_does_not_shorten_the_wait_for_a_previous_owner() {
    let mut harness = Harness::without_listing(POLICY, ms(0), ms(5_000));
    harness.now = ms(1);
    harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[]));
    restart(&mut harness, 1);
    harness.load("a");
    harness.request("b");
    let idle = engine_listing(BOOT_AFTER_RESTART, 1, 8, &[("a", 0)]);
    harness.now = ms(4_999);
    harness.deliver_listing(&idle);
    assert_eq!(
        harness.scheduler.open_slots(),
        0,
        "the previous owner may still send to the adapter"
    );
    harness.now = ms(5_000);
    harness.deliver_listing(&idle);
    assert_eq!(harness.grant_turn("b"), [order(Some("a"), "b")]);
}

/// An order to the old boot whose end is reported after the restart.
struct LateOrderEnd {
    end: fn(&mut Harness) -> Vec<Action>,
    refused: Option<PermitReason>,
}

#[test_case::test_case(LateOrderEnd {
    end: |h| h.apply(|s, cx| s.on_loaded(&av("b"), Err(LoadError::Failed), cx)),
    refused: Some(PermitReason::LoadFailed),
}; "the load failed")]
#[test_case::test_case(LateOrderEnd {
    end: |h| h.finish_load("b"),
    refused: None,
}; "the old boot had loaded it")]
fn an_order_to_the_old_boot_never_leads_to_a_grant(case: LateOrderEnd) {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    harness.request("b");
    harness.grant_turn("b");
    restart(&mut harness, 1);
    let actions = (case.end)(&mut harness);
    assert_eq!(refusal_reason(&actions), case.refused);
    assert_eq!(harness.scheduler.residents(), BTreeSet::new());
    assert_eq!(harness.scheduler.running(), 0);
}
