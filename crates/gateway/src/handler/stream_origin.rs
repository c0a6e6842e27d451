//! Records where streams began, and finds it when a caller resumes one.
//!
//! The node that relays a stream records its origin and reports it to two
//! coordinators: that of its own zone and that of another one, so that the origin
//! outlives the node and either coordinator.

use super::Gateway;
use crate::call::Call;
use crate::dialect::Dialect;
use crate::peer::StreamRecord;
use crate::state::State;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use reedford_fleet::scheduler::{Refusal, RefusalReason};
use reedford_fleet::stream_versions::StreamOrigin;
use reedford_fleet::{Now, ServiceName, SoftwareVersion};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout for a query to a coordinator, as long as the slowest round trip between
/// zones with a margin.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest search for an origin while a coordinator is unknown or unreachable and
/// instances of several versions may have sent the first event.
const MAX_SEARCH: Duration = Duration::from_millis(500);
/// Pause between two rounds of queries.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Longest time in which the origin of a stream is determined, below the shortest time that
/// callers of streams wait.
const MAX_ORIGIN_TIME: Duration = Duration::from_millis(1_500);
/// Retry delay sent to callers whose streams can't be resumed now; nodes report
/// the origins that they know to a new coordinator in that time.
const UNRESUMABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Records the origin of a stream at its first event, and requires its version
    /// of further attempts. `software` is the version that the instance had when the
    /// attempt was placed, if known.
    pub(crate) fn record_origin(
        &self,
        call: &mut Call,
        instance: &str,
        software: Option<SoftwareVersion>,
    ) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        // An instance that was restarted with another version meanwhile may have sent
        // the event at either.
        let restarted = |software: &SoftwareVersion| {
            let known = state.directory.get(instance);
            known.is_some_and(|i| i.software != *software)
        };
        let software = software.filter(|software| !restarted(software));
        // A new instance may have been granted before this node knows it. The versions that
        // the node knows say nothing about it.
        call.required_software = call.required_software.take().or(software);
        let Some(software) = call.required_software.clone() else {
            call.software_unknown = true;
            tracing::info!(event = "stream_origin_unknown", id = %call.id);
            return;
        };
        let origin = StreamOrigin {
            service: call.service.clone(),
            software,
        };
        let attempts = [Some(&call.id), call.head.resumes.as_ref()];
        let attempts = attempts.into_iter().flatten().filter(|id| !id.is_empty());
        let records: Vec<StreamRecord> = attempts
            .map(|attempt| StreamRecord {
                attempt: attempt.clone(),
                origin: origin.clone(),
            })
            .collect();
        state.record_streams(records.iter().cloned(), now);
        let coordinators = recording_coordinators(&state, &call.id);
        drop(state);
        for addr in coordinators {
            for record in &records {
                self.progress.report_stream(addr, record.clone());
            }
        }
    }

    /// Requires of a call that resumes a stream the service and software version
    /// that began it.
    ///
    /// # Errors
    /// When the origin is unknown while instances of several versions may have sent
    /// the first event, or when no instance of that version accepts calls.
    pub(super) async fn require_origin(&self, call: &mut Call) -> Result<(), Refusal> {
        let determining = timeout(MAX_ORIGIN_TIME, self.determine_origin(call));
        let (known, origin) = determining.await.unwrap_or((false, None));
        let state = self.shared.lock();
        let outcome = match &origin {
            None => Err(RefusalReason::UnknownVersion),
            Some(origin) if !accepts_calls(&state, call, origin) => Err(RefusalReason::VersionGone),
            Some(_) => Ok(()),
        };
        if outcome.is_ok()
            && let Some(origin) = origin.clone()
        {
            call.set_origin(origin, state.routes.as_deref());
        }
        drop(state);
        tracing::info!(event = "stream_resumption", id = %call.id, resumes = ?call.head.resumes,
            last = ?call.head.last_event_id, known, software = ?origin.as_ref().map(|o| &o.software),
            outcome = outcome.err().map_or("resumed", RefusalReason::name));
        outcome.map_err(|reason| Refusal {
            call: call.id.clone(),
            reason,
            retry_after: UNRESUMABLE_RETRY_AFTER,
        })
    }

    /// Returns the origin of the stream that a call resumes, and whether it was recorded
    /// instead of being the only possible one.
    async fn determine_origin(&self, call: &Call) -> (bool, Option<StreamOrigin>) {
        let resumes = call.head.resumes.as_deref();
        let is_possible = self.has_only_version(&call.service);
        let mut found = self.find_origin(resumes, !is_possible).await;
        let mut inferred = None;
        if found.is_none() && is_possible {
            inferred = self.only_possible_origin(&call.service).await;
            if inferred.is_none() {
                found = self.find_origin(resumes, true).await;
            }
        }
        (found.is_some(), found.or(inferred))
    }

    /// Whether this node knows of one version only at which streams of a service may have
    /// begun.
    fn has_only_version(&self, service: &ServiceName) -> bool {
        let now = self.shared.now();
        only_version(&self.shared.lock(), service, now).is_some()
    }

    /// Returns the origin that streams of a service must have, if only one is possible.
    /// `service` is the one that would run the call. Another version may have begun the
    /// stream through another node before this one learned of it, so that the store must
    /// name no other, either.
    async fn only_possible_origin(&self, service: &ServiceName) -> Option<StreamOrigin> {
        let serving = self.versions.read().await?;
        let now = self.shared.now();
        let software = only_version(&self.shared.lock(), service, now)?;
        let serving = serving.get(service);
        let is_only = serving.is_none_or(|versions| versions.iter().all(|v| *v == software));
        is_only.then(|| StreamOrigin {
            service: service.clone(),
            software,
        })
    }

    /// Returns the origin of the stream of a caller's attempt that the store has.
    async fn stored_origin(&self, attempt: &str) -> Option<StreamOrigin> {
        let stored = self.streams.read().await?;
        stored.origin(attempt).cloned()
    }

    /// Returns the origin of the stream of a caller's attempt, if this node, the store or a
    /// coordinator knows it. `needed` is whether the stream can't be resumed without it.
    async fn find_origin(&self, attempt: Option<&str>, needed: bool) -> Option<StreamOrigin> {
        let attempt = attempt?;
        let own = {
            let state = self.shared.lock();
            state.stream_versions.get(attempt).cloned()
        };
        if own.is_some() {
            return own;
        }
        // After a loss of all nodes only the store knows it, and no coordinator may be
        // known yet.
        let is_new = !self.shared.lock().knows_versions(self.shared.now());
        if needed
            && is_new
            && let Some(origin) = self.stored_origin(attempt).await
        {
            return Some(origin);
        }
        match self.query_origins(attempt, needed).await {
            None if needed => self.stored_origin(attempt).await,
            queried => queried,
        }
    }

    /// Returns the origin of the stream of a caller's attempt that this node or a
    /// coordinator knows.
    async fn query_origins(&self, attempt: &str, needed: bool) -> Option<StreamOrigin> {
        let started = self.shared.now();
        loop {
            let (own, coordinators, complete) = {
                let state = self.shared.lock();
                let own = state.stream_versions.get(attempt).cloned();
                let holders = state.other_coordinators.values().chain(state.role.holder());
                let addrs: BTreeSet<SocketAddr> = holders.map(|h| h.addr).collect();
                (own, addrs, state.role.holder().is_some())
            };
            if own.is_some() {
                return own;
            }
            let mut queries: FuturesUnordered<_> = coordinators
                .into_iter()
                .filter(|addr| *addr != self.placer.own_addr)
                .map(|addr| self.query_origin(addr, attempt))
                .collect();
            let mut complete = complete;
            while let Some(answer) = queries.next().await {
                match answer {
                    Some(Some(origin)) => return Some(origin),
                    Some(None) => {}
                    None => complete = false,
                }
            }
            let now = self.shared.now();
            if complete || !needed || now.saturating_sub(started) >= MAX_SEARCH {
                return None;
            }
            sleep(SEARCH_PAUSE).await;
        }
    }

    /// Returns a coordinator's answer, or `None` if it doesn't respond.
    async fn query_origin(&self, addr: SocketAddr, attempt: &str) -> Option<Option<StreamOrigin>> {
        let attempt = attempt.into();
        let query = self
            .placer
            .peers
            .call(addr, QUERY_TIMEOUT, |peer, cx| async move {
                peer.stream_origin(cx, attempt).await
            });
        query
            .await
            .inspect_err(|error| tracing::info!(event = "origin_unanswered", %addr, %error))
            .ok()
    }
}

/// Returns the only software version that instances of a service had while a
/// stream that may still be resumed could begin. A node that is cut off may not
/// know of all instances.
fn only_version(state: &State, service: &ServiceName, now: Now) -> Option<SoftwareVersion> {
    if state.cut_off(now) {
        return None;
    }
    let since = now.saturating_sub(state.stream_lifetime());
    state.directory.only_version(service, since).cloned()
}

/// Whether the route of a call leads to the service of a stream's origin, and an
/// instance there accepts calls and has the version.
fn accepts_calls(state: &State, call: &Call, origin: &StreamOrigin) -> bool {
    let mut services = call.route.services.iter();
    let mut ready = state.directory.ready(&origin.service);
    services.any(|(name, _)| *name == origin.service)
        && ready.any(|i| i.software == origin.software)
}

/// Returns the coordinators that record the origin of a stream.
fn recording_coordinators(state: &State, attempt: &str) -> BTreeSet<SocketAddr> {
    let second = state.second_recording_zone(attempt);
    let second = second.and_then(|zone| state.other_coordinators.get(zone));
    let holders = second.into_iter().chain(state.role.holder());
    holders.map(|holder| holder.addr).collect()
}
