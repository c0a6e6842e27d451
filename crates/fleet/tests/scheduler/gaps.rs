//! Load pattern: prompts arrive without a break at an engine that runs streams.

use crate::support::{grants, ms, request, scheduler_with_engine};
use reedford_fleet::Now;
use reedford_fleet::scheduler::{Action, Observation, Progress, Scheduler};
use std::collections::VecDeque;
use std::time::Duration;
use test_case::test_case;

/// Target for the longest gap.
const MAX_GAP: Duration = Duration::from_millis(400);
/// Steps of the engine for an event, each of which brings a token.
const STEPS_PER_EVENT: usize = 3;
/// Prompt tokens that the engine processes in one step.
const CHUNK: f64 = 2_048.0;
/// Duration of a step without prompts, at the usual speed.
const STEP_MS: f64 = 10.0;
const USUAL_TOKENS_PER_MS: f64 = 16.0;
/// Share of the streams that have to keep their gaps: what is planned exceeds no gap.
const MIN_KEPT: f64 = 1.0;
/// Time in which the scheduler learns the speed of the engine.
const LEARNING_MS: f64 = 4_000.0;
const END_MS: f64 = 20_000.0;
/// Duration of a response after its first event.
const RESPONSE: Duration = Duration::from_millis(1_500);

struct Stream {
    call: String,
    ends_at: Now,
    exceeded_gap: bool,
}

/// An engine that processes prompts in pieces between the tokens of its streams.
struct Engine {
    tokens_per_ms: f64,
    /// Calls whose prompts are not processed, with the tokens that are left.
    prompts: VecDeque<(String, f64)>,
    running: VecDeque<Stream>,
    now_ms: f64,
    /// Times of the last steps, during which a stream ran.
    steps: VecDeque<f64>,
    /// Streams that have ended after the time to learn, and those of them that exceeded
    /// their gap.
    ended: usize,
    exceeded: usize,
    started: usize,
}

impl Engine {
    fn now(&self) -> Now {
        Duration::from_secs_f64(self.now_ms / 1e3)
    }

    /// Makes a step, and reports to the scheduler what came of it.
    fn step(&mut self, scheduler: &mut Scheduler) {
        let mut chunk = CHUNK;
        let mut begun = Vec::new();
        while let Some((_, left)) = self.prompts.front_mut() {
            let processed = left.min(chunk);
            *left -= processed;
            chunk -= processed;
            if *left > 0.0 {
                break;
            }
            begun.extend(self.prompts.pop_front().map(|(call, _)| call));
        }
        let scale = USUAL_TOKENS_PER_MS / self.tokens_per_ms;
        let took = STEP_MS * scale + (CHUNK - chunk) / self.tokens_per_ms;
        self.now_ms += took;
        if self.running.is_empty() {
            self.steps.clear();
        } else {
            self.steps.push_back(took);
        }
        if self.steps.len() >= STEPS_PER_EVENT {
            let gap: f64 = self.steps.iter().sum();
            if gap > MAX_GAP.as_secs_f64() * 1e3 {
                for stream in &mut self.running {
                    stream.exceeded_gap = true;
                }
            }
            self.steps.pop_front();
        }
        let now = self.now();
        for call in begun {
            scheduler.progress(&call, Progress::Started, now);
            self.running.push_back(Stream {
                call,
                ends_at: now + RESPONSE,
                exceeded_gap: false,
            });
            self.started += 1;
        }
        while self.running.front().is_some_and(|s| s.ends_at <= now) {
            let ended = self.running.pop_front().expect("there is a first");
            if self.now_ms > LEARNING_MS {
                self.ended += 1;
                self.exceeded += usize::from(ended.exceeded_gap);
            }
            let observed = Observation {
                instance: "e1".into(),
                slowdown: None,
                exceeded_gap: Some(ended.exceeded_gap),
            };
            scheduler.observe(&observed, now);
            scheduler.progress(&ended.call, Progress::Ended, now);
        }
    }
}

struct Prompts {
    /// Speed of the engine, relative to the usual one.
    speed: f64,
    /// Whether the calls can still be in time when they arrive.
    in_time: bool,
}

/// Guards against streams that are late because of the prompts planned beside them, on
/// engines of any speed.
#[test_case(Prompts { speed: 0.34, in_time: true }; "a third of the usual speed")]
#[test_case(Prompts { speed: 1.0, in_time: true }; "usual speed")]
#[test_case(Prompts { speed: 3.0, in_time: true }; "three times the usual speed")]
#[test_case(Prompts { speed: 0.34, in_time: false }; "late calls at a third of the usual speed")]
#[test_case(Prompts { speed: 1.0, in_time: false }; "late calls at the usual speed")]
#[test_case(Prompts { speed: 3.0, in_time: false }; "late calls at three times the usual speed")]
fn prompts_without_a_break_keep_the_gaps_of_streams(prompts: Prompts) {
    let Prompts { speed, in_time } = prompts;
    let mut scheduler = scheduler_with_engine(&["a"]);
    let mut engine = Engine {
        tokens_per_ms: USUAL_TOKENS_PER_MS * speed,
        prompts: VecDeque::new(),
        running: VecDeque::new(),
        now_ms: 0.0,
        steps: VecDeque::new(),
        ended: 0,
        exceeded: 0,
        started: 0,
    };
    let mut serial = 0;
    while engine.now_ms < END_MS {
        let now = engine.now();
        while scheduler.queue_len() < 4 {
            serial += 1;
            let mut call = request(&format!("c{serial}"), "a", now);
            call.tokens = 1_100;
            call.max_gap = Some(MAX_GAP);
            if !in_time {
                call.objective_at = now;
            }
            call.first_token_by = now + ms(60_000);
            call.deadline = now + ms(60_000);
            if scheduler.submit(call, now).is_some() {
                break;
            }
        }
        let actions: Vec<Action> = scheduler.poll(now);
        for grant in grants(&actions) {
            engine.prompts.push_back((grant.call.to_string(), 1_100.0));
        }
        engine.step(&mut scheduler);
    }
    let kept = 1.0 - engine.exceeded as f64 / engine.ended as f64;
    assert!(kept >= MIN_KEPT, "{kept:.3} of {} streams", engine.ended);
    // Prompts still use at least half of the room that the gaps leave.
    let gap_ms = MAX_GAP.as_secs_f64() * 1e3;
    let steps_ms = STEPS_PER_EVENT as f64 * STEP_MS / speed;
    let fitting = ((gap_ms - steps_ms) * engine.tokens_per_ms / 1_100.0).floor();
    let most = fitting * END_MS / gap_ms;
    let started = engine.started as f64;
    assert!(started >= most / 2.0, "{started} of {most} prompts");
}
