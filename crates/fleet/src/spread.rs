//! Chooses an instance of a plain service: the least loaded, near ones first.

use crate::{InstanceId, Now};
use std::collections::BTreeMap;
use std::time::Duration;

/// Load that an instance of another zone must be below the near ones by.
const FAR_PENALTY: f64 = 0.34;
/// How long a load that an instance told is believed.
const TOLD_LIFE: Duration = Duration::from_millis(1_500);

/// Load as an instance tells it with its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ToldLoad {
    /// Calls it works on.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
    /// Calls that it works on at once.
    pub slots: u32,
}

/// An instance that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a str,
    /// Whether it is in the own availability zone.
    pub near: bool,
    /// Calls that it works on at once.
    pub slots: u32,
}

/// Loads by instance, from own calls and from what instances told.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    loads: BTreeMap<InstanceId, Load>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    own: u32,
    /// Calls of others, when the instance last told.
    others: u32,
    told_at: Option<Now>,
}

impl Spread {
    /// The least loaded candidate; `draw` breaks ties.
    #[must_use]
    pub fn choose<'a>(&self, candidates: &[Candidate<'a>], draw: u64, now: Now) -> Option<&'a str> {
        let count = candidates.len().max(1);
        let start = (draw % count as u64) as usize;
        let rotated = candidates.iter().cycle().skip(start).take(candidates.len());
        rotated
            .min_by(|a, b| self.cost(a, now).total_cmp(&self.cost(b, now)))
            .map(|c| c.id)
    }

    /// Notes a call sent.
    pub fn sent(&mut self, id: &str) {
        self.loads.entry(id.into()).or_default().own += 1;
    }

    /// Notes the end of a call.
    pub fn ended(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.own = load.own.saturating_sub(1);
        }
    }

    /// Notes what an instance told with an answer; the answered call is still
    /// counted as sent.
    pub fn told(&mut self, id: &str, told: ToldLoad, now: Now) {
        let load = self.loads.entry(id.into()).or_default();
        load.others = (told.running + told.waiting).saturating_sub(load.own);
        load.told_at = Some(now);
    }

    /// Forgets an instance.
    pub fn forget(&mut self, id: &str) {
        self.loads.remove(id);
    }

    fn cost(&self, candidate: &Candidate<'_>, now: Now) -> f64 {
        let load = self.loads.get(candidate.id).copied().unwrap_or_default();
        let fresh = load
            .told_at
            .is_some_and(|at| now.saturating_sub(at) < TOLD_LIFE);
        let others = if fresh { load.others } else { 0 };
        let busy = f64::from(load.own + others) / f64::from(candidate.slots.max(1));
        busy + if candidate.near { 0.0 } else { FAR_PENALTY }
    }
}
