//! Instances that asked this node to send nothing for a time.
//!
//! A hold is that of one incarnation of an instance. After its end calls resume
//! gradually: at first a few, and two more for each response, until enough
//! responses came or the time of the slow start is over.

use crate::{InstanceId, Now};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest hold; longer requests are shortened to it.
pub const MAX_HOLD: Duration = Duration::from_secs(600);

/// Calls sent after the end of a hold before a response has come.
const SLOW_START_CALLS: u32 = 2;
/// Responses after which the slow start ends.
const SLOW_START_RESPONSES: u32 = 8;
/// Longest slow start.
const SLOW_START_TIME: Duration = Duration::from_secs(2);
/// Time after which a call that the slow start delays is tried again.
const SLOW_START_PAUSE: Duration = Duration::from_millis(25);
/// Limit on remembered holds; the one that ends first is dropped beyond it.
const MAX_HOLDS: usize = 1_024;

/// Holds by instance.
#[derive(Clone, Debug, Default)]
pub struct Pushback {
    by_instance: BTreeMap<InstanceId, Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    born: u64,
    until: Now,
    /// Calls sent and responses received since `until`.
    sent: u32,
    responses: u32,
}

impl Pushback {
    /// Records that the incarnation with the start time `born` asked to be sent
    /// nothing for `pause`. A hold never becomes shorter. Returns its end.
    pub fn record(&mut self, id: &str, born: u64, pause: Duration, now: Now) -> Now {
        self.by_instance.retain(|_, hold| !hold.is_over(now));
        let known = self.by_instance.get(id).filter(|h| h.born >= born);
        let (born, earlier) = known.map_or((born, Now::ZERO), |h| (h.born, h.until));
        let until = earlier.max(now + pause.min(MAX_HOLD));
        if self.by_instance.len() >= MAX_HOLDS && !self.by_instance.contains_key(id) {
            self.drop_first_to_end();
        }
        let hold = Hold {
            born,
            until,
            sent: 0,
            responses: 0,
        };
        self.by_instance.insert(id.into(), hold);
        until
    }

    /// Whether all holds and slow starts have ended.
    #[must_use]
    pub fn is_over(&self, now: Now) -> bool {
        self.by_instance.values().all(|hold| hold.is_over(now))
    }

    /// Returns the end of an instance's hold, if it has one at `now`.
    #[must_use]
    pub fn held_until(&self, id: &str, born: u64, now: Now) -> Option<Now> {
        let hold = self.hold(id, born)?;
        (now < hold.until).then_some(hold.until)
    }

    /// Returns when a call may be sent to an instance, or tried again: `now` if one
    /// may be sent at once.
    #[must_use]
    pub fn available_at(&self, id: &str, born: u64, now: Now) -> Now {
        match self.hold(id, born) {
            Some(hold) if now < hold.until => hold.until,
            Some(hold) if !hold.is_over(now) && !hold.allows_call() => now + SLOW_START_PAUSE,
            Some(_) | None => now,
        }
    }

    /// Counts a call that is sent to an instance.
    pub fn on_sent(&mut self, id: &str, now: Now) {
        if let Some(hold) = self.by_instance.get_mut(id)
            && now >= hold.until
        {
            hold.sent += 1;
        }
    }

    /// Counts a response of an instance.
    pub fn on_response(&mut self, id: &str, now: Now) {
        if let Some(hold) = self.by_instance.get_mut(id)
            && now >= hold.until
        {
            hold.responses += 1;
        }
    }

    /// Returns the hold that binds for the incarnation with the start time `born`.
    fn hold(&self, id: &str, born: u64) -> Option<&Hold> {
        self.by_instance.get(id).filter(|h| h.born >= born)
    }

    fn drop_first_to_end(&mut self) {
        let first = self.by_instance.iter().min_by_key(|(_, h)| h.until);
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.by_instance.remove(&id);
        }
    }
}

impl Hold {
    const fn allows_call(&self) -> bool {
        self.sent < SLOW_START_CALLS + 2 * self.responses
    }

    /// Whether it and its slow start have ended.
    fn is_over(&self, now: Now) -> bool {
        now >= self.until + SLOW_START_TIME
            || (now >= self.until && self.responses >= SLOW_START_RESPONSES)
    }
}
