//! Single decisions of the scheduler.

use crate::support::{
    MODEL, deliver_report, grants, instance, key, ms, order_labels, orders, request, scheduler,
    scheduler_with_engine,
};
use reedford_fleet::Now;
use reedford_fleet::directory::{Instance, InstanceState};
use reedford_fleet::scheduler::{
    Action, OrderKind, OrderOutcome, Progress, RefusalReason, Rejection, Scheduler,
};
use std::time::Duration;
use test_case::test_case;

/// Submits a call on `adapter` and returns the resulting actions.
fn submit_and_poll(scheduler: &mut Scheduler, call: &str, adapter: &str, now: Now) -> Vec<Action> {
    assert_eq!(scheduler.submit(request(call, adapter, now), now), None);
    scheduler.poll(now)
}

#[test]
fn a_resident_adapter_is_granted_at_once() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    let actions = submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    let granted = grants(&actions);
    assert_eq!(&*granted[0].instance, "e1");
    assert_eq!(granted[0].version, Some(1));
}

#[test]
fn a_missing_adapter_is_loaded_once_for_all_queued_calls() {
    let mut scheduler = scheduler_with_engine(&[]);
    assert_eq!(
        order_labels(&submit_and_poll(&mut scheduler, "c1", "a", ms(1))),
        ["+a"]
    );
    let more = submit_and_poll(&mut scheduler, "c2", "a", ms(2));
    assert!(orders(&more).is_empty() && grants(&more).is_empty());
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(3));
    assert_eq!(grants(&scheduler.poll(ms(100))).len(), 0);
    assert_eq!(grants(&scheduler.poll(ms(400))).len(), 2);
}

#[test]
fn orders_to_an_engine_are_sequential_and_state_the_accepted_orders() {
    let mut scheduler = scheduler_with_engine(&[]);
    let first = submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    assert_eq!(orders(&first)[0].after, 0);
    assert!(orders(&submit_and_poll(&mut scheduler, "c2", "b", ms(1))).is_empty());
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(2));
    let second = scheduler.poll(ms(2));
    assert_eq!(order_labels(&second), ["+b"]);
    assert_eq!(orders(&second)[0].after, 1);
}

#[test]
fn loads_of_an_unreachable_engine_move_to_others_and_it_gets_no_more_orders() {
    let mut scheduler = scheduler_with_engine(&[]);
    scheduler.on_instance(&instance("e2", 1), Now::ZERO);
    deliver_report(&mut scheduler, "e2", &[], 0, Now::ZERO);
    let first = submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    let chosen = orders(&first)[0].instance.clone();
    scheduler.on_order_outcome(&chosen, OrderOutcome::NotSent, ms(2));
    let next_actions = scheduler.poll(ms(2));
    assert_eq!(order_labels(&next_actions), ["+a"]);
    assert_ne!(orders(&next_actions)[0].instance, chosen);
    scheduler.on_order_outcome(
        &orders(&next_actions)[0].instance,
        OrderOutcome::NotSent,
        ms(3),
    );
    assert!(
        orders(&scheduler.poll(ms(4))).is_empty(),
        "neither gets another order at once"
    );
}

/// Calls that were granted for the same load are rejected together. The load time
/// estimate must count these rejections once.
#[test]
fn calls_rejected_for_one_late_load_raise_the_estimate_once() {
    let mut scheduler = scheduler_with_engine(&[]);
    for n in 0..40 {
        let mut short = request(&format!("c{n}"), "a", ms(0));
        short.tokens = 10;
        scheduler.submit(short, ms(0));
    }
    scheduler.poll(ms(0));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(0));
    let sent = scheduler.poll(ms(300));
    let granted = grants(&sent);
    assert!(granted.len() > 1);
    for grant in &granted {
        let rejected = Progress::Rejected(Rejection::Missing);
        scheduler.progress(&grant.call, rejected, ms(301));
    }
    submit_and_poll(&mut scheduler, "other", "b", ms(310));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(310));
    let sent = scheduler.poll(ms(610));
    let calls = grants(&sent);
    assert!(calls.iter().any(|g| &*g.call == "other"), "{calls:?}");
}

struct EvictionCase {
    /// Outcome of the eviction.
    outcome: OrderOutcome,
    /// Whether the load that needs the slot is ordered then.
    loads: bool,
}

#[test_case(EvictionCase { outcome: OrderOutcome::Done, loads: true }; "done")]
#[test_case(EvictionCase { outcome: OrderOutcome::Accepted, loads: false }; "waits for calls of other nodes")]
#[test_case(EvictionCase { outcome: OrderOutcome::Unknown, loads: false }; "unknown")]
fn a_slot_is_free_only_when_its_eviction_is_done(case: EvictionCase) {
    let mut scheduler = scheduler_with_engine(&["a", "b", "c", "d", "e"]);
    let evicted = submit_and_poll(&mut scheduler, "c1", "new", ms(1));
    assert!(order_labels(&evicted)[0].starts_with('-'));
    scheduler.on_order_outcome("e1", case.outcome, ms(2));
    let next = order_labels(&scheduler.poll(ms(3)));
    assert_eq!(next == ["+new"], case.loads, "{next:?}");
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let mut scheduler = scheduler_with_engine(&["a", "b", "c", "d", "e"]);
    for (n, adapter) in ["a", "b", "c", "d"].iter().enumerate() {
        let call = format!("c{n}");
        scheduler.submit(request(&call, adapter, ms(1)), ms(1));
        scheduler.poll(ms(1));
        scheduler.progress(&call, Progress::Started, ms(1));
    }
    assert_eq!(
        order_labels(&submit_and_poll(&mut scheduler, "x", "new", ms(2))),
        ["-e"]
    );
}

#[test]
fn an_adapter_whose_load_may_be_incomplete_is_not_evicted() {
    let mut scheduler = scheduler_with_engine(&["a", "b", "c", "d"]);
    for (n, adapter) in ["a", "b", "c", "d"].iter().enumerate() {
        let call = format!("c{n}");
        scheduler.submit(request(&call, adapter, ms(1)), ms(1));
        scheduler.poll(ms(1));
        scheduler.progress(&call, Progress::Started, ms(1));
    }
    submit_and_poll(&mut scheduler, "x", "slow", ms(2));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(3));
    scheduler.cancel("x", ms(4));
    let early = submit_and_poll(&mut scheduler, "y", "new", ms(400));
    assert!(orders(&early).is_empty(), "{early:?}");
    assert_eq!(order_labels(&scheduler.poll(ms(1_400))), ["-slow"]);
}

#[test]
fn a_call_rejected_before_its_adapter_is_loaded_is_queued_again() {
    let mut scheduler = scheduler_with_engine(&[]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(2));
    assert_eq!(grants(&scheduler.poll(ms(300))).len(), 1);
    scheduler.progress("c1", Progress::Rejected(Rejection::Missing), ms(301));
    let again = submit_and_poll(&mut scheduler, "c1b", "a", ms(302));
    assert!(grants(&again).is_empty() && orders(&again).is_empty());
    assert_eq!(grants(&scheduler.poll(ms(360))).len(), 1);
}

#[test]
fn a_report_is_fetched_from_an_engine_that_lacks_an_adapter() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.progress("c1", Progress::Rejected(Rejection::Missing), ms(2));
    deliver_report(&mut scheduler, "e1", &[], 0, ms(3));
    assert!(scheduler.held_adapters()["e1"].is_empty());
}

#[test]
fn after_an_order_with_unknown_outcome_a_report_precedes_the_next_order() {
    let mut scheduler = scheduler_with_engine(&[]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Unknown, ms(500));
    assert!(scheduler.poll(ms(510)).is_empty());
    deliver_report(&mut scheduler, "e1", &[], 0, ms(900));
    let again = scheduler.poll(ms(901));
    assert_eq!(order_labels(&again), ["+a"]);
    assert_eq!(
        orders(&again)[0].after,
        0,
        "a late delivery of the first order then fails"
    );
}

#[test]
fn no_report_is_fetched_soon_after_an_order_with_unknown_outcome() {
    let mut scheduler = scheduler_with_engine(&[]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Unknown, ms(100));
    let actions = scheduler.poll(ms(200));
    assert!(
        actions.is_empty(),
        "reports may be older than the order: {actions:?}"
    );
}

#[test]
fn a_copy_loaded_as_newest_becomes_stale_when_a_later_version_is_set() {
    let mut scheduler = scheduler_with_engine(&[]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(2));
    scheduler.poll(ms(400));
    scheduler.progress("c1", Progress::Ended, ms(500));
    scheduler.on_version(key("a"), 2);
    let actions = submit_and_poll(&mut scheduler, "c2", "a", ms(600));
    assert!(grants(&actions).is_empty());
    let OrderKind::LoadAdapter { version, .. } = &orders(&actions)[0].kind else {
        panic!("{actions:?}");
    };
    assert_eq!(*version, Some(2));
}

#[test]
fn a_restarted_engine_holds_no_earlier_adapters() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    let mut again = instance("e1", 2);
    again.models.clear();
    scheduler.on_instance(&again, ms(10));
    deliver_report(&mut scheduler, "e1", &[], 0, ms(11));
    scheduler.on_instance(&again, ms(12));
    assert!(scheduler.held_adapters()["e1"].is_empty());
}

#[test]
fn an_engine_without_a_base_model_loads_one() {
    let mut scheduler = scheduler();
    let mut empty = instance("e1", 1);
    empty.models.clear();
    scheduler.on_instance(&empty, Now::ZERO);
    scheduler.poll(Now::ZERO);
    let report = reedford_fleet::scheduler::EngineReport {
        born: 1,
        orders: 0,
        busy: false,
        models: std::collections::BTreeMap::new(),
        loading: std::collections::BTreeSet::new(),
    };
    scheduler.on_report("e1", Some(&report), ms(1));
    assert_eq!(order_labels(&scheduler.poll(ms(2))), [format!("*{MODEL}")]);
}

#[test]
fn a_call_without_any_engine_is_refused_at_once() {
    let mut scheduler = scheduler();
    let mut short_deadline = request("c1", "a", ms(1));
    short_deadline.deadline = ms(1_200);
    let refusal = scheduler.submit(short_deadline, ms(1)).expect("refused");
    assert_eq!(refusal.reason, RefusalReason::NoEngine);
    assert!(refusal.retry_after <= ms(1_200) / 3);
}

/// Guards against a resumed stream that is placed at an engine of another software
/// version, or that waits for one of its own when there is none.
#[test]
fn a_resumed_stream_is_placed_at_its_software_version_only() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    let mut other = instance("e2", 1);
    other.software = "v2".into();
    scheduler.on_instance(&other, ms(1));
    deliver_report(&mut scheduler, "e2", &["a"], 0, ms(1));
    for (call, software, engine) in [("c1", "v1", "e1"), ("c2", "v2", "e2"), ("c3", "v2", "e2")] {
        let mut resumed = request(call, "a", ms(2));
        resumed.software = Some(software.into());
        assert_eq!(scheduler.submit(resumed, ms(2)), None);
        let actions = scheduler.poll(ms(2));
        assert_eq!(&*grants(&actions)[0].instance, engine, "{call}");
    }
    let mut gone = request("c4", "a", ms(3));
    gone.software = Some("v3".into());
    let refusal = scheduler.submit(gone, ms(3)).expect("refused");
    assert_eq!(refusal.reason, RefusalReason::VersionGone);
}

#[test]
fn a_call_with_too_long_a_wait_is_refused_on_arrival() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    for n in 0..40 {
        let now = ms(1);
        let mut long = request(&format!("c{n}"), "a", now);
        long.deadline = now + ms(1_500);
        let refusal = scheduler.submit(long, now);
        scheduler.poll(now);
        if let Some(refusal) = refusal {
            assert_eq!(refusal.reason, RefusalReason::Overload);
            return;
        }
    }
    panic!("40 calls of 100 ms can't all start within 1.5 s");
}

#[test]
fn a_call_that_can_start_in_time_precedes_one_that_cannot() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    for n in 0..4 {
        scheduler.submit(request(&format!("busy{n}"), "a", ms(0)), ms(0));
        scheduler.poll(ms(0));
    }
    let mut late = request("late", "a", ms(0));
    late.objective_at = ms(20);
    scheduler.submit(late, ms(1));
    scheduler.submit(request("in_time", "a", ms(2)), ms(2));
    let mut order = Vec::new();
    for step in 1..20 {
        let now = ms(step * 100);
        for call in ["busy0", "busy1", "busy2", "busy3"] {
            scheduler.progress(call, Progress::Started, now);
        }
        let actions = scheduler.poll(now);
        order.extend(grants(&actions).iter().map(|g| g.call.to_string()));
    }
    let position = |call: &str| order.iter().position(|c| c == call);
    assert!(position("in_time") < position("late"), "{order:?}");
}

#[test]
fn a_cancelled_call_releases_its_grant() {
    let mut scheduler = scheduler_with_engine(&["a", "b", "c", "d", "e"]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.cancel("c1", ms(2));
    assert_eq!(scheduler.stats().running, 0);
    assert_eq!(scheduler.stats().pending_loads, 0);
}

#[test]
fn calls_of_a_failed_node_expire_after_their_deadline() {
    let mut scheduler = scheduler_with_engine(&["a"]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    assert_eq!(scheduler.stats().running, 1);
    scheduler.poll(ms(6_000));
    assert_eq!(scheduler.stats().running, 0);
}

/// A caller that comes back earlier than the queue takes would be refused again.
#[test]
fn a_refused_caller_is_told_to_come_back_after_the_expected_wait() {
    const MAX_RETRY_DELAY: Duration = Duration::from_millis(6_000);
    let mut scheduler = scheduler_with_engine(&["a"]);
    for n in 0..40 {
        let mut call = request(&format!("c{n}"), "a", ms(0));
        call.tokens = 3_000;
        call.deadline = ms(20_000);
        call.first_token_by = ms(4_000);
        let expected = scheduler.expected_wait(&call, ms(0));
        if let Some(refusal) = scheduler.submit(call, ms(0)) {
            assert_eq!(refusal.retry_after, expected.min(MAX_RETRY_DELAY));
            return;
        }
        scheduler.poll(ms(0));
    }
    panic!("no call was refused");
}

/// Guards against an order that is repeated, and a report that is fetched, after the
/// engine has announced that it is leaving.
#[test_case(OrderOutcome::Conflict; "an order to repeat")]
#[test_case(OrderOutcome::Unknown; "a report to fetch")]
fn a_leaving_engine_gets_neither_orders_nor_requests_for_reports(outcome: OrderOutcome) {
    let mut scheduler = scheduler_with_engine(&[]);
    assert_eq!(
        order_labels(&submit_and_poll(&mut scheduler, "c1", "a", ms(1))),
        ["+a"]
    );
    let leaving = Instance {
        state: InstanceState::Leaving,
        ..instance("e1", 1)
    };
    scheduler.on_instance(&leaving, ms(2));
    scheduler.on_order_outcome("e1", outcome, ms(3));
    assert_eq!(scheduler.poll(ms(2_000)), []);
    let next_poll = scheduler.next_poll(ms(2_000));
    assert!(next_poll.is_none_or(|at| at > ms(2_000)), "{next_poll:?}");
}

/// Guards against orders and requests for reports to an engine before the end of
/// the time for which it asked to be sent nothing.
#[test_case(OrderOutcome::Conflict; "an order to repeat")]
#[test_case(OrderOutcome::Unknown; "a report to fetch")]
fn a_held_engine_gets_neither_orders_nor_requests_for_reports(outcome: OrderOutcome) {
    let mut scheduler = scheduler_with_engine(&[]);
    submit_and_poll(&mut scheduler, "c1", "a", ms(1));
    scheduler.hold_engine("e1", ms(1_500));
    scheduler.on_order_outcome("e1", outcome, ms(3));
    assert_eq!(scheduler.poll(ms(1_499)), []);
    let next_poll = scheduler.next_poll(ms(1_499));
    assert!(next_poll.is_some_and(|at| at >= ms(1_500)), "{next_poll:?}");
    assert_eq!(scheduler.poll(ms(1_500)).len(), 1);
}

/// A load on a held engine starts at the end of its hold.
#[test]
fn a_load_goes_to_an_engine_that_is_not_held() {
    for held in ["e1", "e2"] {
        let mut scheduler = scheduler_with_engine(&[]);
        scheduler.on_instance(&instance("e2", 1), Now::ZERO);
        deliver_report(&mut scheduler, "e2", &[], 0, Now::ZERO);
        scheduler.hold_engine(held, ms(1_500));
        let actions = submit_and_poll(&mut scheduler, "c1", "a", ms(1));
        let order = orders(&actions);
        assert_eq!(order.len(), 1);
        assert_ne!(&*order[0].instance, held);
    }
}
