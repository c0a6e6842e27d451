//! Follows a coordinator's change feeds in place of the store.

use super::{KeyHandler, Known, StoreSync, WatchEnd, WatchedPrefix};
use crate::dialect::Dialect;
use crate::feeds::{BodyRequest, Feed, FeedEntry, FeedItem, FeedMetadata, FeedResponse};
use reedford_fleet::departures::DepartureSource;
use reedford_fleet::directory::Absence;
use reedford_fleet::transfer::BodyInfo;
use reedford_fleet::{Era, Now};
use reedford_store::{Change, ChangeKind, Changes, Entry, KeyValue, Listing, Position};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout for a poll of the coordinator's feed, which waits less than half a
/// second for changes.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(900);

impl<D, K> StoreSync<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    /// Polls a coordinator's feed until it fails or another source should be
    /// used.
    pub(super) async fn poll_coordinator<F>(
        &self,
        addr: SocketAddr,
        watched: WatchedPrefix<'_>,
        known: &mut Known,
        handler: &mut F,
    ) -> WatchEnd
    where
        F: KeyHandler,
    {
        self.shared.feeds.clear(watched.feed);
        let end = loop {
            let Some(has_changes) = self.request_feed(addr, watched.feed, known, handler).await
            else {
                break WatchEnd::CoordinatorFailed;
            };
            if watched.feed == Feed::Instances {
                self.set_followed(Some(addr));
            }
            if self.source(watched, Now::ZERO) != Some(addr) {
                break WatchEnd::SourceChanged;
            }
            if has_changes {
                sleep(watched.pause).await;
            }
        };
        if watched.feed == Feed::Instances {
            self.set_followed(None);
        }
        end
    }

    /// Requests the feed of operators' keys from a coordinator whenever it
    /// reports a newer position than the known one, until it fails or is no longer the
    /// one that this node follows.
    pub(super) async fn fetch_changes<F>(
        &self,
        addr: SocketAddr,
        known: &mut Known,
        handler: &mut F,
    ) -> WatchEnd
    where
        F: KeyHandler,
    {
        self.shared.feeds.withhold(Feed::Operators);
        let mut followed = self.shared.followed.subscribe();
        let mut reported = self.shared.operators_position.subscribe();
        loop {
            let newest = *reported.borrow_and_update();
            if known.position.revision == 0 || newest > known.position {
                let answered = self
                    .request_feed(addr, Feed::Operators, known, handler)
                    .await
                    .is_some();
                // The coordinator may not have the change that an earlier one
                // reported.
                if !answered || known.position < newest {
                    return WatchEnd::CoordinatorFailed;
                }
                continue;
            }
            tokio::select! {
                _ = reported.changed() => {}
                () = self.wait_until_restored(known.position.era) => return WatchEnd::SourceChanged,
                _ = followed.wait_for(|f| *f != Some(addr)) => return WatchEnd::SourceChanged,
            }
        }
    }

    fn set_followed(&self, coordinator: Option<SocketAddr>) {
        self.shared
            .followed
            .send_if_modified(|known| std::mem::replace(known, coordinator) != coordinator);
    }

    /// Requests a coordinator's feed after the known position, which becomes that
    /// of the response. Returns whether there were changes; `None` if the
    /// coordinator did not serve the feed. A response of an earlier era than the
    /// newest is dropped.
    async fn request_feed<F>(
        &self,
        addr: SocketAddr,
        feed: Feed,
        known: &mut Known,
        handler: &mut F,
    ) -> Option<bool>
    where
        F: KeyHandler,
    {
        let era = self.shared.eras.known();
        let revision_in_era = |position: Position| {
            let current = Some(position).filter(|position| Some(position.era) == era);
            current.map_or(0, |position| position.revision)
        };
        let after = revision_in_era(known.position);
        let operators = revision_in_era(*self.shared.operators_position.borrow());
        let notices = self.shared.lock().followed_notices;
        let notices = notices.filter(|(from, _)| *from == addr);
        let notices = Some(notices.map_or(0, |(_, revision)| revision));
        let base = self.shared.feeds.newest_value(feed);
        let sent_at = self.shared.now();
        let response = self
            .peers
            .call(addr, FEED_POLL_TIMEOUT, |peer, cx| async move {
                let body = Some(BodyRequest { base });
                peer.news(cx, feed, after, operators, era, notices, body)
                    .await
            })
            .await;
        {
            let now = self.shared.now();
            let connectivity = &mut self.shared.lock().connectivity;
            match &response {
                Ok(_) => connectivity.on_success(),
                Err(_) => connectivity.on_failure(now),
            }
        }
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                let ms = self.shared.now().saturating_sub(sent_at).as_millis() as u64;
                let newest = self.shared.lock().operators_lag.newest();
                tracing::info!(event = "feed_lost", ?feed, %addr, after, newest = newest.revision,
                    ms, %error);
                self.metrics.feed_failure(feed.name());
                return None;
            }
        };
        let Some(news) = News::new(response) else {
            tracing::info!(event = "feed_unknown", ?feed, %addr);
            return None;
        };
        if self.is_outdated(addr, feed, &news) {
            return Some(false);
        }
        let entries = match news.body {
            Some(info) => self.receive_body(addr, feed, info).await?,
            None => news.items.into_iter().map(FeedEntry::from).collect(),
        };
        // The store may have been restored while the body was received.
        if !self.shared.eras.observe(news.era) {
            return Some(false);
        }
        let took = self.shared.now().saturating_sub(sent_at);
        let values = entries.iter().filter_map(|entry| entry.value.as_ref());
        let bytes: usize = values.map(|value| value.len()).sum();
        let has_changes = !entries.is_empty() || matches!(news.extent, Extent::All { .. });
        let position = Position {
            era: news.era,
            revision: news.revision,
        };
        match news.extent {
            Extent::All { lapsed } => {
                let is_later_era = known.position.revision > 0 && known.position.era < news.era;
                let absence = if std::mem::take(&mut known.restored) || is_later_era {
                    Absence::Restored
                } else if lapsed {
                    Absence::Lapsed
                } else {
                    Absence::Removed
                };
                known.position = position;
                let listing = Listing {
                    era: news.era,
                    revision: news.revision,
                    entries: entries.into_iter().filter_map(into_entry).collect(),
                };
                if feed == Feed::Operators {
                    self.publish_listing(feed, &listing, absence);
                }
                handler.on_listing(listing, absence);
            }
            Extent::Changes => {
                known.position = known.position.max(position);
                let changes = Changes {
                    era: news.era,
                    revision: news.revision,
                    changes: entries.into_iter().map(into_change).collect(),
                };
                if feed == Feed::Operators {
                    self.publish_changes(feed, &changes);
                }
                let changes = changes.changes.into_iter();
                changes.for_each(|change| handler.on_change(change, news.era));
            }
        }
        if feed == Feed::Operators {
            // Kept to serve the feed at once if this node becomes the coordinator.
            self.shared.feeds.withhold(feed);
        }
        handler.on_batch_end();
        if has_changes {
            self.metrics.feed_read(feed.name(), bytes, took);
        }
        if feed == Feed::Operators {
            if has_changes {
                tracing::info!(event = "operators_read", %addr, era = %news.era, after,
                    revision = news.revision, bytes, ms = took.as_millis() as u64);
            }
            self.on_operators_read(known.position);
        }
        self.on_metadata(addr, news.era, news.metadata);
        let now = self.shared.now();
        self.shared.lock().on_source_response(now);
        Some(has_changes)
    }

    /// Whether a response is of an earlier era than the newest.
    fn is_outdated(&self, addr: SocketAddr, feed: Feed, news: &News) -> bool {
        let is_outdated = !self.shared.eras.observe(news.era);
        if is_outdated {
            tracing::info!(event = "feed_outdated", ?feed, %addr, era = %news.era,
                revision = news.revision);
        }
        is_outdated
    }

    fn on_metadata(&self, addr: SocketAddr, era: Era, metadata: FeedMetadata) {
        if let Some(news) = metadata.notices {
            self.shared.merge_evidence(&news.crashes, "coordinator");
            self.shared.merge_rate_limits(&news.limits);
            self.shared.lock().followed_notices = Some((addr, news.revision));
        }
        if metadata.nodes > 0 {
            let now = self.shared.now();
            self.shared.lock().set_node_count(metadata.nodes, now);
        }
        for (id, born) in &metadata.leaving {
            self.shared.on_departure(id, *born, DepartureSource::Node);
        }
        let position = Position {
            era,
            revision: metadata.operators,
        };
        self.shared.operators_position.send_if_modified(|known| {
            let newer = *known < position;
            *known = (*known).max(position);
            newer
        });
        let now = self.shared.now();
        let lag = &mut self.shared.lock().operators_lag;
        let was_behind = lag.behind(now).is_some();
        lag.on_reported(position, now);
        if !was_behind && lag.behind(now).is_some() {
            tracing::info!(event = "operators_behind", %addr, %era,
                read = lag.read().revision, newest = position.revision);
        }
    }
}

/// What a response of a coordinator that serves the feed says.
struct News {
    era: Era,
    revision: i64,
    extent: Extent,
    items: Vec<FeedItem>,
    /// The items, if they are too large for the response.
    body: Option<BodyInfo>,
    metadata: FeedMetadata,
}

/// Which keys a response has.
enum Extent {
    /// All keys of the feed. `lapsed` as in [`FeedResponse::Listing`].
    All { lapsed: bool },
    /// Those that changed since the known position.
    Changes,
}

impl News {
    /// Returns `None` if the coordinator has no recent state of the feed.
    fn new(response: FeedResponse) -> Option<Self> {
        match response {
            FeedResponse::Listing {
                era,
                revision,
                items,
                body,
                lapsed,
                metadata,
            } => Some(Self {
                era,
                revision,
                extent: Extent::All { lapsed },
                items,
                body,
                metadata,
            }),
            FeedResponse::Changes {
                era,
                revision,
                items,
                body,
                metadata,
            } => Some(Self {
                era,
                revision,
                extent: Extent::Changes,
                items,
                body,
                metadata,
            }),
            FeedResponse::Unknown => None,
        }
    }
}

impl From<FeedItem> for FeedEntry {
    fn from(item: FeedItem) -> Self {
        Self {
            key: item.key,
            value: item.value.map(|value| value.as_bytes().into()),
            revision: item.revision,
        }
    }
}

fn into_entry(entry: FeedEntry) -> Option<Entry> {
    Some(Entry {
        key: entry.key,
        value: entry.value?.to_vec(),
        revision: entry.revision,
    })
}

fn into_change(entry: FeedEntry) -> Change {
    Change {
        key: entry.key,
        revision: entry.revision,
        kind: match entry.value {
            Some(value) => ChangeKind::Put(value.to_vec()),
            None => ChangeKind::Delete,
        },
    }
}
