//! Whether this node's own links to the instances are broken.
//!
//! A node may lose its links to all instances while other nodes reach them. A connection
//! that fails shows nothing by itself, since the instance may have crashed. Only if
//! another node reaches the instance at the same time, the link is broken. Several
//! broken links while no other one works are a cut, during which connections are opened
//! through other nodes first.
//!
//! Links are tested, also those that carry no call, so that a cut and its end are known
//! before callers meet them. What a test shows may call for others, so that each link and
//! the node as a whole have an interval between tests.

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
/// Links whose tests are started at once at most.
const MAX_TESTS: usize = 8;
/// Other links that are tested when one breaks.
const TESTED_LINKS: usize = 4;
/// Limit on the links whose state is kept; the others are dropped beyond it.
const MAX_LINKS: usize = 2_048;

/// State of the links that have failed.
#[derive(Clone, Debug, Default)]
pub struct Links {
    links: BTreeMap<InstanceId, Link>,
    /// When a direct connection was last established.
    connected_at: Option<Now>,
    /// When other links were last tested because one had broken.
    others_tested_at: Option<Now>,
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
    /// A link broke while no other one, or one, was; others should be tested.
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
        if is_cut || link.is_broken(now) {
            let test = link.is_due(now);
            if test {
                link.tested_at = Some(now);
            }
            return Route::Relayed { test };
        }
        if is_recent(link.unreachable_at, UNREACHABLE_TIME, now) {
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
        let links = self.links.iter();
        let mut due: Vec<(Option<Now>, InstanceId)> = links
            .filter(|(_, link)| (is_cut || link.is_broken(now)) && link.is_due(now))
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
        let is_due = link.is_due(now);
        if is_due {
            link.tested_at = Some(now);
        }
        is_due
    }

    /// Returns which of the links to `instances` are tested after one broke, at most once in
    /// an interval for the whole node, and defers their next tests. Broken links have tests
    /// of their own.
    pub fn start_tests_of_others<I>(&mut self, instances: I, now: Now) -> Vec<InstanceId>
    where
        I: IntoIterator<Item = InstanceId>,
    {
        if is_recent(self.others_tested_at, TEST_INTERVAL, now) {
            return Vec::new();
        }
        self.others_tested_at = Some(now);
        let is_due = |id: &InstanceId| {
            let link = self.links.get(id);
            link.is_none_or(|link| !link.is_broken(now) && link.is_due(now))
        };
        let due: Vec<InstanceId> = instances
            .into_iter()
            .filter(is_due)
            .take(TESTED_LINKS)
            .collect();
        for id in &due {
            if let Some(link) = self.links.get_mut(id) {
                link.tested_at = Some(now);
            }
        }
        due
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
        let was_broken = link.is_broken(now);
        let failed_recently = is_recent(link.failed_at, PROOF_TIME, now);
        if failed_recently || is_cut {
            link.relayed_at = Some(now);
        }
        if !failed_recently || is_cut {
            return None;
        }
        let connected_at = self.connected_at;
        let is_broken = |link: &&Link| {
            is_recent(link.relayed_at, PROOF_TIME, now)
                && connected_at.is_none_or(|at| link.failed_at > Some(at))
        };
        let broken: Vec<&Link> = self.links.values().filter(is_broken).collect();
        let links = broken.len();
        let hung = broken.iter().filter(|link| link.hung).count() * 2 >= links;
        if links < MIN_CUT_LINKS.min(instances) {
            return (links <= 1 && !was_broken).then_some(LinkChange::Broken);
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

impl Link {
    /// Whether connections go through other nodes, unless a test shows that it works.
    fn is_broken(&self, now: Now) -> bool {
        is_recent(self.relayed_at, BROKEN_TIME, now)
    }

    fn is_due(&self, now: Now) -> bool {
        !is_recent(self.tested_at, TEST_INTERVAL, now)
    }
}

fn is_recent(at: Option<Now>, time: Duration, now: Now) -> bool {
    at.is_some_and(|at| now < at + time)
}
