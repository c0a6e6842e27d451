//! Failures under load, one and two together: nothing is broken, and the share
//! of calls served of each class is printed, one row a failure:
//!
//! ```text
//! cargo test -p reedford-standins --test failures -- --nocapture --test-threads 1 | grep '^|'
//! ```

use crate::faults::Fault;
use crate::scene::{ENTRIES, Kit, Scene, until};
use crate::traffic::{CLASSES, Class, class};
use reedford_standins::history::{CallOutcome, CallRecord, Position};
use reedford_standins::platform::Faults;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Instant;
use test_case::test_case;

/// Calls before the failure, and after its end.
const AROUND: usize = 80;
/// Calls during the failure, at least.
const DURING: usize = 240;

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
    run(faults, Kit::default()).await;
}

/// With one slot for each engine and more adapters than engines, owners evict
/// all the time.
#[test_case(&[]; "no failure")]
#[test_case(&[Fault::EntryStopped]; "entry stopped gracefully")]
#[test_case(&[Fault::EngineRestarted]; "target restarted empty")]
#[test_case(&[Fault::KvSlow]; "key value service slow")]
#[test_case(&[Fault::ZoneCut]; "zone cut from the platform")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn failures_while_owners_evict_break_nothing(faults: &'static [Fault]) {
    let one_slot = Kit {
        slots: 1,
        ..Kit::default()
    };
    run(faults, one_slot).await;
}

/// The platform's list shows changes 1.5 s late.
#[test_case(&[Fault::TargetsLeave]; "targets leave")]
#[test_case(&[Fault::TargetsLeave, Fault::EntryStopped]; "targets and an entry leave")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn failures_while_the_list_lags_break_nothing(faults: &'static [Fault]) {
    let lagging = Kit {
        lag_ms: 1_500,
        ..Kit::default()
    };
    run(faults, lagging).await;
}

async fn run(faults: &[Fault], kit: Kit) {
    let mut scene = Scene::start_with(kit).await;
    let load = scene.load();
    load.pass(AROUND).await;

    let began = scene.recorder.position();
    let struck = Instant::now();
    let mut platform = Faults::default();
    for fault in faults {
        fault.ask_platform(&mut platform);
    }
    scene.platform_faults(&platform).await;
    for fault in faults {
        fault.strike(&mut scene).await;
    }
    load.pass(DURING).await;
    let lasts = faults.iter().map(|f| f.lasts()).max().unwrap_or_default();
    until("the fault lasts", async || struck.elapsed() >= lasts).await;
    let ended = scene.recorder.position();

    scene.platform_faults(&Faults::default()).await;
    for fault in faults {
        fault.end(&scene).await;
    }
    load.pass(AROUND).await;
    load.stop().await;
    let (history, broken) = scene.finish().await;
    let during = began..ended;
    let shares = shares(faults, &history.calls, &during);
    let texts = shares
        .values()
        .map(|s| format!("{}/{}", s.served, s.wanted));
    let texts = texts.collect::<Vec<_>>().join(" | ");
    println!(
        "| {faults:?} | {} | {texts} | {} |",
        kit.slots,
        others(&history.calls, &during)
    );
    assert!(broken.is_empty(), "{broken:#?}");
    let all_resident = kit.slots == Kit::default().slots;
    if let ([Fault::KvDown | Fault::ZoneCut | Fault::ZoneHangs], true) = (faults, all_resident) {
        let share = shares[&Class::Repeatable];
        assert_eq!(share.served, share.wanted, "work that needs no platform");
    }
}

/// Calls wanted, and those that got their answer.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    served: usize,
    wanted: usize,
}

/// What callers wanted, each under its marker, and whether they got it.
fn shares(
    faults: &[Fault],
    calls: &[CallRecord],
    during: &Range<Position>,
) -> BTreeMap<Class, Share> {
    let zone_only = faults.iter().any(|f| f.is_of_zone());
    let of_zone = |entry: &str| ENTRIES.iter().any(|(e, zone)| *e == entry && *zone == 0);
    let mut wanted: BTreeMap<&str, (&CallRecord, bool)> = BTreeMap::new();
    for call in calls {
        let done = call.outcome == CallOutcome::Done;
        let known = wanted.entry(&call.request.marker).or_insert((call, false));
        known.1 |= done;
        if call.began < known.0.began {
            known.0 = call;
        }
    }
    let mut shares: BTreeMap<Class, Share> = CLASSES.map(|c| (c, Share::default())).into();
    for (first, done) in wanted.values() {
        if during.contains(&first.began) && (!zone_only || of_zone(&first.request.entry)) {
            let share = shares.entry(class(first)).or_default();
            share.wanted += 1;
            share.served += usize::from(*done);
        }
    }
    shares
}

/// Ends other than with an answer, by what was told.
fn others(calls: &[CallRecord], during: &Range<Position>) -> String {
    let mut counts: BTreeMap<(CallOutcome, &str), usize> = BTreeMap::new();
    for call in calls {
        if call.outcome != CallOutcome::Done && during.contains(&call.began) {
            *counts.entry((call.outcome, &call.code)).or_default() += 1;
        }
    }
    let texts = counts
        .iter()
        .map(|((told, code), n)| format!("{n} {told:?} {code}"));
    texts.collect::<Vec<_>>().join(", ")
}
