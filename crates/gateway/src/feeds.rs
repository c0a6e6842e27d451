//! What this node read from the store itself, for other nodes of its zone.
//!
//! Every call to the store costs, and each instance writes its entry about once
//! a second. So only the coordinator of a zone watches the instances and the
//! nodes' keys; the others ask it. It passes on nothing that it has not heard
//! from the store just now ([`FRESH`]), and a node that it leaves without an
//! answer asks the store itself.

use reedford_fleet::Now;
use reedford_fleet::directory::{ABSENCE_GRACE, Absence};
use reedford_store::{Change, ChangeKind, Entry};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Age up to which the last word of the store is passed on. A watch returns
/// within half a second, so that a missing word shows soon. With the times that
/// questions wait and followers pause, an instance that leaves is known
/// everywhere within two seconds, the least that a platform allows.
const FRESH: Duration = Duration::from_millis(1_000);
/// Time for which a question waits for a change.
const HOLD: Duration = Duration::from_millis(350);
/// Time for which a question waits while the store gives no answer; a cut
/// history or connection is replaced within it.
const HOLD_UNKNOWN: Duration = Duration::from_millis(250);
/// Changes kept for those who ask what is new.
const LOG_CHANGES: usize = 512;

/// Part of the store that is passed on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Feed {
    /// Entries of the instances.
    Instances,
    /// Keys of the nodes.
    Members,
}

/// A key as it is passed on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FeedItem {
    pub(crate) key: Box<str>,
    /// Text of the value; `None` when the key was deleted. What is not text
    /// is not readable on the other side either.
    pub(crate) value: Option<Box<str>>,
    pub(crate) revision: i64,
}

/// What goes with every answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Aside {
    /// Revision of the newest word on what operators wrote.
    pub(crate) operators: i64,
    /// Nodes of the fleet, 0 when not known.
    pub(crate) nodes: usize,
}

/// An answer to a question for news.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum FeedAnswer {
    /// Everything.
    Listing {
        revision: i64,
        items: Vec<FeedItem>,
        /// Whether the store was away shortly before, so that entries may have
        /// lapsed.
        lapsed: bool,
        aside: Aside,
    },
    /// What changed.
    Changes {
        revision: i64,
        items: Vec<FeedItem>,
        aside: Aside,
    },
    /// This node does not know.
    Unknown,
}

/// All feeds of a node.
#[derive(Debug, Default)]
pub(crate) struct Feeds {
    feeds: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    by_feed: BTreeMap<Feed, FeedState>,
    aside: Aside,
}

#[derive(Debug, Default)]
struct FeedState {
    items: BTreeMap<Box<str>, Kept>,
    log: VecDeque<FeedItem>,
    /// Everything after this revision is in the log.
    log_after: i64,
    revision: i64,
    heard: Option<Now>,
    /// When the store was back after it had been away.
    back: Option<Now>,
}

#[derive(Debug)]
struct Kept {
    value: Box<str>,
    revision: i64,
    /// Tells changes that matter from others.
    essence: u64,
}

impl Feeds {
    /// Takes everything, as the store listed it.
    pub(crate) fn on_listing<F>(
        &self,
        feed: Feed,
        revision: i64,
        entries: &[Entry],
        essence: F,
        absence: Absence,
        now: Now,
    ) where
        F: Fn(&[u8]) -> u64,
    {
        let mut state = self.lock();
        let back = match absence {
            Absence::Lapsed => Some(now),
            Absence::Removed => state.by_feed.get(&feed).and_then(|f| f.back),
        };
        let kept = entries.iter().map(|entry| {
            let kept = Kept {
                value: String::from_utf8_lossy(&entry.value).into(),
                revision: entry.revision,
                essence: essence(&entry.value),
            };
            (entry.key.clone(), kept)
        });
        let new = FeedState {
            items: kept.collect(),
            log: VecDeque::new(),
            log_after: revision,
            revision,
            heard: Some(now),
            back,
        };
        state.by_feed.insert(feed, new);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Takes a word of the watch.
    pub(crate) fn on_changes<F>(
        &self,
        feed: Feed,
        revision: i64,
        changes: &[Change],
        essence: F,
        now: Now,
    ) where
        F: Fn(&[u8]) -> u64,
    {
        let mut state = self.lock();
        let state_of = state.by_feed.entry(feed).or_default();
        state_of.heard = Some(now);
        state_of.revision = state_of.revision.max(revision);
        for change in changes {
            state_of.take(change, &essence);
        }
        drop(state);
        if !changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Notes that the store is out of reach.
    pub(crate) fn on_lost(&self, feed: Feed) {
        if let Some(state) = self.lock().by_feed.get_mut(&feed) {
            state.heard = None;
        }
    }

    /// Notes the revision of the newest word on what operators wrote.
    pub(crate) fn on_operators(&self, revision: i64) {
        let mut state = self.lock();
        state.aside.operators = state.aside.operators.max(revision);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Notes how many nodes the fleet has.
    pub(crate) fn on_nodes(&self, nodes: usize) {
        self.lock().aside.nodes = nodes;
    }

    /// Answers what is new after a revision, 0 for everything. `clock` tells
    /// the time.
    pub(crate) async fn news<C>(
        &self,
        feed: Feed,
        after: i64,
        operators: i64,
        clock: C,
    ) -> FeedAnswer
    where
        C: Fn() -> Now,
    {
        let changed = self.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let first = self.answer(feed, after, clock());
        let hold = match &first {
            FeedAnswer::Unknown => HOLD_UNKNOWN,
            empty if empty.is_empty_after(operators) => HOLD,
            _ => return first,
        };
        if timeout(hold, changed).await.is_err() {
            tracing::trace!(event = "no_news");
        }
        self.answer(feed, after, clock())
    }

    fn answer(&self, feed: Feed, after: i64, now: Now) -> FeedAnswer {
        let state = self.lock();
        let aside = state.aside;
        let Some(known) = state.by_feed.get(&feed) else {
            return FeedAnswer::Unknown;
        };
        // A word on any part shows that the store answers.
        let heard = state.by_feed.values().filter_map(|f| f.heard).max();
        let fresh = heard.is_some_and(|at| now.saturating_sub(at) < FRESH);
        if !fresh || known.heard.is_none() {
            return FeedAnswer::Unknown;
        }
        let revision = known.revision;
        if after == 0 || after < known.log_after {
            let items = known.items.iter().map(|(key, kept)| FeedItem {
                key: key.clone(),
                value: Some(kept.value.clone()),
                revision: kept.revision,
            });
            let lapsed = |back| now.saturating_sub(back) < ABSENCE_GRACE;
            return FeedAnswer::Listing {
                revision,
                items: items.collect(),
                lapsed: known.back.is_some_and(lapsed),
                aside,
            };
        }
        let new = known.log.iter().filter(|item| item.revision > after);
        FeedAnswer::Changes {
            revision,
            items: new.cloned().collect(),
            aside,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.feeds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FeedAnswer {
    /// Whether it tells nothing to someone who knows what operators wrote up
    /// to this revision.
    fn is_empty_after(&self, known: i64) -> bool {
        match self {
            Self::Changes { items, aside, .. } => items.is_empty() && aside.operators <= known,
            Self::Listing { .. } | Self::Unknown => false,
        }
    }
}

impl FeedState {
    fn take<F>(&mut self, change: &Change, essence: &F)
    where
        F: Fn(&[u8]) -> u64,
    {
        let value = match &change.kind {
            ChangeKind::Put(value) => {
                let kept = Kept {
                    value: String::from_utf8_lossy(value).into(),
                    revision: change.revision,
                    essence: essence(value),
                };
                let text = kept.value.clone();
                let essence = kept.essence;
                let before = self.items.insert(change.key.clone(), kept);
                if before.is_some_and(|b| b.essence == essence) {
                    return;
                }
                Some(text)
            }
            ChangeKind::Delete => {
                self.items.remove(&change.key);
                None
            }
        };
        self.log.push_back(FeedItem {
            key: change.key.clone(),
            value,
            revision: change.revision,
        });
        if self.log.len() > LOG_CHANGES
            && let Some(dropped) = self.log.pop_front()
        {
            self.log_after = dropped.revision;
        }
    }
}
