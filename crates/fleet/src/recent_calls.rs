//! The calls that came to this node a short time ago and may run once.
//!
//! Callers give each attempt of a request an id of its own. A caller, or a proxy before this
//! node, may send an attempt again nevertheless, also after it was answered. It then runs
//! again only if it is known that it never ran.

use crate::Now;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Hash of an attempt: its id and its caller's key.
pub type AttemptKey = u64;

/// Time for which an attempt is known after it has ended.
pub const KEPT_FOR: Duration = Duration::from_secs(30);
/// Attempts known after their end that may have run; the oldest ones are forgotten first.
pub const MAX_ENDED: usize = 8_192;
/// Attempts known after their end that never ran. A node that sheds calls has many of them,
/// which must push none of the others out.
pub const MAX_NEVER_RAN: usize = 1_024;

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

impl Progress {
    /// Whether the attempt must not be sent to an instance again.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::UnderWay | Self::MayHaveRun => true,
            Self::NeverRan => false,
        }
    }
}

/// The earlier times at which an attempt was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Earlier {
    /// Their number.
    pub times: u32,
    /// How far they have come.
    pub progress: Progress,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    times: u32,
    progress: Progress,
    ended_at: Now,
}

/// The attempts that are under way, and those that ended a short time ago.
#[derive(Debug, Default)]
pub struct RecentCalls {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Ends of attempts that may have run, in their order.
    ended: VecDeque<(Now, AttemptKey)>,
    /// Ends of attempts that never ran.
    never_ran: VecDeque<(Now, AttemptKey)>,
}

impl RecentCalls {
    /// Returns the earlier times at which an attempt was received, if there were any.
    pub fn earlier(&mut self, key: AttemptKey, now: Now) -> Option<Earlier> {
        self.forget_old(now);
        let attempt = self.attempts.get(&key)?;
        Some(Earlier {
            times: attempt.times,
            progress: attempt.progress,
        })
    }

    /// Records that an attempt that may run once was received. Returns the earlier times, if
    /// there were any. The attempt is under way until [`Self::end`], unless it may have run
    /// before.
    pub fn begin(&mut self, key: AttemptKey, now: Now) -> Option<Earlier> {
        let earlier = self.earlier(key, now);
        let attempt = self.attempts.entry(key).or_insert(Attempt {
            times: 0,
            progress: Progress::NeverRan,
            ended_at: now,
        });
        attempt.times = attempt.times.saturating_add(1);
        if !attempt.progress.may_have_run() {
            attempt.progress = Progress::UnderWay;
        }
        earlier
    }

    /// Records the end of an attempt that is under way.
    pub fn end(&mut self, key: AttemptKey, may_have_run: bool, now: Now) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.ended_at = now;
        if may_have_run {
            attempt.progress = Progress::MayHaveRun;
            self.ended.push_back((now, key));
        } else {
            attempt.progress = Progress::NeverRan;
            self.never_ran.push_back((now, key));
        }
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
        let Self {
            attempts,
            ended,
            never_ran,
        } = self;
        for (ends, limit) in [(ended, MAX_ENDED), (never_ran, MAX_NEVER_RAN)] {
            while let Some((at, key)) = ends.front().copied() {
                if ends.len() <= limit && now < at + KEPT_FOR {
                    break;
                }
                ends.pop_front();
                // One that came again is under way, or has a later end.
                let is_last = |a: &Attempt| a.progress != Progress::UnderWay && a.ended_at == at;
                if attempts.get(&key).is_some_and(is_last) {
                    attempts.remove(&key);
                }
            }
        }
    }
}
