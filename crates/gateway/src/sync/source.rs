//! Where a watch gets its prefix from: a coordinator's feed, or one of the store's clients.

use super::{StoreSync, WatchedPrefix};
use crate::dialect::Dialect;
use crate::feeds::Feed;
use reedford_fleet::{Era, Now};
use reedford_store::{KeyValue, Position};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// Longest wait for another coordinator before the store is used directly, as a
/// share of the limit on staleness.
const COORDINATOR_WAIT_SHARE: f64 = 0.25;
/// Time for which a watch may lag behind a revision of operators' keys that
/// another node reported, before it is replaced by one that must respond soon.
const MAX_OPERATORS_LAG: Duration = Duration::from_millis(200);

impl<D, K> StoreSync<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    /// Returns the coordinator that serves a prefix's feed; `None` to use the
    /// store. If no coordinator is known, waits a short time for one.
    pub(super) async fn wait_for_source(
        &self,
        watched: WatchedPrefix<'_>,
        direct_until: Now,
    ) -> Option<SocketAddr> {
        let longest = self.staleness_limit.mul_f64(COORDINATOR_WAIT_SHARE);
        let end = self.shared.clock.instant(self.shared.now() + longest);
        let mut followed = self.shared.followed.subscribe();
        loop {
            let holder_changed = self.shared.holder_changed.notified();
            let mut holder_changed = std::pin::pin!(holder_changed);
            holder_changed.as_mut().enable();
            followed.mark_unchanged();
            let source = self.source(watched, direct_until);
            if source.is_some() || !self.may_become_available(watched, direct_until) {
                return source;
            }
            tokio::select! {
                () = holder_changed => {}
                changed = followed.changed() => changed.ok()?,
                () = sleep_until(end) => return None,
            }
        }
    }

    /// Returns the coordinator that serves a prefix's feed now.
    pub(super) fn source(
        &self,
        watched: WatchedPrefix<'_>,
        direct_until: Now,
    ) -> Option<SocketAddr> {
        if self.shared.now() < direct_until {
            return None;
        }
        if watched.feed == Feed::Operators {
            return *self.shared.followed.borrow();
        }
        let addr = self.shared.lock().role.holder()?.addr;
        (addr != self.own_addr).then_some(addr)
    }

    /// Whether a coordinator may soon serve a feed that none serves now. The
    /// coordinators' keys are what shows a new coordinator, so that the store is
    /// always used for them.
    fn may_become_available(&self, watched: WatchedPrefix<'_>, direct_until: Now) -> bool {
        if watched.feed == Feed::Members || self.shared.now() < direct_until {
            return false;
        }
        let state = self.shared.lock();
        let holder = state.role.holder();
        match watched.feed {
            Feed::Operators => holder.is_none_or(|h| h.addr != self.own_addr),
            Feed::Instances | Feed::Members => holder.is_none(),
        }
    }

    pub(super) fn is_coordinator(&self) -> bool {
        self.shared.lock().role.held_fence().is_some()
    }

    pub(super) async fn wait_until_coordinator(&self) {
        loop {
            let changed = self.shared.holder_changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            if self.is_coordinator() {
                return;
            }
            changed.await;
        }
    }

    /// Whether another node has reported a change of operators' keys that this one has not
    /// read.
    pub(super) fn is_behind(&self, watched: WatchedPrefix<'_>) -> bool {
        let now = self.shared.now();
        watched.feed == Feed::Operators && self.shared.lock().operators_lag.behind(now).is_some()
    }

    /// Returns the client for a prefix: the short-polling one for instances,
    /// whose watch shows that the store responds, and for operators' keys that are
    /// known to have changed, and the long-polling one for operators' keys while a
    /// coordinator reports their changes.
    pub(super) fn client(&self, watched: WatchedPrefix<'_>) -> &Arc<K> {
        match watched.feed {
            Feed::Instances => &self.stores.short_poll,
            Feed::Operators if self.is_behind(watched) => &self.stores.short_poll,
            Feed::Operators if self.shared.followed.borrow().is_some() => &self.stores.long_poll,
            Feed::Operators | Feed::Members => &self.stores.medium_poll,
        }
    }

    /// Returns when the store has passed an era.
    pub(super) async fn wait_until_restored(&self, era: Era) {
        let mut newest = self.shared.eras.subscribe();
        if newest.wait_for(|newest| *newest > Some(era)).await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns when a watch on operators' keys lags behind what another node
    /// reported.
    pub(super) async fn wait_until_outdated(&self, watched: WatchedPrefix<'_>, seen: Position) {
        if watched.feed != Feed::Operators {
            return std::future::pending().await;
        }
        let mut reported = self.shared.operators_position.subscribe();
        loop {
            if *reported.borrow_and_update() > seen {
                sleep(MAX_OPERATORS_LAG).await;
                return;
            }
            if reported.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
