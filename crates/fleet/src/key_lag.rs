//! How far a node is behind the keys that operators write.
//!
//! Other nodes report the position of the newest change before a node has read the
//! change itself. In between the node knows that its configuration is outdated.

use crate::Now;
use std::time::Duration;

/// How far a node is behind, by positions in the store's history.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KeyLag<P> {
    /// Position up to which this node has read all changes.
    read: P,
    /// Position of the newest change that is known to exist.
    newest: P,
    /// When the first change was reported that this node has not read yet.
    behind_since: Option<Now>,
}

impl<P> KeyLag<P>
where
    P: Copy + Ord,
{
    /// Records the position of a change that exists.
    pub fn on_reported(&mut self, position: P, now: Now) {
        self.newest = self.newest.max(position);
        if self.newest > self.read {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that all changes up to a position have been read. Returns for how long
    /// this node was behind, if it no longer is.
    pub fn on_read(&mut self, position: P, now: Now) -> Option<Duration> {
        self.read = self.read.max(position);
        self.newest = self.newest.max(position);
        if self.newest > self.read {
            return None;
        }
        let since = self.behind_since.take()?;
        Some(now.saturating_sub(since))
    }

    /// Returns for how long this node has known of a change that it has not read;
    /// `None` if it knows of none.
    #[must_use]
    pub fn behind(&self, now: Now) -> Option<Duration> {
        self.behind_since.map(|since| now.saturating_sub(since))
    }

    /// Returns the position up to which this node has read all changes.
    #[must_use]
    pub const fn read(&self) -> P {
        self.read
    }

    /// Returns the position of the newest change that is known to exist.
    #[must_use]
    pub const fn newest(&self) -> P {
        self.newest
    }
}
