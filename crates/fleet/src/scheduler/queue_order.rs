//! Order in which queued calls are placed: by rank, and calls of the same rank by fair
//! queueing over workspaces.

use super::estimate::millis;
use super::fair_queue::StartTag;
use super::{QueuedCall, Scheduler};
use crate::Now;

/// Position in the queue; the lowest goes first. Calls of the same rank are ordered by
/// their [`StartTag`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueRank {
    /// Whether the call can no longer start in time.
    pub(super) late: bool,
    /// Whether the call begins a stream. One that resumes a stream goes first: the caller
    /// has a part of it, and fewer engines can go on.
    begins: bool,
    /// Priority of the workspace, or of the route if it has none.
    workspace_priority: u8,
    priority: u8,
}

impl QueueRank {
    /// Returns the rank of the same call once it can no longer start in time.
    pub(super) const fn as_late(self) -> Self {
        Self { late: true, ..self }
    }
}

impl Scheduler {
    /// Returns the queued calls that go before a call of this rank that arrives now.
    pub(super) fn calls_ahead(
        &self,
        rank: QueueRank,
        call: &QueuedCall,
        now: Now,
    ) -> Vec<&QueuedCall> {
        let rate = self.mean_prefill_rate();
        let ranked = self.queue.iter().map(|q| (q.rank(rate, now), q));
        let mut ranked: Vec<(QueueRank, &QueuedCall)> =
            ranked.filter(|(other, _)| *other <= rank).collect();
        if call.request.workspace.is_none() {
            return ranked.into_iter().map(|(_, q)| q).collect();
        }
        ranked.sort_by_key(|(rank, q)| (*rank, q.serial));
        let mut tagger = self.fair_queue.tagger();
        let tagged: Vec<(StartTag, QueueRank, &QueuedCall)> = ranked
            .into_iter()
            .map(|(rank, q)| (tagger.tag(q), rank, q))
            .collect();
        let own_tag = tagger.tag(call);
        let goes_before =
            |(tag, other, _): &(StartTag, QueueRank, &QueuedCall)| *other < rank || *tag <= own_tag;
        let ahead = tagged.into_iter().filter(goes_before);
        ahead.map(|(_, _, q)| q).collect()
    }

    /// Returns the queue in the order in which its calls are placed, with their tags.
    pub(super) fn ordered_queue(&mut self, now: Now) -> Vec<(StartTag, QueuedCall)> {
        let rate = self.mean_prefill_rate();
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|q| (q.rank(rate, now), q.serial));
        let mut tagger = self.fair_queue.tagger();
        let mut tagged: Vec<(StartTag, QueuedCall)> =
            queue.into_iter().map(|q| (tagger.tag(&q), q)).collect();
        tagged.sort_by(|(tag_a, a), (tag_b, b)| {
            let by_rank = a.rank(rate, now).cmp(&b.rank(rate, now));
            let by_tag = tag_a.total_cmp(tag_b);
            by_rank.then(by_tag).then(a.serial.cmp(&b.serial))
        });
        tagged
    }
}

impl QueuedCall {
    /// Returns the rank of the call on engines with a mean prefill rate of
    /// `tokens_per_ms`. Calls that can still start in time come
    /// first, because a late response is worth little but costs as much engine
    /// time as one in time; then the priority decides.
    pub(super) fn rank(&self, tokens_per_ms: f64, now: Now) -> QueueRank {
        let soonest = now + millis(f64::from(self.request.tokens) / tokens_per_ms);
        let priority = self.request.priority;
        QueueRank {
            late: soonest > self.request.objective_at,
            begins: self.request.software.is_none(),
            workspace_priority: self.request.workspace_priority.unwrap_or(priority),
            priority,
        }
    }
}
