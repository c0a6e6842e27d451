//! Which prompts are refused after instances crashed under them.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_fleet::Now;
use reedford_fleet::quarantine::{PartId, Quarantine, SETTLE_TIME};
use reedford_fleet::scheduler::PromptPart;
use std::time::Duration;
use test_case::test_case;

const SYSTEM: PartId = 1;
const TENANT: PartId = 2;
const CRASHING: PartId = 3;

/// An event at one node, and when it occurs, in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// An instance crashes that was about to answer a prompt with these parts.
    Crash(u64, &'static [PartId]),
    /// A prompt is answered.
    Answer(u64, &'static [PartId]),
}
use Event::{Answer, Crash};

struct Case {
    events: &'static [Event],
    /// Parts of the prompt that is judged, and when.
    prompt: &'static [PartId],
    at_ms: u64,
    refused: bool,
}

fn parts(ids: &[PartId]) -> Vec<PromptPart> {
    ids.iter()
        .map(|id| PromptPart {
            id: *id,
            tokens: 10,
        })
        .collect()
}

fn ms(at: u64) -> Now {
    Duration::from_secs(100) + Duration::from_millis(at)
}

/// Applies events, each crash to another instance.
fn apply(quarantine: &mut Quarantine, events: &[Event]) {
    for (n, event) in events.iter().enumerate() {
        match event {
            Crash(at, ids) => {
                quarantine.on_crash(&format!("i{n}"), 1, &parts(ids), ms(*at));
            }
            Answer(at, ids) => {
                quarantine.on_answered(&parts(ids), ms(*at));
            }
        }
    }
}

const THREE_CRASHES: &[Event] = &[
    Crash(0, &[SYSTEM, CRASHING, 11]),
    Crash(50, &[SYSTEM, CRASHING, 12]),
    Crash(90, &[SYSTEM, CRASHING, 13]),
];
const FIVE_CRASHES: &[Event] = &[
    Crash(0, &[SYSTEM, CRASHING, 11]),
    Crash(50, &[SYSTEM, CRASHING, 12]),
    Crash(90, &[SYSTEM, CRASHING, 13]),
    Crash(40_000, &[SYSTEM, CRASHING, 14]),
    Crash(80_000, &[SYSTEM, CRASHING, 15]),
];
const ANSWERED_BEFORE: &[Event] = &[
    Answer(0, &[SYSTEM, TENANT, 10]),
    Crash(100, &[SYSTEM, TENANT, 11]),
    Crash(120, &[SYSTEM, TENANT, 12]),
    Crash(140, &[SYSTEM, TENANT, 13]),
    Crash(160, &[SYSTEM, TENANT, 14]),
    Crash(180, &[SYSTEM, TENANT, 15]),
];
const ANSWERED_BEFORE_THEN_NOT: &[Event] = &[
    Answer(0, &[SYSTEM, TENANT, 10]),
    Crash(100, &[SYSTEM, TENANT, 11]),
    Crash(1_200, &[SYSTEM, TENANT, 12]),
    Crash(2_300, &[SYSTEM, TENANT, 13]),
];
const ANSWERED_BETWEEN: &[Event] = &[
    Crash(0, &[SYSTEM, TENANT, 11]),
    Crash(50, &[SYSTEM, TENANT, 12]),
    Answer(60, &[SYSTEM, TENANT, 14]),
    Crash(90, &[SYSTEM, TENANT, 13]),
];
const ONE_PROMPT: &[Event] = &[
    Crash(0, &[SYSTEM, TENANT, 11]),
    Crash(50, &[SYSTEM, TENANT, 11]),
    Crash(90, &[SYSTEM, TENANT, 11]),
    Crash(130, &[SYSTEM, TENANT, 11]),
];
const SYSTEM_ANSWERED: &[Event] = &[
    Crash(0, &[SYSTEM, CRASHING, 11]),
    Crash(50, &[SYSTEM, CRASHING, 12]),
    Crash(90, &[SYSTEM, CRASHING, 13]),
    Answer(300, &[SYSTEM, TENANT, 14]),
];
const MORE_OF_ONE_PART: &[Event] = &[
    Crash(0, &[TENANT, CRASHING, 11]),
    Crash(50, &[TENANT, CRASHING, 12]),
    Crash(90, &[TENANT, CRASHING, 13]),
    Crash(150, &[CRASHING, 14]),
];

/// Guards against calls that crash instances over and over, and against sound calls
/// that are refused because they met with crashes.
#[test_case(Case { events: THREE_CRASHES, prompt: &[SYSTEM, CRASHING, 9], at_ms: 500, refused: true };
    "three crashes")]
#[test_case(Case { events: THREE_CRASHES, prompt: &[SYSTEM, CRASHING, 9], at_ms: 400, refused: false };
    "before the last crash counts")]
#[test_case(Case { events: THREE_CRASHES, prompt: &[SYSTEM, TENANT, 9], at_ms: 500, refused: false };
    "a part that always came with the crashing one")]
#[test_case(Case { events: THREE_CRASHES, prompt: &[TENANT, CRASHING, 9], at_ms: 500, refused: false };
    "the crashing part alone while another explains the crashes")]
#[test_case(Case { events: SYSTEM_ANSWERED, prompt: &[TENANT, CRASHING, 9], at_ms: 500, refused: true };
    "the crashing part alone after the other was answered")]
#[test_case(Case { events: MORE_OF_ONE_PART, prompt: &[CRASHING, 9], at_ms: 600, refused: true };
    "the part with more crashes")]
#[test_case(Case { events: MORE_OF_ONE_PART, prompt: &[TENANT, 9], at_ms: 600, refused: false };
    "the part whose crashes another explains")]
#[test_case(Case { events: THREE_CRASHES, prompt: &[SYSTEM, CRASHING], at_ms: 500, refused: false };
    "as the last part")]
#[test_case(Case { events: ONE_PROMPT, prompt: &[SYSTEM, TENANT, 11], at_ms: 600, refused: false };
    "one prompt that is repeated")]
#[test_case(Case { events: ANSWERED_BETWEEN, prompt: &[SYSTEM, TENANT, 9], at_ms: 600, refused: false };
    "answered between the crashes")]
#[test_case(Case { events: ANSWERED_BEFORE, prompt: &[SYSTEM, TENANT, 9], at_ms: 700, refused: false };
    "all instances crash together")]
#[test_case(Case { events: ANSWERED_BEFORE_THEN_NOT, prompt: &[SYSTEM, TENANT, 9], at_ms: 2_800, refused: true };
    "answered before and then at no time")]
#[test_case(Case { events: THREE_CRASHES, prompt: &[SYSTEM, CRASHING, 9], at_ms: 31_000, refused: false };
    "after the first quarantine")]
#[test_case(Case { events: FIVE_CRASHES, prompt: &[SYSTEM, CRASHING, 9], at_ms: 600_000, refused: true };
    "long after five crashes")]
#[test_case(Case { events: FIVE_CRASHES, prompt: &[SYSTEM, CRASHING, 9], at_ms: 700_000, refused: false };
    "after the retention")]
fn a_prompt_is_refused_after_crashes(case: Case) {
    let mut quarantine = Quarantine::default();
    apply(&mut quarantine, case.events);
    let verdict = quarantine.verdict(&parts(case.prompt), ms(case.at_ms));
    assert_eq!(verdict.is_some(), case.refused, "{verdict:?}");
}

/// Guards against nodes that judge differently, depending on which of them saw a crash
/// and on the order in which they learned of it.
#[test_case(&[0, 1, 2]; "in order")]
#[test_case(&[2, 0, 1]; "in another order")]
#[test_case(&[2, 2, 1, 0, 1]; "repeated")]
fn nodes_that_exchange_what_they_saw_agree(order: &[usize]) {
    let mut nodes = [const { None }; 3].map(|_: Option<()>| Quarantine::default());
    for (n, event) in THREE_CRASHES.iter().enumerate() {
        let Crash(at, ids) = event else { continue };
        nodes[n].on_crash(&format!("i{n}"), 1, &parts(ids), ms(*at));
    }
    let now = ms(500);
    let mut hub = Quarantine::default();
    for n in order {
        hub.merge(&nodes[*n].own().report(1, now), now);
    }
    for node in &mut nodes {
        node.merge(&hub.all().report(2, now), now);
        assert!(node.verdict(&parts(&[SYSTEM, CRASHING, 9]), now).is_some());
    }
}

/// Guards against a sound part that is refused because the node that saw it answered
/// is not the one that saw the crashes.
#[test]
fn an_answer_at_another_node_clears_a_part() {
    let (mut crashes, mut answers) = (Quarantine::default(), Quarantine::default());
    apply(&mut crashes, THREE_CRASHES);
    answers.on_answered(&parts(&[SYSTEM, CRASHING, 20]), ms(95));
    let now = ms(500);
    let changed = answers.merge(&crashes.all().report(2, now), now);
    assert!(changed.own);
    crashes.merge(&answers.own().report(1, now), now);
    assert_eq!(crashes.verdict(&parts(&[SYSTEM, CRASHING, 9]), now), None);
    // Reported once more by a node that did not learn of the answer.
    let mut late = Quarantine::default();
    apply(&mut late, THREE_CRASHES);
    crashes.merge(&late.own().report(1, now), now);
    assert_eq!(crashes.verdict(&parts(&[SYSTEM, CRASHING, 9]), now), None);
}

/// Guards against a node whose memory grows with the parts that callers send.
#[test]
fn the_evidence_is_bounded() {
    let mut quarantine = Quarantine::default();
    apply(&mut quarantine, THREE_CRASHES);
    for n in 0..20_000 {
        let ids = [1_000 + 2 * n, 1_001 + 2 * n, 5];
        quarantine.on_answered(&parts(&ids), ms(200));
        quarantine.on_crash(&format!("j{n}"), 1, &parts(&ids), ms(300));
    }
    let report = serde_json::to_vec(&quarantine.all().report(1, ms(600)));
    let length = report.expect("a report serializes").len();
    assert!(length < 64 << 10, "{length}");
    let verdict = quarantine.verdict(&parts(&[SYSTEM, CRASHING, 9]), ms(600));
    assert!(verdict.is_some());
}

/// Load pattern: half of the engines crash at once, again and again, each with a few
/// calls that it was about to answer, while the others answer. Guards against sound
/// parts that are quarantined for it.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn half_of_the_engines_crash_at_once(seed: u64) {
    const ENGINES: u64 = 12;
    const CALLS_PER_ENGINE: usize = 3;
    const TENANTS: f64 = 400.0;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut serial = 100_000;
    let mut prompt = |rng: &mut StdRng| {
        serial += 1;
        // Some parts are in many prompts and most in a few.
        let tenant = 1_000 + (TENANTS * rng.random::<f64>().powi(3)) as u64;
        parts(&[SYSTEM, tenant, serial])
    };
    for second in 0..120 {
        let at = second * 1_000;
        for answered in 0..40 {
            quarantine.on_answered(&prompt(&mut rng), ms(at + answered * 20));
        }
        if second % 10 == 9 {
            for engine in 0..ENGINES / 2 {
                for _ in 0..CALLS_PER_ENGINE {
                    let id = format!("i{engine}");
                    quarantine.on_crash(&id, at, &prompt(&mut rng), ms(at + 900));
                }
            }
        }
        let judged_at = ms(at + 999) + SETTLE_TIME;
        let refused = (0..200).filter(|_| {
            let prompt = prompt(&mut rng);
            quarantine.verdict(&prompt, judged_at).is_some()
        });
        assert_eq!(refused.count(), 0, "in second {second}");
    }
}
