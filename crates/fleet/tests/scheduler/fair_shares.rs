//! Load patterns of several workspaces that compete for too little room.

use crate::support::{ms, request};
use crate::zone::Zone;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_fleet::workspaces::WorkspaceName;
use std::collections::BTreeMap;
use test_case::test_case;

const SEED: u64 = 5;
const ENGINES: usize = 4;
const WORKSPACES: usize = 8;
/// Adapters of each workspace, so that all fit on the engines.
const ADAPTERS: u64 = 2;
/// Calls per second of a workspace in ordinary times; all together use half of the
/// engines.
const CALLS_PER_S: f64 = 2.0;
const DURATION_MS: u64 = 20_000;
/// When floods begin and end.
const FLOOD_MS: std::ops::Range<u64> = 4_000..14_000;
/// Amount by which the share of calls in time of a workspace that does not flood may
/// fall.
const MAX_LOSS: f64 = 0.03;

/// What a workspace sends while it floods.
#[derive(Clone, Copy)]
struct Flood {
    workspaces: usize,
    /// Calls, as a multiple of the usual ones.
    factor: f64,
    /// Prompt tokens of its calls, as a multiple of the usual ones.
    tokens: u32,
    priority: u8,
}

const NO_FLOOD: Flood = Flood {
    workspaces: 0,
    factor: 1.0,
    tokens: 1,
    priority: 1,
};

fn name(workspace: usize) -> WorkspaceName {
    format!("w{workspace}").into()
}

/// Runs the pattern; returns, by workspace, the share of the calls in time.
fn shares_in_time(flood: Flood) -> Vec<f64> {
    let mut zone = Zone::new(ENGINES);
    let weights = (0..WORKSPACES).map(|w| (name(w), 1.0)).collect();
    zone.scheduler.set_weights(weights);
    // The calls of each workspace are drawn apart, so that a flood changes no others.
    let mut rngs: Vec<StdRng> = (0..WORKSPACES)
        .map(|w| StdRng::seed_from_u64(SEED + w as u64))
        .collect();
    let mut asked = [0_u32; WORKSPACES];
    let mut serial = 0;
    for step in 0..DURATION_MS / 10 {
        let floods = FLOOD_MS.contains(&(step * 10));
        for workspace in 0..WORKSPACES {
            let flooding = floods && workspace < flood.workspaces;
            let factor = if flooding { flood.factor } else { 1.0 };
            let rng = &mut rngs[workspace];
            if !rng.random_bool(CALLS_PER_S * factor / 100.0) {
                continue;
            }
            serial += 1;
            let adapter = format!("a{workspace}-{}", rng.random_range(0..ADAPTERS));
            let mut call = request(&format!("c{serial}"), &adapter, zone.now());
            call.tokens = rng.random_range(500..2_000);
            call.workspace = Some(name(workspace));
            if flooding {
                call.tokens *= flood.tokens;
                call.priority = flood.priority;
            }
            asked[workspace] += 1;
            zone.submit(call);
        }
        zone.run(ms(step * 10 + 10));
    }
    zone.run(ms(DURATION_MS + 6_000));
    let in_time: &BTreeMap<WorkspaceName, u32> = &zone.in_time_by_workspace;
    let shares = asked.iter().enumerate();
    shares
        .map(|(w, asked)| {
            let in_time = in_time.get(&name(w)).copied().unwrap_or(0);
            f64::from(in_time) / f64::from(*asked)
        })
        .collect()
}

/// A workspace that sends many times its usual waits for itself.
#[test_case(Flood { workspaces: 1, factor: 8.0, tokens: 1, priority: 1 }; "one workspace")]
#[test_case(Flood { workspaces: 1, factor: 16.0, tokens: 1, priority: 1 }; "one workspace twice as much")]
#[test_case(Flood { workspaces: 3, factor: 8.0, tokens: 1, priority: 1 }; "three workspaces at once")]
#[test_case(Flood { workspaces: 1, factor: 8.0, tokens: 3, priority: 1 }; "long prompts")]
#[test_case(Flood { workspaces: 1, factor: 8.0, tokens: 1, priority: 2 }; "a less urgent kind")]
fn a_flood_leaves_the_others_in_time(flood: Flood) {
    let before = shares_in_time(NO_FLOOD);
    let after = shares_in_time(flood);
    for workspace in flood.workspaces..WORKSPACES {
        let (before, after) = (before[workspace], after[workspace]);
        assert!(
            before - after <= MAX_LOSS,
            "w{workspace}: {before:.3} to {after:.3}"
        );
    }
}

/// A workspace that floods is still served its share.
#[test]
fn a_flooding_workspace_does_not_starve() {
    let flood = Flood {
        workspaces: 1,
        factor: 8.0,
        tokens: 1,
        priority: 1,
    };
    let shares = shares_in_time(flood);
    let others = shares[1..].iter().sum::<f64>() / (WORKSPACES - 1) as f64;
    assert!(shares[0] > others / 4.0, "{shares:?}");
}

/// Workspaces of another priority, such as health checks beside letters, go first.
#[test]
fn an_urgent_workspace_goes_before_the_others() {
    let mut zone = Zone::new(1);
    for n in 0..20 {
        let mut call = request(&format!("letter{n}"), "a", zone.now());
        call.workspace = Some("letters".into());
        call.workspace_priority = Some(1);
        call.priority = 0;
        zone.submit(call);
    }
    let mut call = request("check", "a", zone.now());
    call.workspace = Some("checks".into());
    call.workspace_priority = Some(0);
    call.priority = 2;
    zone.submit(call);
    zone.run(ms(1_000));
    assert_eq!(zone.in_time_by_workspace.get("checks"), Some(&1));
}

/// A call that resumes a stream goes before those that begin one, and is not refused for
/// the queue of calls that do.
#[test]
fn a_resumed_stream_goes_before_new_ones() {
    let mut zone = Zone::new(1);
    for n in 0..12 {
        zone.submit(request(&format!("new{n}"), "a", zone.now()));
    }
    let mut call = request("resumed", "a", zone.now());
    call.software = Some("v1".into());
    call.workspace = Some("resuming".into());
    zone.submit(call);
    zone.run(ms(900));
    assert_eq!(zone.in_time_by_workspace.get("resuming"), Some(&1));
}
