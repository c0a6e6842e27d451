//! Order of queued calls of several workspaces.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing: A
//! Scheduling Algorithm for Integrated Services Packet Switching Networks", 1996): a
//! workspace's calls get start tags that are as far apart as their cost divided by the
//! workspace's weight, and the call with the lowest tag goes first. Under too little
//! room each workspace gets room in proportion to its weight, and what it asks beyond
//! that waits behind the calls of the others.
//!
//! Tags are derived from the queue in each round, so that calls that leave it without
//! being served cost their workspace nothing.

use super::QueuedCall;
use crate::workspaces::WorkspaceName;
use std::collections::BTreeMap;

/// Tag of a call; lower ones go first.
pub(super) type StartTag = f64;

/// What each workspace has been served.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    /// Start tag of the last call that was served.
    virtual_time: StartTag,
    /// Finish tag of each workspace's last call that was served. Those that are not
    /// beyond the virtual time are dropped.
    finished: BTreeMap<WorkspaceName, StartTag>,
    /// Weights relative to each other; 1 if none is set.
    weights: BTreeMap<WorkspaceName, f64>,
}

/// Assigns tags to calls in the order in which each workspace's calls are queued.
#[derive(Debug)]
pub(super) struct Tagger<'a> {
    queue: &'a FairQueue,
    next: BTreeMap<WorkspaceName, StartTag>,
}

impl FairQueue {
    /// Sets the weights of workspaces; only their ratio matters.
    pub(super) fn set_weights(&mut self, weights: BTreeMap<WorkspaceName, f64>) {
        let sum: f64 = weights.values().sum();
        let mean = sum / weights.len().max(1) as f64;
        self.weights = weights
            .into_iter()
            .filter(|(_, weight)| *weight > 0.0)
            .map(|(name, weight)| (name, weight / mean))
            .collect();
    }

    /// Begins a round of assigning tags.
    pub(super) fn tagger(&self) -> Tagger<'_> {
        Tagger {
            queue: self,
            next: BTreeMap::new(),
        }
    }

    /// Records that a call was served that had this tag.
    pub(super) fn on_served(&mut self, call: &QueuedCall, tag: StartTag) {
        let Some(workspace) = &call.request.workspace else {
            return;
        };
        let finish = tag + self.virtual_cost(call);
        self.finished.insert(workspace.clone(), finish);
        self.virtual_time = self.virtual_time.max(tag);
        let virtual_time = self.virtual_time;
        self.finished.retain(|_, finish| *finish > virtual_time);
    }

    /// Returns the cost of a call divided by its workspace's weight.
    fn virtual_cost(&self, call: &QueuedCall) -> f64 {
        let request = &call.request;
        let cost = f64::from(request.tokens) + f64::from(request.output);
        let weight = request.workspace.as_ref();
        let weight = weight.and_then(|w| self.weights.get(w));
        cost / weight.copied().unwrap_or(1.0)
    }
}

impl Tagger<'_> {
    /// Returns the tag of the next call of its workspace. Calls without a workspace all
    /// have the same tag.
    pub(super) fn tag(&mut self, call: &QueuedCall) -> StartTag {
        let Some(workspace) = &call.request.workspace else {
            return self.queue.virtual_time;
        };
        let virtual_time = self.queue.virtual_time;
        let start = self.next.get(workspace).copied();
        let start = start.or_else(|| self.queue.finished.get(workspace).copied());
        let start = start.map_or(virtual_time, |start| start.max(virtual_time));
        let finish = start + self.queue.virtual_cost(call);
        self.next.insert(workspace.clone(), finish);
        start
    }
}
