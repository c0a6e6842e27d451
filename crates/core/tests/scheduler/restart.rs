//! An engine that starts again, empty.

use super::support::{Bench, POLICY, asked, av, facts, granted, ms, order, refused, turn_ended};
use reedford_core::messages::PermitReason;
use reedford_core::scheduler::{Action, LoadError};
use std::collections::BTreeSet;

const REBOOTED: &str = "boot-2";

fn restart(bench: &mut Bench, slots: u32) -> Vec<Action> {
    bench.now += ms(10);
    bench.listing(&facts(REBOOTED, slots, 8, &[]))
}

#[test]
fn a_request_that_waits_for_its_load_goes_on_waiting() {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    let (id, _) = bench.request("a");
    assert_eq!(restart(&mut bench, 1), [], "its turn is asked for already");
    assert_eq!(bench.turn("a"), [order(None, "a")]);
    bench.now += ms(250);
    assert_eq!(bench.loaded("a"), [turn_ended("a"), granted(&id, ms(260))]);
}

#[test]
fn a_request_that_waits_for_room_gets_its_adapter_loaded_again() {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    let pins: Vec<_> = (0..8).map(|_| bench.request("a").0).collect();
    let (waiting, _) = bench.request("a");
    assert_eq!(asked(&restart(&mut bench, 1)), ["a"]);
    bench.turn("a");
    bench.now += ms(250);
    assert_eq!(
        bench.loaded("a"),
        [turn_ended("a")],
        "the batch may be full still"
    );
    assert_eq!(bench.release(&pins[0], true), [granted(&waiting, ms(260))]);
}

#[test]
fn a_permit_from_before_the_restart_still_pins() {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    let (slow, _) = bench.request("a");
    restart(&mut bench, 1);
    bench.load("a");
    bench.request("b");
    assert_eq!(
        bench.turn("b"),
        [turn_ended("b")],
        "it may reach the engine yet"
    );
    bench.release(&slow, true);
    assert_eq!(bench.turn("b"), [order(Some("a"), "b")]);
}

#[test]
fn a_former_owner_is_waited_for_all_the_same() {
    let mut bench = Bench::unheard(POLICY, ms(0), ms(5_000));
    bench.now = ms(1);
    bench.listing(&facts("boot-1", 1, 8, &[]));
    restart(&mut bench, 1);
    bench.load("a");
    bench.request("b");
    let idle = facts(REBOOTED, 1, 8, &[("a", 0)]);
    bench.now = ms(4_999);
    bench.listing(&idle);
    assert_eq!(
        bench.scheduler.open_slots(),
        0,
        "it may send to the adapter yet"
    );
    bench.now = ms(5_000);
    bench.listing(&idle);
    assert_eq!(bench.turn("b"), [order(Some("a"), "b")]);
}

/// An order to the old boot whose end is reported after the restart.
struct Late {
    end: fn(&mut Bench) -> Vec<Action>,
    refused: Option<PermitReason>,
}

#[test_case::test_case(Late {
    end: |b| b.act(|s, cx| s.on_loaded(&av("b"), Err(LoadError::Failed), cx)),
    refused: Some(PermitReason::LoadFailed),
}; "the load failed")]
#[test_case::test_case(Late {
    end: |b| b.loaded("b"),
    refused: None,
}; "the old boot had loaded it")]
fn an_order_to_the_old_boot_never_leads_to_a_grant(case: Late) {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    bench.request("b");
    bench.turn("b");
    restart(&mut bench, 1);
    let actions = (case.end)(&mut bench);
    assert_eq!(refused(&actions), case.refused);
    assert_eq!(bench.scheduler.residents(), BTreeSet::new());
    assert_eq!(bench.scheduler.running(), 0);
}
