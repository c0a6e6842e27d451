//! Placement by the prompt parts that engines are assumed to keep.

use crate::support::{deliver_report, grants, instance, ms, request, scheduler};
use reedford_fleet::Now;
use reedford_fleet::scheduler::{AdapterKey, PlacementRequest, Progress, PromptPart, Scheduler};
use test_case::test_case;

const SHARED: PromptPart = PromptPart {
    id: 1,
    tokens: 6_000,
};

/// Returns a scheduler with two engines that hold adapters `a` and `b`.
fn two_engines() -> Scheduler {
    let mut scheduler = scheduler();
    for id in ["e1", "e2"] {
        scheduler.on_instance(&instance(id, 1), Now::ZERO);
        deliver_report(&mut scheduler, id, &["a", "b"], 0, Now::ZERO);
    }
    scheduler
}

fn call(id: &str, adapter: &str, parts: &[PromptPart], now: Now) -> PlacementRequest {
    let mut call = request(id, adapter, now);
    call.tokens = 7_000;
    call.parts = parts.to_vec();
    call
}

/// Runs a call to its end and returns its engine.
fn run(scheduler: &mut Scheduler, call: PlacementRequest, now: Now) -> Box<str> {
    let id = call.call.clone();
    assert_eq!(scheduler.submit(call, now), None);
    let actions = scheduler.poll(now);
    let engine = grants(&actions)[0].instance.clone();
    scheduler.progress(&id, Progress::Started, now + ms(400));
    scheduler.progress(&id, Progress::Ended, now + ms(500));
    engine
}

/// Keeps `engine` busy with a call whose prompt is short.
fn occupy(scheduler: &mut Scheduler, engine: &str, now: Now) {
    let mut call = request("busy", "b", now);
    call.tokens = 4_000;
    call.avoid = ["e1", "e2"]
        .into_iter()
        .filter(|e| *e != engine)
        .map(Into::into)
        .collect();
    assert_eq!(scheduler.submit(call, now), None);
    assert_eq!(&*grants(&scheduler.poll(now))[0].instance, engine);
}

#[test]
fn a_prompt_goes_to_the_engine_that_keeps_its_parts_although_it_is_busier() {
    let mut scheduler = two_engines();
    let first = run(&mut scheduler, call("c1", "a", &[SHARED], ms(0)), ms(0));
    occupy(&mut scheduler, &first, ms(1_000));
    let second = run(
        &mut scheduler,
        call("c2", "a", &[SHARED], ms(1_000)),
        ms(1_000),
    );
    assert_eq!(second, first);
}

struct OtherPrompt {
    adapter: &'static str,
    parts: &'static [PromptPart],
    /// Version of the adapter set between the two calls.
    new_version: Option<u64>,
}

/// Parts are kept for one adapter in one version, and are of use only after the
/// same parts.
#[test_case(OtherPrompt { adapter: "b", parts: &[SHARED], new_version: None }; "another adapter")]
#[test_case(OtherPrompt { adapter: "a", parts: &[PromptPart { id: 2, tokens: 10 }, SHARED], new_version: None }; "another part before")]
#[test_case(OtherPrompt { adapter: "a", parts: &[], new_version: None }; "no parts")]
#[test_case(OtherPrompt { adapter: "b", parts: &[SHARED], new_version: Some(2) }; "another version")]
fn a_prompt_that_shares_nothing_goes_to_the_idle_engine(other: OtherPrompt) {
    let mut scheduler = two_engines();
    let kept = if other.new_version.is_some() {
        "b"
    } else {
        "a"
    };
    let first = run(&mut scheduler, call("c1", kept, &[SHARED], ms(0)), ms(0));
    occupy(&mut scheduler, &first, ms(1_000));
    if let Some(version) = other.new_version {
        let key = AdapterKey {
            model: crate::support::MODEL.into(),
            adapter: other.adapter.into(),
        };
        scheduler.on_version(key, version);
    }
    let call = call("c2", other.adapter, other.parts, ms(1_000));
    assert_eq!(scheduler.submit(call, ms(1_000)), None);
    let placed = scheduler.poll(ms(1_000));
    assert!(
        grants(&placed).iter().all(|g| g.instance != first),
        "{placed:?}"
    );
}

/// Load pattern: long prompts that share most of their tokens, on engines that
/// keep few of them.
#[test]
fn parts_beyond_the_memory_of_an_engine_are_not_assumed_to_be_kept() {
    let mut scheduler = two_engines();
    let first = run(&mut scheduler, call("c0", "a", &[SHARED], ms(0)), ms(0));
    for n in 1..=40 {
        let now = ms(1_000 * n);
        let part = PromptPart {
            id: 100 + n,
            tokens: 6_000,
        };
        run(
            &mut scheduler,
            call(&format!("c{n}"), "a", &[part], now),
            now,
        );
    }
    let now = ms(60_000);
    occupy(&mut scheduler, &first, now);
    let last = run(&mut scheduler, call("last", "a", &[SHARED], now), now);
    assert_ne!(last, first);
}
