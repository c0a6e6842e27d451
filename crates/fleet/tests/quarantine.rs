//! Which calls are refused after instances crashed under them.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_fleet::Now;
use reedford_fleet::quarantine::{PartId, Quarantine, RequestDigest, SETTLE_TIME, Suspect};
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

/// A call of which only the prompt is suspected.
const fn with_prompt(prompt: &[PromptPart]) -> Suspect<'_> {
    Suspect {
        prompt,
        request: None,
    }
}

fn ms(at: u64) -> Now {
    Duration::from_secs(100) + Duration::from_millis(at)
}

/// Applies events, each crash to another instance.
fn apply(quarantine: &mut Quarantine, events: &[Event]) {
    for (n, event) in events.iter().enumerate() {
        match event {
            Crash(at, ids) => {
                quarantine.on_crash(&format!("i{n}"), 1, &with_prompt(&parts(ids)), ms(*at));
            }
            Answer(at, ids) => {
                quarantine.on_answered(&with_prompt(&parts(ids)), ms(*at));
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
    let verdict = quarantine.verdict(&with_prompt(&parts(case.prompt)), ms(case.at_ms));
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
        nodes[n].on_crash(&format!("i{n}"), 1, &with_prompt(&parts(ids)), ms(*at));
    }
    let now = ms(500);
    let mut hub = Quarantine::default();
    for n in order {
        hub.merge(&nodes[*n].own().report(now), now);
    }
    for node in &mut nodes {
        node.merge(&hub.all().of_suspects().report(now), now);
        assert!(
            node.verdict(&with_prompt(&parts(&[SYSTEM, CRASHING, 9])), now)
                .is_some()
        );
    }
}

/// Guards against a sound part that is refused because the node that saw it answered
/// is not the one that saw the crashes.
#[test]
fn an_answer_at_another_node_clears_a_part() {
    let (mut crashes, mut answers) = (Quarantine::default(), Quarantine::default());
    apply(&mut crashes, THREE_CRASHES);
    answers.on_answered(&with_prompt(&parts(&[SYSTEM, CRASHING, 20])), ms(95));
    let now = ms(500);
    let changed = answers.merge(&crashes.all().of_suspects().report(now), now);
    assert!(changed.own);
    crashes.merge(&answers.own().report(now), now);
    assert_eq!(
        crashes.verdict(&with_prompt(&parts(&[SYSTEM, CRASHING, 9])), now),
        None
    );
    // Reported once more by a node that did not learn of the answer.
    let mut late = Quarantine::default();
    apply(&mut late, THREE_CRASHES);
    crashes.merge(&late.own().report(now), now);
    assert_eq!(
        crashes.verdict(&with_prompt(&parts(&[SYSTEM, CRASHING, 9])), now),
        None
    );
}

/// Guards against a node whose memory grows with the parts that callers send.
#[test]
fn the_evidence_is_bounded() {
    let mut quarantine = Quarantine::default();
    apply(&mut quarantine, THREE_CRASHES);
    for n in 0..20_000 {
        let ids = [1_000 + 2 * n, 1_001 + 2 * n, 5];
        quarantine.on_answered(&with_prompt(&parts(&ids)), ms(200));
        quarantine.on_crash(&format!("j{n}"), 1, &with_prompt(&parts(&ids)), ms(300));
    }
    let report = serde_json::to_vec(&quarantine.all().report(ms(600)));
    let length = report.expect("a report serializes").len();
    assert!(length < 64 << 10, "{length}");
    let verdict = quarantine.verdict(&with_prompt(&parts(&[SYSTEM, CRASHING, 9])), ms(600));
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
            quarantine.on_answered(&with_prompt(&prompt(&mut rng)), ms(at + answered * 20));
        }
        if second % 10 == 9 {
            for engine in 0..ENGINES / 2 {
                for _ in 0..CALLS_PER_ENGINE {
                    let id = format!("i{engine}");
                    quarantine.on_crash(&id, at, &with_prompt(&prompt(&mut rng)), ms(at + 900));
                }
            }
        }
        let judged_at = ms(at + 999) + SETTLE_TIME;
        let refused = (0..200).filter(|_| {
            let prompt = prompt(&mut rng);
            quarantine
                .verdict(&with_prompt(&prompt), judged_at)
                .is_some()
        });
        assert_eq!(refused.count(), 0, "in second {second}");
    }
}

/// An event at one node that concerns whole requests, and when it occurs, in
/// milliseconds.
#[derive(Clone, Copy)]
enum RequestEvent {
    /// An instance crashes that runs requests with these numbers.
    CrashUnder(u64, &'static [u8]),
    /// A request is answered.
    AnswerTo(u64, u8),
}
use RequestEvent::{AnswerTo, CrashUnder};

struct RequestCase {
    events: &'static [RequestEvent],
    /// Number of the request that is judged, and when.
    request: u8,
    at_ms: u64,
    refused: bool,
}

fn plain(request: u8) -> Suspect<'static> {
    Suspect {
        prompt: &[],
        request: Some(RequestDigest::from_bytes(&[request; 32])),
    }
}

/// Applies events, each crash to another instance.
fn apply_to_requests(quarantine: &mut Quarantine, events: &[RequestEvent]) {
    for (n, event) in events.iter().enumerate() {
        match event {
            CrashUnder(at, requests) => {
                for request in *requests {
                    quarantine.on_crash(&format!("i{n}"), 1, &plain(*request), ms(*at));
                }
            }
            AnswerTo(at, request) => {
                quarantine.on_answered(&plain(*request), ms(*at));
            }
        }
    }
}

const POISON: u8 = 1;
const SECOND_POISON: u8 = 2;
const BYSTANDER: u8 = 3;

const THREE_UNDER_ONE: &[RequestEvent] = &[
    CrashUnder(0, &[POISON]),
    CrashUnder(90, &[POISON, BYSTANDER]),
    CrashUnder(180, &[POISON]),
];
const UNDER_TWO: &[RequestEvent] = &[
    CrashUnder(0, &[POISON]),
    CrashUnder(50, &[SECOND_POISON]),
    CrashUnder(90, &[POISON, SECOND_POISON]),
    CrashUnder(150, &[SECOND_POISON, POISON]),
];
const SAME_INSTANCE: &[RequestEvent] = &[CrashUnder(0, &[POISON, POISON, POISON, POISON])];
const POLLED_IN_A_WAVE: &[RequestEvent] = &[
    AnswerTo(0, BYSTANDER),
    CrashUnder(900, &[BYSTANDER]),
    CrashUnder(910, &[BYSTANDER]),
    CrashUnder(920, &[BYSTANDER]),
    CrashUnder(930, &[BYSTANDER]),
];
const POLLED_IN_WAVES: &[RequestEvent] = &[
    AnswerTo(0, BYSTANDER),
    CrashUnder(900, &[BYSTANDER]),
    CrashUnder(910, &[BYSTANDER]),
    AnswerTo(4_000, BYSTANDER),
    CrashUnder(5_000, &[BYSTANDER]),
    AnswerTo(8_000, BYSTANDER),
    CrashUnder(9_000, &[BYSTANDER]),
    CrashUnder(9_010, &[BYSTANDER]),
];
const ONCE_ANSWERED: &[RequestEvent] = &[
    AnswerTo(0, POISON),
    CrashUnder(900, &[POISON]),
    CrashUnder(2_000, &[POISON]),
    CrashUnder(3_100, &[POISON]),
];

/// Guards against requests that crash instances over and over, and against sound ones
/// that are refused because they met with crashes.
#[test_case(RequestCase { events: THREE_UNDER_ONE, request: POISON, at_ms: 600, refused: true };
    "three crashes")]
#[test_case(RequestCase { events: THREE_UNDER_ONE, request: POISON, at_ms: 500, refused: false };
    "before the last crash counts")]
#[test_case(RequestCase { events: THREE_UNDER_ONE, request: BYSTANDER, at_ms: 600, refused: false };
    "one that ran beside it")]
#[test_case(RequestCase { events: THREE_UNDER_ONE, request: POISON, at_ms: 599_000, refused: true };
    "long after three crashes")]
#[test_case(RequestCase { events: THREE_UNDER_ONE, request: POISON, at_ms: 601_000, refused: false };
    "after the retention")]
#[test_case(RequestCase { events: UNDER_TWO, request: POISON, at_ms: 600, refused: true };
    "the first of two that crash the same instances")]
#[test_case(RequestCase { events: UNDER_TWO, request: SECOND_POISON, at_ms: 600, refused: true };
    "the second of two that crash the same instances")]
#[test_case(RequestCase { events: SAME_INSTANCE, request: POISON, at_ms: 600, refused: false };
    "four copies at one instance")]
#[test_case(RequestCase { events: POLLED_IN_A_WAVE, request: BYSTANDER, at_ms: 1_400, refused: false };
    "a polled request when all instances crash together")]
#[test_case(RequestCase { events: POLLED_IN_WAVES, request: BYSTANDER, at_ms: 9_500, refused: false };
    "a polled request when they crash together several times")]
#[test_case(RequestCase { events: ONCE_ANSWERED, request: POISON, at_ms: 3_600, refused: true };
    "answered before and then at no time")]
#[test_case(RequestCase { events: ONCE_ANSWERED, request: POISON, at_ms: 34_000, refused: false };
    "answered before, after the first quarantine")]
fn a_request_is_refused_after_crashes(case: RequestCase) {
    let mut quarantine = Quarantine::default();
    apply_to_requests(&mut quarantine, case.events);
    let verdict = quarantine.verdict(&plain(case.request), ms(case.at_ms));
    assert_eq!(verdict.is_some(), case.refused, "{verdict:?}");
}

/// Guards against a sound part that is refused because one request with it, sent again
/// and again, crashes instances.
#[test]
fn a_request_explains_the_crashes_of_its_parts() {
    let mut quarantine = Quarantine::default();
    let prompts = [11, 12].map(|last| parts(&[SYSTEM, TENANT, last]));
    let calls = [POISON, BYSTANDER].map(|n| plain(n).request);
    for instance in ["i1", "i2", "i3"] {
        for (prompt, request) in prompts.iter().zip(calls) {
            // The second one runs beside the first on one instance only.
            if request == calls[0] || instance == "i2" {
                quarantine.on_crash(instance, 1, &Suspect { prompt, request }, ms(0));
            }
        }
    }
    let repeated = Suspect {
        prompt: &prompts[0],
        request: calls[0],
    };
    let other = Suspect {
        prompt: &parts(&[SYSTEM, TENANT, 13]),
        request: plain(9).request,
    };
    assert!(quarantine.verdict(&repeated, ms(500)).is_some());
    assert_eq!(quarantine.verdict(&other, ms(500)), None);
}

/// Guards against nodes that forget the request when instances crash under many others,
/// and whose memory grows with the requests that callers send.
#[test]
fn the_evidence_against_requests_is_bounded() {
    let mut quarantine = Quarantine::default();
    apply_to_requests(&mut quarantine, THREE_UNDER_ONE);
    for n in 0..5_000_u32 {
        let mut hash = [7; 32];
        hash[..4].copy_from_slice(&n.to_le_bytes());
        let call = Suspect {
            prompt: &[],
            request: Some(RequestDigest::from_bytes(&hash)),
        };
        quarantine.on_answered(&call, ms(200));
        quarantine.on_crash(&format!("j{n}"), 1, &call, ms(300));
    }
    let report = serde_json::to_vec(&quarantine.all().report(ms(600)));
    let length = report.expect("a report serializes").len();
    assert!(length < 64 << 10, "{length}");
    assert!(quarantine.verdict(&plain(POISON), ms(600)).is_some());
}

/// Guards against reports between nodes that lose requests, and against nodes of earlier
/// versions, whose reports have none.
#[test]
fn requests_are_reported_beside_parts() {
    let mut quarantine = Quarantine::default();
    apply(&mut quarantine, THREE_CRASHES);
    apply_to_requests(&mut quarantine, THREE_UNDER_ONE);
    let report = serde_json::to_string(&quarantine.all().of_suspects().report(ms(600)));
    let report = report.expect("a report serializes");
    let mut other = Quarantine::default();
    let parsed = serde_json::from_str(&report).expect("a report can be read");
    other.merge(&parsed, ms(600));
    assert!(other.verdict(&plain(POISON), ms(600)).is_some());
    let old: serde_json::Value = serde_json::from_str(&report).expect("a report is JSON");
    let old = serde_json::json!({"parts": old["parts"]});
    let mut other = Quarantine::default();
    let parsed = serde_json::from_value(old).expect("a report without requests can be read");
    other.merge(&parsed, ms(600));
    let call = parts(&[SYSTEM, CRASHING, 9]);
    assert!(other.verdict(&with_prompt(&call), ms(600)).is_some());
}

/// What ends the entry of an instance whose address still accepts connections.
enum EntryEnd {
    Removed,
    /// An incarnation with this start time has the instance's id.
    Restarted(u64),
    /// The instance announced that it is leaving, and was removed.
    Left,
}

struct EntryCase {
    end: EntryEnd,
    /// When the entries end, in milliseconds.
    at_ms: u64,
    refused: bool,
}

/// Guards against crashes that nobody notices because a proxy, or the next incarnation,
/// accepts connections at the address of the instance.
#[test_case(EntryCase { end: EntryEnd::Removed, at_ms: 3_600, refused: true }; "removed")]
#[test_case(EntryCase { end: EntryEnd::Restarted(2), at_ms: 700, refused: true }; "restarted")]
#[test_case(EntryCase { end: EntryEnd::Restarted(1), at_ms: 700, refused: false };
    "the same incarnation is listed again")]
#[test_case(EntryCase { end: EntryEnd::Left, at_ms: 3_600, refused: false }; "left")]
#[test_case(EntryCase { end: EntryEnd::Removed, at_ms: 20_000, refused: false };
    "removed long after the call broke off")]
fn the_end_of_an_entry_shows_a_crash(case: EntryCase) {
    let mut quarantine = Quarantine::default();
    for instance in ["i1", "i2", "i3"] {
        quarantine.on_broken(instance, 1, &plain(POISON), ms(0));
        assert_eq!(quarantine.verdict(&plain(POISON), ms(600)), None);
        let at = ms(case.at_ms);
        match case.end {
            EntryEnd::Removed => _ = quarantine.on_ended(instance, None, at),
            EntryEnd::Restarted(born) => _ = quarantine.on_ended(instance, Some(born), at),
            EntryEnd::Left => {
                quarantine.on_leaving(instance, ms(100));
                quarantine.on_ended(instance, None, at);
            }
        }
    }
    let verdict = quarantine.verdict(&plain(POISON), ms(case.at_ms + 600));
    assert_eq!(verdict.is_some(), case.refused, "{verdict:?}");
}
