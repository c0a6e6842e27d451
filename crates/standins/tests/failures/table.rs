//! One or two faults at a time under traffic: no guarantee may be broken, and
//! while the platform is unreachable, calls that don't need it must be served.
//! Each test prints a table row with the share of calls served of each class:
//!
//! ```text
//! cargo test -p reedford-standins --test failures -- --nocapture --test-threads 1 | grep '^|'
//! ```

use crate::faults::Fault;
use crate::test_site::{ENTRIES, SiteOptions, TestSite, wait_until};
use crate::traffic::{CLASSES, Class, class};
use reedford_standins::history::{CallOutcome, CallRecord, Position};
use reedford_standins::platform::Faults;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Instant;
use test_case::test_case;

/// Number of calls before the faults, and after their end.
const CALLS_AROUND: usize = 80;
/// Minimum number of calls during the faults.
const CALLS_DURING: usize = 240;

#[test_case(&[]; "no failure")]
#[test_case(&[Fault::EntryStopped]; "entry stopped gracefully")]
#[test_case(&[Fault::EngineRestarted]; "target restarted empty")]
#[test_case(&[Fault::LoadsFail]; "loads fail")]
#[test_case(&[Fault::KvDown]; "key value service down")]
#[test_case(&[Fault::KvSlow]; "key value service slow")]
#[test_case(&[Fault::KvLosesAnswers]; "key value answers lost after the write")]
#[test_case(&[Fault::KvLateWrites]; "key value writes late")]
#[test_case(&[Fault::EngineLeaving]; "engine leaving")]
#[test_case(&[Fault::PlainLeaving]; "plain service leaving")]
#[test_case(&[Fault::ZoneCut]; "zone cut from the platform")]
#[test_case(&[Fault::ZoneHangs]; "zone hangs at the platform")]
#[test_case(&[Fault::ZoneSilent]; "platform connections silent")]
#[test_case(&[Fault::EngineSilent]; "engine connections silent")]
#[test_case(&[Fault::PlainSilent]; "plain connections silent")]
#[test_case(&[Fault::PlainLosesAnswers]; "plain answers lost")]
#[test_case(&[Fault::AnswersCrossed]; "answers crossed")]
#[test_case(&[Fault::AnswersLate]; "answers late")]
#[test_case(&[Fault::AnswersWrong]; "answers of a wrong model")]
#[test_case(&[Fault::KvLosesAnswers, Fault::EntryStopped]; "answers lost while an entry stops")]
#[test_case(&[Fault::KvDown, Fault::EngineRestarted]; "key value down and a target restarted")]
#[test_case(&[Fault::ZoneCut, Fault::EngineSilent]; "zone cut and engine silent")]
#[test_case(&[Fault::KvLateWrites, Fault::PlainLosesAnswers]; "late writes and plain answers lost")]
#[test_case(&[Fault::ZoneHangs, Fault::EntryStopped]; "zone hangs while an entry stops")]
#[test_case(&[Fault::LoadsFail, Fault::KvSlow]; "loads fail and key value slow")]
#[test_case(&[Fault::EngineLeaving, Fault::AnswersCrossed]; "engine leaving with answers crossed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn failures_break_nothing(faults: &'static [Fault]) {
    run(faults, SiteOptions::default()).await;
}

/// Each engine has one slot, and there are more adapters than engines, so that
/// owners evict constantly.
#[test_case(&[]; "no failure")]
#[test_case(&[Fault::EntryStopped]; "entry stopped gracefully")]
#[test_case(&[Fault::EngineRestarted]; "target restarted empty")]
#[test_case(&[Fault::KvSlow]; "key value service slow")]
#[test_case(&[Fault::ZoneCut]; "zone cut from the platform")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn failures_while_owners_evict_break_nothing(faults: &'static [Fault]) {
    let one_slot = SiteOptions {
        slots: 1,
        ..SiteOptions::default()
    };
    run(faults, one_slot).await;
}

/// The platform's list of instances shows changes 1.5 s late.
#[test_case(&[Fault::TargetsLeave]; "targets leave")]
#[test_case(&[Fault::TargetsLeave, Fault::EntryStopped]; "targets and an entry leave")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn failures_while_the_list_lags_break_nothing(faults: &'static [Fault]) {
    let lagging = SiteOptions {
        lag_ms: 1_500,
        ..SiteOptions::default()
    };
    run(faults, lagging).await;
}

async fn run(faults: &[Fault], options: SiteOptions) {
    let mut test = TestSite::start_with(options).await;
    let traffic = test.start_traffic();
    traffic.wait_for_calls(CALLS_AROUND).await;

    let began = test.recorder.position();
    let induced_at = Instant::now();
    let mut platform_faults = Faults::default();
    for fault in faults {
        fault.add_platform_faults(&mut platform_faults);
    }
    test.set_platform_faults(&platform_faults).await;
    for fault in faults {
        fault.induce(&mut test).await;
    }
    traffic.wait_for_calls(CALLS_DURING).await;
    let min_duration = faults
        .iter()
        .map(|f| f.min_duration())
        .max()
        .unwrap_or_default();
    wait_until("the faults have lasted long enough", async || {
        induced_at.elapsed() >= min_duration
    })
    .await;
    let ended = test.recorder.position();

    test.set_platform_faults(&Faults::default()).await;
    for fault in faults {
        fault.end(&test).await;
    }
    traffic.wait_for_calls(CALLS_AROUND).await;
    traffic.stop().await;
    let (history, broken) = test.finish().await;
    let during = began..ended;
    let shares = served_shares(faults, &history.calls, &during);
    let texts = shares.values().map(|s| format!("{}/{}", s.served, s.total));
    let texts = texts.collect::<Vec<_>>().join(" | ");
    println!(
        "| {faults:?} | {} | {texts} | {} |",
        options.slots,
        unserved_text(&history.calls, &during)
    );
    assert!(broken.is_empty(), "{broken:#?}");
    let all_resident = options.slots == SiteOptions::default().slots;
    if let ([Fault::KvDown | Fault::ZoneCut | Fault::ZoneHangs], true) = (faults, all_resident) {
        let share = shares[&Class::Repeatable];
        assert_eq!(share.served, share.total, "calls that need no platform");
    }
}

/// Number of served calls, and of all calls.
#[derive(Clone, Copy, Debug, Default)]
struct ServedShare {
    served: usize,
    total: usize,
}

/// Counts the calls that began in `during` by class. All tries under one marker
/// are one call, which is served if any try is.
fn served_shares(
    faults: &[Fault],
    calls: &[CallRecord],
    during: &Range<Position>,
) -> BTreeMap<Class, ServedShare> {
    let zone_only = faults.iter().any(|f| f.affects_first_zone_only());
    let in_first_zone = |entry: &str| ENTRIES.iter().any(|(e, zone)| *e == entry && *zone == 0);
    let mut calls_by_marker: BTreeMap<&str, (&CallRecord, bool)> = BTreeMap::new();
    for call in calls {
        let done = call.outcome == CallOutcome::Done;
        let first_and_done = calls_by_marker
            .entry(&call.request.marker)
            .or_insert((call, false));
        first_and_done.1 |= done;
        if call.began < first_and_done.0.began {
            first_and_done.0 = call;
        }
    }
    let mut shares: BTreeMap<Class, ServedShare> =
        CLASSES.map(|c| (c, ServedShare::default())).into();
    for (first, done) in calls_by_marker.values() {
        if during.contains(&first.began) && (!zone_only || in_first_zone(&first.request.entry)) {
            let share = shares.entry(class(first)).or_default();
            share.total += 1;
            share.served += usize::from(*done);
        }
    }
    shares
}

/// Formats the counts of calls that were not served, by outcome and code.
fn unserved_text(calls: &[CallRecord], during: &Range<Position>) -> String {
    let mut counts: BTreeMap<(CallOutcome, &str), usize> = BTreeMap::new();
    for call in calls {
        if call.outcome != CallOutcome::Done && during.contains(&call.began) {
            *counts.entry((call.outcome, &call.code)).or_default() += 1;
        }
    }
    let texts = counts
        .iter()
        .map(|((outcome, code), n)| format!("{n} {outcome:?} {code}"));
    texts.collect::<Vec<_>>().join(", ")
}
