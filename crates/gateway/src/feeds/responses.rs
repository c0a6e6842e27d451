//! Parts of the response to a poll.

use super::contents::FeedState;
use super::{BodyRequest, Feed, FeedEntry, FeedMetadata, MAX_RESPONSE_VALUE_BYTES, NoticesNews};
use super::{State, block};
use reedford_fleet::rate_limits::LimitsReport;
use reedford_fleet::transfer::BodyInfo;
use reedford_fleet::{Era, Now};
use reedford_store::Position;
use std::time::Duration;

impl State {
    /// Returns a feed for a node that knows a position, if the store responded to this
    /// node lately.
    pub(super) fn current(
        &self,
        feed: Feed,
        after: Position,
        max_age: Duration,
        now: Now,
    ) -> Option<&FeedState> {
        let known = self.by_feed.get(&feed).filter(|f| f.era >= after.era)?;
        // A message on any feed shows that the store responds.
        let last_message = self.by_feed.values().filter_map(|f| f.last_message).max()?;
        let is_fresh = now.saturating_sub(last_message) < max_age;
        (is_fresh && !known.withheld).then_some(known)
    }

    pub(super) fn metadata(&self, era: Era, known_notices: Option<u64>, now: Now) -> FeedMetadata {
        let operators = Some(self.operators).filter(|position| position.era == era);
        let revision = self.notices_revision;
        let has_news = known_notices.is_some_and(|known| known != revision);
        FeedMetadata {
            notices: has_news.then(|| NoticesNews {
                revision,
                crashes: self.evidence.report(now),
                limits: LimitsReport::new(&self.rate_limits, now),
            }),
            operators: operators.map_or(0, |position| position.revision),
            nodes: self.nodes,
            leaving: self.leaving.clone(),
        }
    }

    /// Returns a body with the entries if they are too large for a response.
    pub(super) fn body(
        &mut self,
        feed: Feed,
        entries: &[FeedEntry],
        receiver: Option<BodyRequest>,
    ) -> Option<BodyInfo> {
        let values = entries.iter().filter_map(|entry| entry.value.as_ref());
        let size: usize = values.map(|value| value.len()).sum();
        if size <= MAX_RESPONSE_VALUE_BYTES {
            return None;
        }
        let recent = self.recent_values.get(&feed);
        let base = receiver?.base.and_then(|digest| {
            let value = recent?.get(digest)?;
            Some((digest, value))
        });
        let base = base.as_ref().map(|(digest, value)| (*digest, &**value));
        let block = block::encode(entries).map_err(std::io::Error::from);
        match block.and_then(|block| self.bodies.encode(&block, base)) {
            Ok(info) => Some(info),
            Err(error) => {
                tracing::warn!(event = "body_unencodable", feed = feed.name(), size, %error);
                None
            }
        }
    }
}
