//! Calls that broke off at instances that may have crashed.
//!
//! A crash can't be seen at the instance's address if something else accepts
//! connections there: a proxy, the next incarnation, or another instance. The instance's
//! entry shows it later.

use super::{RequestDigest, Suspect};
use crate::scheduler::PromptPart;
use crate::{InstanceId, Now};
use std::collections::VecDeque;
use std::time::Duration;

/// Time after which the end of an instance's entry no longer explains a call that broke
/// off; a crashed instance's entry ends after a few heartbeats.
const MAX_AGE: Duration = Duration::from_secs(8);
/// Limit on the calls; the oldest is dropped beyond it.
const MAX_CALLS: usize = 256;

/// A call that broke off.
#[derive(Clone, Debug)]
pub(super) struct BrokenCall {
    pub(super) instance: InstanceId,
    /// Start time of the instance's incarnation.
    pub(super) born: u64,
    prompt: Vec<PromptPart>,
    request: Option<RequestDigest>,
    pub(super) at: Now,
}

/// Calls that broke off, the latest last.
#[derive(Clone, Debug, Default)]
pub(super) struct Unconfirmed {
    calls: VecDeque<BrokenCall>,
}

impl BrokenCall {
    pub(super) fn suspect(&self) -> Suspect<'_> {
        Suspect {
            prompt: &self.prompt,
            request: self.request,
        }
    }
}

impl Unconfirmed {
    pub(super) fn add(&mut self, instance: &str, born: u64, call: &Suspect<'_>, at: Now) {
        if self.calls.len() >= MAX_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(BrokenCall {
            instance: instance.into(),
            born,
            prompt: call.prompt.to_vec(),
            request: call.request,
            at,
        });
    }

    /// Takes the calls that broke off at an incarnation before the one that started at
    /// `born`, or at any if that is `None`.
    pub(super) fn take(&mut self, instance: &str, born: Option<u64>, now: Now) -> Vec<BrokenCall> {
        self.calls
            .retain(|call| now.saturating_sub(call.at) < MAX_AGE);
        let is_ended = |call: &BrokenCall| {
            &*call.instance == instance && born.is_none_or(|born| call.born < born)
        };
        let (taken, left) = self.calls.drain(..).partition(is_ended);
        self.calls = left;
        Vec::from(taken)
    }
}
