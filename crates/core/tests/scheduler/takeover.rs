//! Handover and takeover of a worker between owners.

use super::support::{
    Harness, POLICY, av, engine_listing, granted, ms, order, refusal_reason, turn_ended,
};
use reedford_core::messages::{Handover, HandoverPermit, PermitReason, Release};
use reedford_core::scheduler::{Action, Scheduler};
use reedford_core::{AdapterVersion, Now, PermitId};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn block(harness: &mut Harness, name: &str, until: Now) -> Vec<Action> {
    harness.apply(|s, _| s.block_targets(BTreeSet::from([av(name)]), until))
}

fn hand_over(harness: &Harness) -> Option<Handover> {
    harness
        .scheduler
        .handover_state(&"worker-1".into(), harness.now)
}

/// Creates the scheduler of the next owner, with the previous owner's current
/// time.
fn next_owner(old: &Harness, handover: Handover) -> Harness {
    let mut next = Harness::without_listing(POLICY, old.now + ms(3_000), old.now + ms(5_000));
    next.now = old.now;
    next.serial = 1_000;
    next.apply(|s, cx| s.apply_handover(handover, cx.now));
    next
}

/// The time in milliseconds at which a listing is requested, the running
/// requests that it shows, and whether the adapter may be evicted afterwards.
/// After a takeover without a handover, the worker grants from 1,000 ms on and
/// evicts the adapters found on it from 2,000 ms on.
#[test_case(1_000, 0, false; "the previous owner may still use it")]
#[test_case(1_999, 0, false; "the listing was requested too early")]
#[test_case(2_000, 1, false; "a request of the previous owner runs")]
#[test_case(2_000, 0, true; "listed late enough and idle")]
fn an_inherited_adapter_is_evicted_only_when_known_to_be_idle(
    listed: u64,
    running: u32,
    evicts: bool,
) {
    let mut harness = Harness::without_listing(POLICY, ms(1_000), ms(2_000));
    harness.now = ms(1);
    harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 0)]));
    harness.now = ms(listed);
    harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", running)]));
    harness.now = ms(3_000);
    harness.request("b");
    let actions = harness.grant_turn("b");
    let evicted = actions == [order(Some("a"), "b")];
    assert_eq!(evicted, evicts, "{actions:?}");
}

/// The state of an owner, and whether it hands over.
struct OwnerState {
    open_from: u64,
    evict_from: u64,
    listed: bool,
    order: bool,
    hands_over: bool,
}

const IDLE_OWNER: OwnerState = OwnerState {
    open_from: 0,
    evict_from: 0,
    listed: true,
    order: false,
    hands_over: true,
};

#[test_case(IDLE_OWNER; "no order is under way")]
#[test_case(OwnerState { listed: false, hands_over: false, ..IDLE_OWNER }; "the engine is unknown")]
#[test_case(OwnerState { order: true, hands_over: false, ..IDLE_OWNER }; "an order is under way")]
#[test_case(OwnerState { open_from: 20, hands_over: false, ..IDLE_OWNER }; "the previous owner may grant")]
#[test_case(OwnerState { evict_from: 20, hands_over: false, ..IDLE_OWNER }; "the previous owner may send")]
#[test_case(OwnerState { open_from: 10, evict_from: 10, ..IDLE_OWNER }; "its own takeover is complete")]
fn an_owner_hands_over_only_a_complete_state(case: OwnerState) {
    let mut harness = Harness::without_listing(POLICY, ms(case.open_from), ms(case.evict_from));
    harness.now = ms(1);
    if case.listed {
        harness.deliver_listing(&engine_listing("boot-1", 2, 8, &[("a", 0)]));
    }
    harness.now = ms(10);
    if case.order {
        harness.request("b");
        harness.grant_turn("b");
    }
    assert_eq!(hand_over(&harness).is_some(), case.hands_over);
}

#[test]
fn the_next_owner_opens_at_once_and_keeps_the_permits() {
    let mut old = Harness::open(POLICY, 2, 8, &["a", "b"]);
    let (pin, _) = old.request("a");
    old.advance(100);
    let handover = hand_over(&old).expect("no order is under way");
    let kept = HandoverPermit {
        id: pin.clone(),
        target: av("a"),
        class: reedford_rules::Class::Standard,
        remaining: ms(30_900),
    };
    assert_eq!(handover.permits, [kept]);
    let mut next = next_owner(&old, handover);
    let held = engine_listing("boot-1", 2, 8, &[("a", 0), ("b", 0)]);
    next.deliver_listing(&held);
    next.advance(1);
    next.deliver_listing(&held);
    let (id, actions) = next.request("b");
    assert_eq!(actions, [granted(&id, Duration::ZERO)]);
    next.request("c");
    assert_eq!(
        next.grant_turn("c"),
        [turn_ended("c")],
        "both residents are pinned"
    );
    next.release(&pin, true);
    assert_eq!(next.grant_turn("c"), [order(Some("a"), "c")]);
}

#[test]
fn a_handed_over_permit_expires_and_leaves_its_adapter_uncertain() {
    let mut old = Harness::open(POLICY, 1, 8, &["a"]);
    old.request("a");
    let handover = hand_over(&old).expect("no order is under way");
    let mut next = next_owner(&old, handover);
    let idle = engine_listing("boot-1", 1, 8, &[("a", 0)]);
    next.deliver_listing(&idle);
    next.advance(1);
    next.deliver_listing(&idle);
    next.advance(30_999);
    assert_eq!(
        (next.scheduler.running(), next.scheduler.open_slots()),
        (0, 0)
    );
    next.deliver_listing(&idle);
    assert_eq!(next.scheduler.open_slots(), 1);
}

#[test]
fn an_adapter_uncertain_to_the_old_owner_stays_uncertain() {
    let mut old = Harness::open(POLICY, 1, 8, &["a"]);
    let (lost, _) = old.request("a");
    old.release(&lost, false);
    let handover = hand_over(&old).expect("no order is under way");
    assert_eq!(handover.uncertain, BTreeSet::from([av("a")]));
    let mut next = next_owner(&old, handover);
    next.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 1)]));
    next.advance(1);
    next.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 1)]));
    assert_eq!(next.scheduler.open_slots(), 0);
    next.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 0)]));
    assert_eq!(next.scheduler.open_slots(), 1);
}

/// Adapters in a listing while `a` is blocked until 1,000 ms.
#[test_case(&[("a", 0)]; "still resident")]
#[test_case(&[]; "no longer resident, perhaps for another reason")]
fn a_blocked_adapter_is_not_granted_before_the_block_ends(held: &[(&str, u32)]) {
    let mut harness = Harness::open(POLICY, 2, 8, &["a"]);
    block(&mut harness, "a", ms(1_000));
    harness.deliver_listing(&engine_listing("boot-1", 2, 8, held));
    assert_eq!(
        harness.scheduler.residents(),
        BTreeSet::<AdapterVersion>::new()
    );
    harness.now = ms(999);
    harness.apply(Scheduler::on_tick);
    assert_eq!(
        refusal_reason(&harness.request("a").1),
        Some(PermitReason::NotOwner)
    );
    harness.now = ms(1_000);
    harness.apply(Scheduler::on_tick);
    assert_eq!(refusal_reason(&harness.request("a").1), None);
}

#[test]
fn a_block_is_not_shortened() {
    let mut harness = Harness::open(POLICY, 2, 8, &["a"]);
    block(&mut harness, "a", ms(1_000));
    block(&mut harness, "a", ms(500));
    harness.advance(600);
    assert_eq!(
        refusal_reason(&harness.request("a").1),
        Some(PermitReason::NotOwner)
    );
}

#[test]
fn requests_waiting_for_a_blocked_adapter_are_refused_at_once() {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    harness.request("b");
    harness.grant_turn("b");
    assert_eq!(
        harness.request("a").1,
        [],
        "it waits while the adapter is being evicted"
    );
    harness.apply(|s, cx| s.on_evicted(&av("a"), false, cx));
    assert_eq!(
        refusal_reason(&block(&mut harness, "a", ms(1_000))),
        Some(PermitReason::NotOwner)
    );
}

#[test]
fn a_block_passes_to_the_next_owner() {
    let mut old = Harness::open(POLICY, 1, 8, &["a"]);
    block(&mut old, "a", ms(1_000));
    let handover = hand_over(&old).expect("no order is under way");
    let mut next = next_owner(&old, handover);
    next.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 0)]));
    assert_eq!(
        refusal_reason(&next.request("a").1),
        Some(PermitReason::NotOwner)
    );
    next.now = ms(1_000);
    next.apply(Scheduler::on_tick);
    assert_eq!(refusal_reason(&next.request("a").1), None);
}

/// A load that took effect before 2,000 ms and whose response arrives after: the
/// previous owner may have sent to the adapter in between.
#[test_case(None, false; "no listing since")]
#[test_case(Some(1), false; "a request of the previous owner runs")]
#[test_case(Some(0), true; "listed idle")]
fn a_load_with_a_late_response_leaves_its_adapter_uncertain(running: Option<u32>, evicts: bool) {
    let mut harness = Harness::without_listing(POLICY, ms(1_000), ms(2_000));
    harness.now = ms(1);
    harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[]));
    harness.now = ms(1_000);
    let (id, _) = harness.request("a");
    harness.grant_turn("a");
    harness.apply(|s, cx| s.release(&ended_release(id), cx));
    harness.now = ms(2_500);
    harness.apply(|s, cx| s.on_loaded(&av("a"), Ok(()), cx));
    if let Some(running) = running {
        harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", running)]));
    }
    harness.request("b");
    let actions = harness.grant_turn("b");
    assert_eq!(actions == [order(Some("a"), "b")], evicts, "{actions:?}");
}

fn ended_release(id: PermitId) -> Release {
    Release {
        id,
        worker: "worker-1".into(),
        ended: true,
    }
}
