//! Limits on the rate of calls that instances name.

use reedford_fleet::Now;
use reedford_fleet::rate_limits::{Limits, LimitsReport, Pace, RateLimits};
use std::time::Duration;
use test_case::test_case;

/// Limits of an instance that limits calls alone.
const fn calls(per_s: Option<f64>) -> Limits {
    Limits {
        per_s,
        rejections: None,
    }
}

const WINDOW: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(120);
/// Interval at which a sender tries to send.
const STEP: Duration = Duration::from_millis(10);

/// Returns how many calls the users' pages allow an instance in a window.
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + 5.0
}

fn most_in_window(sent: &[Now]) -> usize {
    let mut first = 0;
    let counts = sent.iter().enumerate().map(|(n, at)| {
        while sent[first] + WINDOW <= *at {
            first += 1;
        }
        n + 1 - first
    });
    counts.max().unwrap_or(0)
}

fn times() -> impl Iterator<Item = Now> {
    (0..).map(|n| STEP * n).take_while(|at| *at < RUN_TIME)
}

/// Guards against a sender that exceeds the limit of an instance, or hardly uses it.
#[test_case(0.0; "none")]
#[test_case(0.3; "rare")]
#[test_case(1.0; "one")]
#[test_case(1.1; "more than one")]
#[test_case(20.0; "many")]
fn paced_calls_keep_to_the_limit(per_s: f64) {
    let mut pace = Pace::new(per_s, Now::ZERO);
    let mut sent = Vec::new();
    for now in times() {
        while pace.wait(0.0, now).is_zero() {
            pace.on_sent(now);
            sent.push(now);
        }
    }
    assert!(most_in_window(&sent) as f64 <= allowed(per_s));
    let expected = per_s * RUN_TIME.as_secs_f64();
    assert!(sent.len() as f64 >= 0.9 * expected, "{}", sent.len());
}

struct Case {
    per_s: f64,
    nodes: usize,
    /// Least share of the limit that is used.
    min_used: f64,
}

/// Load pattern: every node always has calls for an instance that names a limit, and
/// no coordinator grants them. Guards against nodes whose sum exceeds the limit.
#[test_case(Case { per_s: 1.0, nodes: 1, min_used: 0.7 }; "one node")]
#[test_case(Case { per_s: 1.1, nodes: 7, min_used: 0.7 }; "seven nodes")]
#[test_case(Case { per_s: 0.5, nodes: 90, min_used: 0.5 }; "ninety nodes")]
#[test_case(Case { per_s: 5.0, nodes: 195, min_used: 0.7 }; "many nodes")]
#[test_case(Case { per_s: 60.0, nodes: 7, min_used: 0.7 }; "a high limit")]
fn nodes_share_a_limit(case: Case) {
    for run in 0..10 {
        let mut nodes: Vec<RateLimits> = (0..case.nodes)
            .map(|n| RateLimits::new((run * 1_000 + n) as u64))
            .collect();
        for node in &mut nodes {
            node.on_response("i1", 1, calls(Some(case.per_s)), Now::ZERO, Now::ZERO);
        }
        let mut sent = Vec::new();
        for now in times() {
            for node in &mut nodes {
                if node.available_at("i1", 1, case.nodes, now) <= now {
                    node.on_sent("i1", now);
                    sent.push(now);
                }
            }
        }
        let most = most_in_window(&sent) as f64;
        assert!(most <= allowed(case.per_s), "{most} calls in run {run}");
        let share = sent.len() as f64 / (case.per_s * RUN_TIME.as_secs_f64());
        assert!(share >= case.min_used, "{share} of the limit in run {run}");
    }
}

/// A response of an instance.
#[derive(Clone, Copy)]
struct Response {
    born: u64,
    per_s: Option<f64>,
    sent_s: u64,
    at_s: u64,
}

const fn named(born: u64, per_s: f64, at_s: u64) -> Response {
    Response {
        born,
        per_s: Some(per_s),
        sent_s: at_s,
        at_s,
    }
}

const fn unnamed(sent_s: u64, at_s: u64) -> Response {
    Response {
        born: 2,
        per_s: None,
        sent_s,
        at_s,
    }
}

/// Guards against a limit that ends too soon, never, or with another incarnation.
#[test_case(&[named(2, 1.0, 10)], Some(1.0); "named")]
#[test_case(&[named(2, 1.0, 10), named(2, 3.0, 11)], Some(3.0); "changed")]
#[test_case(&[named(2, 1.0, 10), unnamed(11, 12)], None; "ended")]
#[test_case(&[named(2, 1.0, 10), unnamed(9, 12)], Some(1.0); "late response to an earlier call")]
#[test_case(&[named(1, 1.0, 10)], None; "of an earlier incarnation")]
#[test_case(&[named(2, 2.0, 10), named(1, 1.0, 11)], Some(2.0); "late response of an earlier incarnation")]
fn the_last_response_counts(responses: &[Response], expected: Option<f64>) {
    let seconds = Duration::from_secs;
    let mut limits = RateLimits::new(1);
    let mut nodes = [const { RateLimits::new(2) }, const { RateLimits::new(3) }];
    for (n, r) in responses.iter().enumerate() {
        let (sent, at) = (seconds(r.sent_s), seconds(r.at_s));
        limits.on_response("i1", r.born, calls(r.per_s), sent, at);
        // Another node has learned of the limit before.
        let node = &mut nodes[n % 2];
        node.merge(&LimitsReport::new(limits.statements(), at), at);
    }
    assert_eq!(limits.per_s("i1", 2), expected);
    let now = seconds(20);
    let [mut first, second] = nodes;
    first.merge(&LimitsReport::new(second.statements(), now), now);
    assert_eq!(first.per_s("i1", 2), expected);
}

struct BrittleCase {
    nodes: usize,
    /// Rejections in a second that the instance bears.
    max_rejections: f64,
}

/// Load pattern: all nodes have more calls for an instance than it has room for, all the
/// time, while it must not reject many. Guards against a sum of rejections beyond that.
#[test_case(BrittleCase { nodes: 7, max_rejections: 4.0 }; "few nodes")]
#[test_case(BrittleCase { nodes: 24, max_rejections: 8.0 }; "a few dozen")]
#[test_case(BrittleCase { nodes: 64, max_rejections: 8.0 }; "more nodes than slots")]
#[test_case(BrittleCase { nodes: 195, max_rejections: 8.0 }; "hundreds")]
fn overloaded_brittle_instance_rejects_few(case: BrittleCase) {
    const SLOTS: usize = 6;
    const ROOM: usize = 1;
    const WORK: Duration = Duration::from_millis(30);
    const TICK: Duration = Duration::from_millis(10);
    const RUN: Duration = Duration::from_secs(60);
    /// Time to learn, with that of the first pauses.
    const LEARNING: Duration = Duration::from_secs(3);
    let brittle = Limits {
        per_s: None,
        rejections: Some(case.max_rejections),
    };
    let mut nodes: Vec<RateLimits> = (0..case.nodes as u64).map(RateLimits::new).collect();
    for node in &mut nodes {
        node.on_response("i1", 1, brittle, Now::ZERO, Now::ZERO);
    }
    let mut running: Vec<Now> = Vec::new();
    let mut rejections: Vec<Now> = Vec::new();
    let mut served = 0;
    let mut now = Duration::from_secs(1);
    let mut first = 0;
    while now < RUN {
        running.retain(|end| *end > now);
        // Another node is the first one each time.
        first += 1;
        for n in 0..case.nodes {
            let node = &mut nodes[(first + n) % case.nodes];
            if node.rejected_until("i1", 1, now) > now {
                continue;
            }
            if running.len() < SLOTS + ROOM {
                running.push(now + WORK);
                served += 1;
            } else {
                node.on_rejected("i1", 1, case.nodes, now, now);
                rejections.push(now);
            }
        }
        now += TICK;
    }
    let late: Vec<Now> = rejections.into_iter().filter(|at| *at > LEARNING).collect();
    for start in &late {
        let within = late
            .iter()
            .filter(|at| (*start..*start + Duration::from_secs(1)).contains(at));
        let count = within.count();
        assert!(
            count as f64 <= case.max_rejections,
            "{count} rejections in a second"
        );
    }
    assert!(served > 0);
}

/// Guards against an instance that is left alone for the rest of a pause although it is no
/// longer brittle.
#[test]
fn a_pause_ends_with_the_limit_on_rejections() {
    let mut node = RateLimits::new(1);
    let brittle = Limits {
        per_s: None,
        rejections: Some(1.0),
    };
    let at = Duration::from_secs;
    node.on_response("i1", 1, brittle, at(1), at(1));
    node.on_rejected("i1", 1, 100, at(2), at(2));
    node.on_rejected("i1", 1, 100, at(3), at(3));
    assert!(node.rejected_until("i1", 1, at(5)) > at(5));
    node.on_response("i1", 1, Limits::default(), at(4), at(5));
    assert_eq!(node.rejected_until("i1", 1, at(5)), at(5));
}
