//! The list of instances, which shows each change only after a lag.

use reedford_wire::instances::{Instance, InstanceList};
use std::time::Duration;
use tokio::time::Instant;

/// The true list and what is shown of it.
#[derive(Debug)]
pub(crate) struct Directory {
    lag: Duration,
    now: Vec<Instance>,
    shown: InstanceList,
    /// Lists that show later, by time.
    pending: Vec<(Instant, InstanceList)>,
}

impl Directory {
    pub(crate) fn new(lag: Duration, instances: Vec<Instance>) -> Self {
        Self {
            lag,
            shown: InstanceList {
                instances: instances.clone(),
            },
            now: instances,
            pending: Vec::new(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn set(&mut self, instances: Vec<Instance>, at: Instant) {
        self.now = instances;
        let list = InstanceList {
            instances: self.now.clone(),
        };
        self.pending.push((at + self.lag, list));
    }

    pub(crate) fn put(&mut self, instance: Instance, at: Instant) {
        let mut instances = self.now.clone();
        instances.retain(|other| other.id != instance.id);
        instances.push(instance);
        self.set(instances, at);
    }

    pub(crate) fn remove(&mut self, id: &str, at: Instant) {
        let mut instances = self.now.clone();
        instances.retain(|other| *other.id != *id);
        self.set(instances, at);
    }

    /// Moves the lists that are due into view.
    pub(crate) fn advance(&mut self, now: Instant) {
        let due = self.pending.iter().rposition(|(at, _)| *at <= now);
        if let Some(last) = due {
            let mut passed = self.pending.drain(..=last);
            if let Some((_, list)) = passed.next_back() {
                self.shown = list;
            }
        }
    }

    pub(crate) fn shown(&self) -> &InstanceList {
        &self.shown
    }
}
