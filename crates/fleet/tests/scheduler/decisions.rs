//! Single decisions.

use crate::support::{
    MODEL, ask, grants, instance, key, listed, ms, orders, scheduler, shorts, with_engine,
};
use reedford_fleet::Now;
use reedford_fleet::scheduler::{
    Action, OrderKind, OrderOutcome, Progress, RefusalReason, Rejection, Scheduler,
};
use test_case::test_case;

/// Asks for a call on `adapter` and answers with what is decided.
fn asked(scheduler: &mut Scheduler, call: &str, adapter: &str, now: Now) -> Vec<Action> {
    assert_eq!(scheduler.submit(ask(call, adapter, now), now), None);
    scheduler.poll(now)
}

#[test]
fn a_resident_adapter_is_granted_at_once() {
    let mut scheduler = with_engine(&["a"]);
    let actions = asked(&mut scheduler, "c1", "a", ms(1));
    let granted = grants(&actions);
    assert_eq!(&*granted[0].instance, "e1");
    assert_eq!(granted[0].version, Some(1));
}

#[test]
fn a_missing_adapter_is_loaded_once_for_all_that_wait() {
    let mut scheduler = with_engine(&[]);
    assert_eq!(shorts(&asked(&mut scheduler, "c1", "a", ms(1))), ["+a"]);
    let more = asked(&mut scheduler, "c2", "a", ms(2));
    assert!(orders(&more).is_empty() && grants(&more).is_empty());
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(3));
    assert_eq!(grants(&scheduler.poll(ms(100))).len(), 0);
    assert_eq!(grants(&scheduler.poll(ms(400))).len(), 2);
}

#[test]
fn orders_to_an_engine_go_one_after_the_other_and_name_the_count_before() {
    let mut scheduler = with_engine(&[]);
    let first = asked(&mut scheduler, "c1", "a", ms(1));
    assert_eq!(orders(&first)[0].after, 0);
    assert!(orders(&asked(&mut scheduler, "c2", "b", ms(1))).is_empty());
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(2));
    let second = scheduler.poll(ms(2));
    assert_eq!(shorts(&second), ["+b"]);
    assert_eq!(orders(&second)[0].after, 1);
}

#[test]
fn an_engine_out_of_reach_gives_its_loads_to_others_and_gets_no_more_orders() {
    let mut scheduler = with_engine(&[]);
    scheduler.on_instance(&instance("e2", 1), Now::ZERO);
    listed(&mut scheduler, "e2", &[], 0, Now::ZERO);
    let first = asked(&mut scheduler, "c1", "a", ms(1));
    let chosen = orders(&first)[0].instance.clone();
    scheduler.on_order_outcome(&chosen, OrderOutcome::NotSent, ms(2));
    let then = scheduler.poll(ms(2));
    assert_eq!(shorts(&then), ["+a"]);
    assert_ne!(orders(&then)[0].instance, chosen);
    scheduler.on_order_outcome(&orders(&then)[0].instance, OrderOutcome::NotSent, ms(3));
    assert!(
        orders(&scheduler.poll(ms(4))).is_empty(),
        "neither is asked again at once"
    );
}

/// Calls that were sent together are rejected together; they tell one thing.
#[test]
fn calls_rejected_for_one_late_load_make_later_loads_hardly_longer() {
    let mut scheduler = with_engine(&[]);
    for n in 0..40 {
        let mut short = ask(&format!("c{n}"), "a", ms(0));
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
    asked(&mut scheduler, "other", "b", ms(310));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(310));
    let sent = scheduler.poll(ms(610));
    let calls = grants(&sent);
    assert!(calls.iter().any(|g| &*g.call == "other"), "{calls:?}");
}

struct EvictionCase {
    /// What the engine answers to the eviction.
    answer: OrderOutcome,
    /// Whether the load that needs the place goes out then.
    loads: bool,
}

#[test_case(EvictionCase { answer: OrderOutcome::Done, loads: true }; "done")]
#[test_case(EvictionCase { answer: OrderOutcome::Accepted, loads: false }; "waits for calls of others")]
#[test_case(EvictionCase { answer: OrderOutcome::Unknown, loads: false }; "unknown")]
fn a_place_is_free_only_when_its_eviction_is_done(case: EvictionCase) {
    let mut scheduler = with_engine(&["a", "b", "c", "d", "e"]);
    let evicted = asked(&mut scheduler, "c1", "new", ms(1));
    assert!(shorts(&evicted)[0].starts_with('-'));
    scheduler.on_order_outcome("e1", case.answer, ms(2));
    let next = shorts(&scheduler.poll(ms(3)));
    assert_eq!(next == ["+new"], case.loads, "{next:?}");
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let mut scheduler = with_engine(&["a", "b", "c", "d", "e"]);
    for (n, adapter) in ["a", "b", "c", "d"].iter().enumerate() {
        let call = format!("c{n}");
        scheduler.submit(ask(&call, adapter, ms(1)), ms(1));
        scheduler.poll(ms(1));
        scheduler.progress(&call, Progress::Started, ms(1));
    }
    assert_eq!(shorts(&asked(&mut scheduler, "x", "new", ms(2))), ["-e"]);
}

#[test]
fn an_adapter_that_may_not_have_arrived_is_not_evicted() {
    let mut scheduler = with_engine(&["a", "b", "c", "d"]);
    for (n, adapter) in ["a", "b", "c", "d"].iter().enumerate() {
        let call = format!("c{n}");
        scheduler.submit(ask(&call, adapter, ms(1)), ms(1));
        scheduler.poll(ms(1));
        scheduler.progress(&call, Progress::Started, ms(1));
    }
    asked(&mut scheduler, "x", "slow", ms(2));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(3));
    scheduler.withdraw("x", ms(4));
    let early = asked(&mut scheduler, "y", "new", ms(400));
    assert!(orders(&early).is_empty(), "{early:?}");
    assert_eq!(shorts(&scheduler.poll(ms(1_400))), ["-slow"]);
}

#[test]
fn a_call_that_comes_before_its_adapter_waits_on() {
    let mut scheduler = with_engine(&[]);
    asked(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(2));
    assert_eq!(grants(&scheduler.poll(ms(300))).len(), 1);
    scheduler.progress("c1", Progress::Rejected(Rejection::Missing), ms(301));
    let again = asked(&mut scheduler, "c1b", "a", ms(302));
    assert!(grants(&again).is_empty() && orders(&again).is_empty());
    assert_eq!(grants(&scheduler.poll(ms(360))).len(), 1);
}

#[test]
fn an_engine_that_lacks_what_it_should_hold_is_listed() {
    let mut scheduler = with_engine(&["a"]);
    asked(&mut scheduler, "c1", "a", ms(1));
    scheduler.progress("c1", Progress::Rejected(Rejection::Missing), ms(2));
    listed(&mut scheduler, "e1", &[], 0, ms(3));
    assert!(scheduler.residents()["e1"].is_empty());
}

#[test]
fn after_an_order_without_answer_nothing_is_ordered_before_a_listing() {
    let mut scheduler = with_engine(&[]);
    asked(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Unknown, ms(500));
    assert!(scheduler.poll(ms(510)).is_empty());
    listed(&mut scheduler, "e1", &[], 0, ms(900));
    let again = scheduler.poll(ms(901));
    assert_eq!(shorts(&again), ["+a"]);
    assert_eq!(orders(&again)[0].after, 0, "a late first order then fails");
}

#[test]
fn a_report_asked_for_before_an_order_is_not_believed() {
    let mut scheduler = with_engine(&[]);
    asked(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Unknown, ms(100));
    let actions = scheduler.poll(ms(200));
    assert!(actions.is_empty(), "reports lag: {actions:?}");
}

#[test]
fn a_version_named_later_makes_what_was_loaded_as_the_newest_stale() {
    let mut scheduler = with_engine(&[]);
    asked(&mut scheduler, "c1", "a", ms(1));
    scheduler.on_order_outcome("e1", OrderOutcome::Accepted, ms(2));
    scheduler.poll(ms(400));
    scheduler.progress("c1", Progress::Ended, ms(500));
    scheduler.on_version(key("a"), 2);
    let actions = asked(&mut scheduler, "c2", "a", ms(600));
    assert!(grants(&actions).is_empty());
    let OrderKind::LoadAdapter { version, .. } = &orders(&actions)[0].kind else {
        panic!("{actions:?}");
    };
    assert_eq!(*version, Some(2));
}

#[test]
fn an_engine_started_again_holds_nothing_of_before() {
    let mut scheduler = with_engine(&["a"]);
    let mut again = instance("e1", 2);
    again.models.clear();
    scheduler.on_instance(&again, ms(10));
    listed(&mut scheduler, "e1", &[], 0, ms(11));
    scheduler.on_instance(&again, ms(12));
    assert!(scheduler.residents()["e1"].is_empty());
}

#[test]
fn an_engine_without_a_model_gets_one() {
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
        arriving: std::collections::BTreeSet::new(),
    };
    scheduler.on_report("e1", Some(&report), ms(1));
    assert_eq!(shorts(&scheduler.poll(ms(2))), [format!("*{MODEL}")]);
}

#[test]
fn without_an_engine_a_call_is_refused_at_once() {
    let mut scheduler = scheduler();
    let mut hopeless = ask("c1", "a", ms(1));
    hopeless.deadline = ms(1_200);
    let refusal = scheduler.submit(hopeless, ms(1)).expect("refused");
    assert_eq!(refusal.reason, RefusalReason::NoEngine);
    assert!(refusal.retry_after <= ms(1_200) / 3);
}

#[test]
fn what_cannot_start_before_its_deadline_is_refused_and_not_held() {
    let mut scheduler = with_engine(&["a"]);
    for n in 0..40 {
        let now = ms(1);
        let mut long = ask(&format!("c{n}"), "a", now);
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
fn a_call_that_can_start_in_time_goes_before_one_that_cannot() {
    let mut scheduler = with_engine(&["a"]);
    for n in 0..4 {
        scheduler.submit(ask(&format!("busy{n}"), "a", ms(0)), ms(0));
        scheduler.poll(ms(0));
    }
    let mut late = ask("late", "a", ms(0));
    late.objective = ms(20);
    scheduler.submit(late, ms(1));
    scheduler.submit(ask("in_time", "a", ms(2)), ms(2));
    let mut order = Vec::new();
    for step in 1..20 {
        let now = ms(step * 100);
        for call in ["busy0", "busy1", "busy2", "busy3"] {
            scheduler.progress(call, Progress::Started, now);
        }
        let actions = scheduler.poll(now);
        order.extend(grants(&actions).iter().map(|g| g.call.to_string()));
    }
    let place = |call: &str| order.iter().position(|c| c == call);
    assert!(place("in_time") < place("late"), "{order:?}");
}

#[test]
fn a_withdrawn_call_gives_its_place_back() {
    let mut scheduler = with_engine(&["a", "b", "c", "d", "e"]);
    asked(&mut scheduler, "c1", "a", ms(1));
    scheduler.withdraw("c1", ms(2));
    assert_eq!(scheduler.stats().running, 0);
    assert_eq!(scheduler.stats().arriving, 0);
}

#[test]
fn calls_of_a_lost_node_are_forgotten_after_their_deadline() {
    let mut scheduler = with_engine(&["a"]);
    asked(&mut scheduler, "c1", "a", ms(1));
    assert_eq!(scheduler.stats().running, 1);
    scheduler.poll(ms(6_000));
    assert_eq!(scheduler.stats().running, 0);
}
