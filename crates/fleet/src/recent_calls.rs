//! The calls that came to this node a short time ago and may run once.
//!
//! Callers give each attempt of a request an id of its own. A caller, or a proxy before this
//! node, may send an attempt again nevertheless, also after it was answered.

use crate::Now;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Hash of an attempt: its id, its caller's workspace and the request.
pub type AttemptKey = u64;

/// Time for which an attempt is known after it has ended.
pub const KEPT_FOR: Duration = Duration::from_secs(30);
/// Attempts known after their end; the oldest ones are forgotten first. About half a
/// megabyte.
pub const MAX_ENDED: usize = 8_192;

/// How far the earlier times have come at which an attempt was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// One of them is under way.
    UnderWay,
    /// They have ended, and one of them may have run.
    MayHaveRun,
    /// They have ended, and none of them ran.
    NeverRan,
}

/// The earlier times at which an attempt was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Earlier {
    /// Their number.
    pub times: u32,
    /// How far they have come.
    pub progress: Progress,
}

#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    times: u32,
    under_way: u32,
    may_have_run: bool,
    ended_at: Now,
}

/// The attempts that are under way, and those that ended a short time ago.
#[derive(Debug, Default)]
pub struct RecentCalls {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Ends in their order.
    ended: VecDeque<(Now, AttemptKey)>,
}

impl RecentCalls {
    /// Records that an attempt was received, until [`Self::end`]. Returns the earlier times,
    /// if there were any.
    pub fn begin(&mut self, key: AttemptKey, now: Now) -> Option<Earlier> {
        self.forget_old(now);
        let attempt = self.attempts.entry(key).or_default();
        let earlier = attempt.earlier();
        attempt.times = attempt.times.saturating_add(1);
        attempt.under_way += 1;
        earlier
    }

    /// Records the end of an attempt after [`Self::begin`].
    pub fn end(&mut self, key: AttemptKey, may_have_run: bool, now: Now) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.under_way = attempt.under_way.saturating_sub(1);
        attempt.may_have_run |= may_have_run;
        attempt.ended_at = now;
        self.ended.push_back((now, key));
        self.forget_old(now);
    }

    /// Number of attempts that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn forget_old(&mut self, now: Now) {
        while let Some((at, key)) = self.ended.front().copied() {
            if self.ended.len() <= MAX_ENDED && now < at + KEPT_FOR {
                return;
            }
            self.ended.pop_front();
            let attempt = self.attempts.get(&key);
            // One that came again has a later end.
            if attempt.is_some_and(|a| a.under_way == 0 && a.ended_at == at) {
                self.attempts.remove(&key);
            }
        }
    }
}

impl Attempt {
    fn earlier(&self) -> Option<Earlier> {
        let progress = match self {
            Self { times: 0, .. } => return None,
            Self { under_way: 1.., .. } => Progress::UnderWay,
            Self {
                may_have_run: true, ..
            } => Progress::MayHaveRun,
            Self { .. } => Progress::NeverRan,
        };
        Some(Earlier {
            times: self.times,
            progress,
        })
    }
}
