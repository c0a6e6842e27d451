//! What passes from one owner to the next.

use super::support::{Bench, POLICY, av, facts, granted, ms, order, refused, turn_ended};
use reedford_core::messages::{Handover, HandoverPermit, PermitReason, Release};
use reedford_core::scheduler::{Action, Scheduler};
use reedford_core::{AdapterVersion, Now, PermitId};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn bar(bench: &mut Bench, name: &str, until: Now) -> Vec<Action> {
    bench.act(|s, _| s.block_targets(BTreeSet::from([av(name)]), until))
}

fn hand_over(bench: &Bench) -> Option<Handover> {
    bench.scheduler.hand_over(&"worker-1".into(), bench.now)
}

/// The next owner, at the time of the old one.
fn next_owner(old: &Bench, handover: Handover) -> Bench {
    let mut next = Bench::unheard(POLICY, old.now + ms(3_000), old.now + ms(5_000));
    next.now = old.now;
    next.serial = 1_000;
    next.act(|s, cx| s.apply_handover(handover, cx.now));
    next
}

/// A time of a takeover in which nothing was handed over: grants may start at
/// 1,000 ms and evictions of what was found at 2,000 ms.
#[test_case(1_000, 0, false; "it may still be in use by the old owner")]
#[test_case(1_999, 0, false; "the question was sent too early")]
#[test_case(2_000, 1, false; "a request of the old owner runs")]
#[test_case(2_000, 0, true; "late enough and idle")]
fn what_is_found_is_evicted_only_when_surely_idle(listed: u64, running: u32, evicts: bool) {
    let mut bench = Bench::unheard(POLICY, ms(1_000), ms(2_000));
    bench.now = ms(1);
    bench.listing(&facts("boot-1", 1, 8, &[("a", 0)]));
    bench.now = ms(listed);
    bench.listing(&facts("boot-1", 1, 8, &[("a", running)]));
    bench.now = ms(3_000);
    bench.request("b");
    let actions = bench.turn("b");
    let evicted = actions == [order(Some("a"), "b")];
    assert_eq!(evicted, evicts, "{actions:?}");
}

/// Why an owner hands nothing over.
struct Withheld {
    open_from: u64,
    evict_from: u64,
    listed: bool,
    order: bool,
    hands_over: bool,
}

const FREE: Withheld = Withheld {
    open_from: 0,
    evict_from: 0,
    listed: true,
    order: false,
    hands_over: true,
};

#[test_case(FREE; "nothing is under way")]
#[test_case(Withheld { listed: false, hands_over: false, ..FREE }; "the engine is unknown")]
#[test_case(Withheld { order: true, hands_over: false, ..FREE }; "an order is under way")]
#[test_case(Withheld { open_from: 20, hands_over: false, ..FREE }; "the old owner may grant")]
#[test_case(Withheld { evict_from: 20, hands_over: false, ..FREE }; "the old owner may send")]
#[test_case(Withheld { open_from: 10, evict_from: 10, ..FREE }; "its own takeover is over")]
fn an_owner_hands_over_only_what_it_holds_for_sure(case: Withheld) {
    let mut bench = Bench::unheard(POLICY, ms(case.open_from), ms(case.evict_from));
    bench.now = ms(1);
    if case.listed {
        bench.listing(&facts("boot-1", 2, 8, &[("a", 0)]));
    }
    bench.now = ms(10);
    if case.order {
        bench.request("b");
        bench.turn("b");
    }
    assert_eq!(hand_over(&bench).is_some(), case.hands_over);
}

#[test]
fn the_next_owner_opens_at_once_and_keeps_the_pins() {
    let mut old = Bench::open(POLICY, 2, 8, &["a", "b"]);
    let (pin, _) = old.request("a");
    old.advance(100);
    let handover = hand_over(&old).expect("nothing is under way");
    let kept = HandoverPermit {
        id: pin.clone(),
        target: av("a"),
        class: reedford_rules::Class::Standard,
        remaining: ms(30_900),
    };
    assert_eq!(handover.permits, [kept]);
    let mut next = next_owner(&old, handover);
    let held = facts("boot-1", 2, 8, &[("a", 0), ("b", 0)]);
    next.listing(&held);
    next.advance(1);
    next.listing(&held);
    let (id, actions) = next.request("b");
    assert_eq!(actions, [granted(&id, Duration::ZERO)]);
    next.request("c");
    assert_eq!(next.turn("c"), [turn_ended("c")], "both are pinned");
    next.release(&pin, true);
    assert_eq!(next.turn("c"), [order(Some("a"), "c")]);
}

#[test]
fn a_handed_permit_ends_by_itself_and_leaves_its_adapter_uncertain() {
    let mut old = Bench::open(POLICY, 1, 8, &["a"]);
    old.request("a");
    let handover = hand_over(&old).expect("nothing is under way");
    let mut next = next_owner(&old, handover);
    let idle = facts("boot-1", 1, 8, &[("a", 0)]);
    next.listing(&idle);
    next.advance(1);
    next.listing(&idle);
    next.advance(30_999);
    assert_eq!(
        (next.scheduler.running(), next.scheduler.open_slots()),
        (0, 0)
    );
    next.listing(&idle);
    assert_eq!(next.scheduler.open_slots(), 1);
}

#[test]
fn what_the_old_owner_was_not_sure_of_stays_uncertain() {
    let mut old = Bench::open(POLICY, 1, 8, &["a"]);
    let (lost, _) = old.request("a");
    old.release(&lost, false);
    let handover = hand_over(&old).expect("nothing is under way");
    assert_eq!(handover.uncertain, BTreeSet::from([av("a")]));
    let mut next = next_owner(&old, handover);
    next.listing(&facts("boot-1", 1, 8, &[("a", 1)]));
    next.advance(1);
    next.listing(&facts("boot-1", 1, 8, &[("a", 1)]));
    assert_eq!(next.scheduler.open_slots(), 0);
    next.listing(&facts("boot-1", 1, 8, &[("a", 0)]));
    assert_eq!(next.scheduler.open_slots(), 1);
}

/// What a listing shows while `a` is barred until 1,000 ms.
#[test_case(&[("a", 0)]; "it is there")]
#[test_case(&[]; "it is gone, maybe by another hand")]
fn a_barred_adapter_is_not_granted_before_the_bar_ends(held: &[(&str, u32)]) {
    let mut bench = Bench::open(POLICY, 2, 8, &["a"]);
    bar(&mut bench, "a", ms(1_000));
    bench.listing(&facts("boot-1", 2, 8, held));
    assert_eq!(
        bench.scheduler.residents(),
        BTreeSet::<AdapterVersion>::new()
    );
    bench.now = ms(999);
    bench.act(Scheduler::on_tick);
    assert_eq!(refused(&bench.request("a").1), Some(PermitReason::NotOwner));
    bench.now = ms(1_000);
    bench.act(Scheduler::on_tick);
    assert_eq!(refused(&bench.request("a").1), None);
}

#[test]
fn a_bar_is_not_shortened() {
    let mut bench = Bench::open(POLICY, 2, 8, &["a"]);
    bar(&mut bench, "a", ms(1_000));
    bar(&mut bench, "a", ms(500));
    bench.advance(600);
    assert_eq!(refused(&bench.request("a").1), Some(PermitReason::NotOwner));
}

#[test]
fn what_waits_for_a_barred_adapter_is_refused_at_once() {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    bench.request("b");
    bench.turn("b");
    assert_eq!(bench.request("a").1, [], "it is being evicted");
    bench.act(|s, cx| s.on_evicted(&av("a"), false, cx));
    assert_eq!(
        refused(&bar(&mut bench, "a", ms(1_000))),
        Some(PermitReason::NotOwner)
    );
}

#[test]
fn a_bar_passes_to_the_next_owner() {
    let mut old = Bench::open(POLICY, 1, 8, &["a"]);
    bar(&mut old, "a", ms(1_000));
    let handover = hand_over(&old).expect("nothing is under way");
    let mut next = next_owner(&old, handover);
    next.listing(&facts("boot-1", 1, 8, &[("a", 0)]));
    assert_eq!(refused(&next.request("a").1), Some(PermitReason::NotOwner));
    next.now = ms(1_000);
    next.act(Scheduler::on_tick);
    assert_eq!(refused(&next.request("a").1), None);
}

/// A load that took effect before 2,000 ms, and whose answer comes after. The
/// old owner may have sent to the adapter in between.
#[test_case(None, false; "nothing was listed since")]
#[test_case(Some(1), false; "a request of the old owner runs")]
#[test_case(Some(0), true; "listed idle")]
fn a_load_answered_late_leaves_its_adapter_uncertain(running: Option<u32>, evicts: bool) {
    let mut bench = Bench::unheard(POLICY, ms(1_000), ms(2_000));
    bench.now = ms(1);
    bench.listing(&facts("boot-1", 1, 8, &[]));
    bench.now = ms(1_000);
    let (id, _) = bench.request("a");
    bench.turn("a");
    bench.act(|s, cx| s.release(&ended(id), cx));
    bench.now = ms(2_500);
    bench.act(|s, cx| s.on_loaded(&av("a"), Ok(()), cx));
    if let Some(running) = running {
        bench.listing(&facts("boot-1", 1, 8, &[("a", running)]));
    }
    bench.request("b");
    let actions = bench.turn("b");
    assert_eq!(actions == [order(Some("a"), "b")], evicts, "{actions:?}");
}

fn ended(id: PermitId) -> Release {
    Release {
        id,
        worker: "worker-1".into(),
        ended: true,
    }
}
