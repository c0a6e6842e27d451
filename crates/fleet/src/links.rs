//! Whether this node's own links to the instances are broken.
//!
//! A node may lose its links to all instances while other nodes reach them. A connection
//! that fails shows nothing by itself, since the instance may have crashed. Only if
//! another node reaches the instance at the same time, the link is broken. Several
//! broken links while no other one works are a cut, during which connections are opened
//! through other nodes first.

use crate::{InstanceId, Now};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Broken links that make a cut, or all links if there are fewer instances.
const MIN_CUT_LINKS: usize = 3;
/// Time within which those links must have broken, and within which another node must
/// reach an instance after a direct connection to it failed.
const PROOF_TIME: Duration = Duration::from_secs(3);
/// Time for which a link counts as broken after another node last reached the instance.
const BROKEN_TIME: Duration = Duration::from_secs(5);
/// Links on which direct connections must succeed to end a cut.
const MIN_RESTORED_LINKS: usize = 2;
/// Interval between tests of a broken link.
const TEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an instance that no node reached is sought through others again.
const UNREACHABLE_TIME: Duration = Duration::from_millis(500);
/// Links that are tested at once at most.
const MAX_TESTS: usize = 8;
/// Limit on the links whose state is kept; the others are dropped beyond it.
const MAX_LINKS: usize = 2_048;

/// State of the links that have failed.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: BTreeMap<InstanceId, Link>,
    /// When a direct connection was last established.
    connected_at: Option<Now>,
    cut: Option<Cut>,
}

/// A link on which no direct connection has succeeded since one failed.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    failed_at: Option<Now>,
    /// Whether the last direct connection that failed was not established in time,
    /// instead of being refused or reset.
    hung: bool,
    /// When another node last reached the instance.
    relayed_at: Option<Now>,
    /// When another node last failed to reach it.
    unreachable_at: Option<Now>,
    tested_at: Option<Now>,
}

#[derive(Clone, Debug, Default)]
struct Cut {
    /// Number of links that were broken at its beginning.
    links: usize,
    /// Instances to which direct connections have succeeded during it.
    restored: BTreeSet<InstanceId>,
}

/// How to open a connection to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Directly, and through another node if that fails.
    Direct,
    /// Directly only: other nodes didn't reach the instance a moment ago.
    DirectOnly,
    /// Through another node. `test` is whether to test the link meanwhile.
    Relayed {
        /// Whether a test of the link is due.
        test: bool,
    },
}

/// What changed for all links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The first link broke; others should be tested.
    Broken,
    /// This node is cut from the instances.
    Cut {
        /// Whether direct connections hang, so that open ones are dead, too.
        hung: bool,
    },
    /// The cut has ended.
    Restored,
}

impl Links {
    /// Returns how to open a connection to an instance.
    pub fn route(&mut self, instance: &str, now: Now) -> Route {
        let is_cut = self.cut.is_some();
        let Some(link) = self.links.get_mut(instance) else {
            if is_cut {
                let link = self.entry(instance);
                link.tested_at = Some(now);
                return Route::Relayed { test: true };
            }
            return Route::Direct;
        };
        let is_recent = |at: Option<Now>, time| at.is_some_and(|at| now < at + time);
        if is_cut || is_recent(link.relayed_at, BROKEN_TIME) {
            let test = !is_recent(link.tested_at, TEST_INTERVAL);
            if test {
                link.tested_at = Some(now);
            }
            return Route::Relayed { test };
        }
        if is_recent(link.unreachable_at, UNREACHABLE_TIME) {
            Route::DirectOnly
        } else {
            Route::Direct
        }
    }

    /// Returns the broken links whose test is due, those tested longest ago first, and
    /// defers their next tests. They are tested without a call, too, so that no call goes
    /// through another node because there was none to show that the link works.
    pub fn start_due_tests(&mut self, now: Now) -> Vec<InstanceId> {
        let is_cut = self.cut.is_some();
        let is_broken =
            |link: &Link| is_cut || link.relayed_at.is_some_and(|at| now < at + BROKEN_TIME);
        let is_due = |link: &Link| link.tested_at.is_none_or(|at| now >= at + TEST_INTERVAL);
        let links = self.links.iter();
        let mut due: Vec<(Option<Now>, InstanceId)> = links
            .filter(|(_, link)| is_broken(link) && is_due(link))
            .map(|(id, link)| (link.tested_at, id.clone()))
            .collect();
        due.sort_unstable();
        due.truncate(MAX_TESTS);
        let due: Vec<InstanceId> = due.into_iter().map(|(_, id)| id).collect();
        for id in &due {
            self.entry(id).tested_at = Some(now);
        }
        due
    }

    /// Returns whether to test the link to an instance that sends nothing, and if so,
    /// defers the next test.
    pub fn start_test(&mut self, instance: &str, now: Now) -> bool {
        let link = self.entry(instance);
        let is_due = link.tested_at.is_none_or(|at| now >= at + TEST_INTERVAL);
        if is_due {
            link.tested_at = Some(now);
        }
        is_due
    }

    /// Whether this node is cut from the instances.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.cut.is_some()
    }

    /// Records that a direct connection was established.
    pub fn on_connected(&mut self, instance: &str, now: Now) -> Option<LinkChange> {
        self.links.remove(instance);
        self.connected_at = Some(now);
        let cut = self.cut.as_mut()?;
        cut.restored.insert(instance.into());
        if cut.restored.len() < cut.links.min(MIN_RESTORED_LINKS) {
            return None;
        }
        self.cut = None;
        Some(LinkChange::Restored)
    }

    /// Records that a direct connection failed; `hung` is whether it was not established
    /// in time, instead of being refused or reset.
    pub fn on_failed(&mut self, instance: &str, hung: bool, now: Now) {
        let link = self.entry(instance);
        link.failed_at = Some(now);
        link.hung = hung;
        if let Some(cut) = &mut self.cut {
            cut.restored.remove(instance);
        }
    }

    /// Records that another node reached an instance. `instances` is the number of known
    /// ones.
    pub fn on_relayed(&mut self, instance: &str, instances: usize, now: Now) -> Option<LinkChange> {
        let is_cut = self.cut.is_some();
        let link = self.entry(instance);
        link.unreachable_at = None;
        let failed_recently = link.failed_at.is_some_and(|at| now < at + PROOF_TIME);
        if failed_recently || is_cut {
            link.relayed_at = Some(now);
        }
        if !failed_recently || is_cut {
            return None;
        }
        let connected_at = self.connected_at;
        let is_broken = |link: &&Link| {
            let is_recent = link.relayed_at.is_some_and(|at| now < at + PROOF_TIME);
            is_recent && connected_at.is_none_or(|at| link.failed_at > Some(at))
        };
        let broken: Vec<&Link> = self.links.values().filter(is_broken).collect();
        let links = broken.len();
        let hung = broken.iter().filter(|link| link.hung).count() * 2 >= links;
        if links < MIN_CUT_LINKS.min(instances) {
            return (links <= 1).then_some(LinkChange::Broken);
        }
        self.cut = Some(Cut {
            links,
            restored: BTreeSet::new(),
        });
        Some(LinkChange::Cut { hung })
    }

    /// Records that other nodes didn't reach an instance either.
    pub fn on_unreachable(&mut self, instance: &str, now: Now) {
        let link = self.entry(instance);
        link.relayed_at = None;
        link.unreachable_at = Some(now);
    }

    fn entry(&mut self, instance: &str) -> &mut Link {
        if self.links.len() >= MAX_LINKS && !self.links.contains_key(instance) {
            self.links.clear();
        }
        self.links.entry(instance.into()).or_default()
    }
}
