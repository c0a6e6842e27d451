//! The list of instances, in which each change is visible only after a lag.

use reedford_wire::instances::{Instance, InstanceList};
use std::time::Duration;
use tokio::time::Instant;

/// The current list and its visible, lagging version.
#[derive(Debug)]
pub(crate) struct InstanceDirectory {
    lag: Duration,
    current: Vec<Instance>,
    visible: InstanceList,
    /// Lists that become visible later, with their times.
    pending: Vec<(Instant, InstanceList)>,
}

impl InstanceDirectory {
    pub(crate) fn new(lag: Duration, instances: Vec<Instance>) -> Self {
        Self {
            lag,
            visible: InstanceList {
                instances: instances.clone(),
            },
            current: instances,
            pending: Vec::new(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn set(&mut self, instances: Vec<Instance>, at: Instant) {
        self.current = instances;
        let list = InstanceList {
            instances: self.current.clone(),
        };
        self.pending.push((at + self.lag, list));
    }

    pub(crate) fn put(&mut self, instance: Instance, at: Instant) {
        let mut instances = self.current.clone();
        instances.retain(|other| other.id != instance.id);
        instances.push(instance);
        self.set(instances, at);
    }

    pub(crate) fn remove(&mut self, id: &str, at: Instant) {
        let mut instances = self.current.clone();
        instances.retain(|other| *other.id != *id);
        self.set(instances, at);
    }

    /// Makes the newest list that is due visible.
    pub(crate) fn advance(&mut self, now: Instant) {
        let due = self.pending.iter().rposition(|(at, _)| *at <= now);
        if let Some(last) = due {
            let mut passed = self.pending.drain(..=last);
            if let Some((_, list)) = passed.next_back() {
                self.visible = list;
            }
        }
    }

    pub(crate) fn visible(&self) -> &InstanceList {
        &self.visible
    }
}
