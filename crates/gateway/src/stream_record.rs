//! Keeps in the store what is known of streams' origins, for nodes that start after all
//! others were lost.
//!
//! The coordinator of each zone writes the software versions that served within the
//! lifetime of a stream, whenever they change, and, while several versions of a service
//! serve, the origins of the streams that it knows of, a few times a second. A node that
//! has run for less than that lifetime reads them when a caller resumes a stream.

use crate::membership::ZONE_PREFIX;
use crate::peer::StreamRecord;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::ownership::{Fence, claim_revision};
use reedford_fleet::stream_versions::{StreamOrigin, VersionSets};
use reedford_store::{
    KeyValue, KvError, Lease, Precondition, Put, Transaction, TransactionOutcome,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Prefix of all keys of this module.
const PREFIX: &str = "reedford/streams/";
/// Prefix of the keys with versions, which end in the zone.
pub(crate) const VERSIONS_PREFIX: &str = "reedford/streams/versions/";
/// Prefix of the keys with origins, which go on with the zone, the coordinator's fencing
/// token and the number of the segment.
const ORIGINS_PREFIX: &str = "reedford/streams/origins/";
/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(80);
/// Interval at which the versions that serve are determined, from all instances.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(240);
/// Time after which a new segment begins.
const SEGMENT_TIME: Duration = Duration::from_secs(2);
/// Origins in one segment, well below the largest value that the store takes.
const MAX_SEGMENT_ORIGINS: usize = 8_192;
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Timeout for reading the records, below the shortest time that callers of streams wait.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which what was read is used for further queries.
const READ_TTL: Duration = Duration::from_millis(300);

/// First bytes of the SHA-256 digest of an attempt's id, which callers choose.
type AttemptDigest = u64;

/// What the store has of streams.
#[derive(Debug, Default)]
pub(crate) struct StoredStreams {
    /// Versions that served lately, over all zones.
    pub(crate) versions: VersionSets,
    origins: BTreeMap<AttemptDigest, StreamOrigin>,
}

/// A query for what the store has; the response is `None` if it can't be read.
type Query = oneshot::Sender<Option<Arc<StoredStreams>>>;

/// Queries the records.
#[derive(Clone, Debug)]
pub(crate) struct StreamRecordTx(mpsc::UnboundedSender<Query>);

/// Maintains the record of this node's zone while the node is coordinator, and reads the
/// records for queries.
#[derive(Debug)]
pub(crate) struct StreamRecordTask<K> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<K>,
    queries: mpsc::UnboundedReceiver<Query>,
}

/// What this node has written in its term as coordinator.
#[derive(Debug)]
struct Term {
    fence: Fence,
    /// Versions that the store had when the term began; `None` until they were read.
    inherited: Option<VersionSets>,
    /// Versions that were written last.
    versions: Option<VersionSets>,
    next_versions: Now,
    segment: Option<Segment>,
    segments: u64,
}

/// The key to which origins are being added.
#[derive(Debug)]
struct Segment {
    number: u64,
    begun: Now,
    lease: Lease,
    origins: Vec<(AttemptDigest, StreamOrigin)>,
}

/// Value of a key with origins: those of one service and version in each row.
#[derive(Debug, Deserialize, Serialize)]
struct StoredOrigins {
    rows: Vec<OriginRow>,
}

#[derive(Debug, Deserialize, Serialize)]
struct OriginRow {
    origin: StreamOrigin,
    attempts: Vec<AttemptDigest>,
}

/// Creates the task and its queue of queries.
pub(crate) fn stream_record<K>(
    cfg: Arc<GatewaySettings>,
    shared: Arc<Shared>,
    store: Arc<K>,
) -> (StreamRecordTx, StreamRecordTask<K>) {
    let (tx, queries) = mpsc::unbounded_channel();
    let task = StreamRecordTask {
        cfg,
        shared,
        store,
        queries,
    };
    (StreamRecordTx(tx), task)
}

impl StoredStreams {
    /// Returns the recorded origin of the stream of a caller's attempt.
    pub(crate) fn origin(&self, attempt: &str) -> Option<&StreamOrigin> {
        self.origins.get(&digest(attempt))
    }

    pub(crate) fn add(&mut self, key: &str, value: &[u8]) -> Result<(), serde_json::Error> {
        if key.starts_with(VERSIONS_PREFIX) {
            let versions: VersionSets = serde_json::from_slice(value)?;
            for (service, versions) in versions {
                self.versions.entry(service).or_default().extend(versions);
            }
        } else if key.starts_with(ORIGINS_PREFIX) {
            let stored: StoredOrigins = serde_json::from_slice(value)?;
            for row in stored.rows {
                let origins = row.attempts.into_iter().map(|a| (a, row.origin.clone()));
                self.origins.extend(origins);
            }
        }
        Ok(())
    }
}

impl StreamRecordTx {
    /// Returns what the store has of streams; `None` if it can't be read in time.
    pub(crate) async fn read(&self) -> Option<Arc<StoredStreams>> {
        let (tx, rx) = oneshot::channel();
        self.0.send(tx).ok()?;
        rx.await.ok().flatten()
    }
}

impl<K> StreamRecordTask<K>
where
    K: KeyValue,
{
    /// Runs until the node stops.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let running = async {
            let shared = Arc::clone(&self.shared);
            let mut term = None;
            let mut known = None;
            loop {
                let holder_changed = shared.holder_changed.notified();
                let mut holder_changed = std::pin::pin!(holder_changed);
                holder_changed.as_mut().enable();
                let pause = self.update(&mut term).await;
                tokio::select! {
                    query = self.queries.recv() => match query {
                        Some(query) => self.respond(query, &mut known).await,
                        None => return,
                    },
                    () = holder_changed => {}
                    () = sleep(pause), if term.is_some() => {}
                }
            }
        };
        stop.run_until_cancelled(running).await;
    }

    /// Writes what is new, if this node is coordinator. Returns the pause until the next
    /// write.
    async fn update(&self, term: &mut Option<Term>) -> Duration {
        let held = self.shared.lock().role.held_fence();
        if held != term.as_ref().map(|t| t.fence) {
            self.shared.lock().unstored_origins.clear();
            *term = held.map(Term::new);
        }
        let Some(term) = term else {
            return WRITE_INTERVAL;
        };
        match self.write(term).await {
            Ok(()) => WRITE_INTERVAL,
            Err(error) => {
                tracing::info!(event = "streams_unrecorded", zone = %self.cfg.zone, %error);
                RETRY_PAUSE
            }
        }
    }

    async fn write(&self, term: &mut Term) -> Result<(), KvError> {
        let fence = term.fence;
        if term.inherited.is_none() {
            term.inherited = Some(self.read_versions().await?);
        }
        let now = self.shared.now();
        let known = term.versions.clone();
        let known = known.filter(|_| now < term.next_versions);
        let is_known = known.is_some();
        let versions = known.unwrap_or_else(|| {
            term.next_versions = now + VERSIONS_INTERVAL;
            self.serving_versions(term, now)
        });
        let (lifetime, new) = {
            let mut state = self.shared.lock();
            let new = std::mem::take(&mut state.unstored_origins);
            (state.stream_lifetime(), new)
        };
        let is_mixed = |origin: &StreamOrigin| has_several(&versions, &origin.service);
        let new = self.with_earlier(new, &versions, term);
        let (new, others): (Vec<_>, Vec<_>) =
            new.into_iter().partition(|record| is_mixed(&record.origin));
        if is_known {
            // Another version may have begun to serve since.
            self.shared.lock().unstored_origins.extend(others);
        }
        let new: Vec<_> = new
            .into_iter()
            .map(|record| (digest(&record.attempt), record.origin))
            .collect();
        let mut puts = Vec::new();
        let versions_changed = term.versions.as_ref() != Some(&versions);
        if versions_changed {
            puts.push(Put {
                key: format!("{VERSIONS_PREFIX}{}", self.cfg.zone).into(),
                value: serde_json::to_vec(&versions).expect("version sets always serialize"),
                lease: None,
            });
        }
        if !new.is_empty() {
            let segment = self.segment(term, lifetime, now).await?;
            segment.origins.extend(new);
            puts.push(segment.put(&self.cfg.zone, fence));
        }
        if puts.is_empty() || !self.commit(fence, puts).await? {
            return Ok(());
        }
        if versions_changed {
            let counts: BTreeMap<_, _> = versions.iter().map(|(s, v)| (s, v.len())).collect();
            tracing::info!(event = "versions_recorded", zone = %self.cfg.zone, ?counts);
            term.versions = Some(versions);
        }
        Ok(())
    }

    /// Adds the streams that began before a service had several versions, if it has them
    /// now.
    fn with_earlier(
        &self,
        mut new: Vec<StreamRecord>,
        versions: &VersionSets,
        term: &Term,
    ) -> Vec<StreamRecord> {
        let was_mixed = |service: &str| {
            let written = term.versions.as_ref();
            written.is_some_and(|versions| has_several(versions, service))
        };
        let newly_mixed = |service: &str| has_several(versions, service) && !was_mixed(service);
        if !versions.keys().any(|service| newly_mixed(service)) {
            return new;
        }
        let state = self.shared.lock();
        let earlier = state.stream_versions.newest().take(MAX_SEGMENT_ORIGINS);
        let earlier = earlier.filter(|(_, origin)| newly_mixed(&origin.service));
        new.extend(earlier.map(|(attempt, origin)| StreamRecord {
            attempt: attempt.clone(),
            origin: origin.clone(),
        }));
        new
    }

    /// Returns the versions that served within the lifetime of a stream, with those that
    /// the store names while this node has not run for so long.
    fn serving_versions(&self, term: &Term, now: Now) -> VersionSets {
        let state = self.shared.lock();
        let since = now.saturating_sub(state.stream_lifetime());
        let mut versions = state.directory.version_sets(since);
        if !state.knows_versions(now) {
            for (service, inherited) in term.inherited.iter().flatten() {
                let versions = versions.entry(service.clone()).or_default();
                versions.extend(inherited.iter().cloned());
            }
        }
        versions
    }

    /// Returns the versions in the records of all zones.
    async fn read_versions(&self) -> Result<VersionSets, KvError> {
        let mut stored = StoredStreams::default();
        for entry in self.store.list(VERSIONS_PREFIX).await?.entries {
            if let Err(error) = stored.add(&entry.key, &entry.value) {
                tracing::warn!(event = "streams_unreadable", key = %entry.key, %error);
            }
        }
        Ok(stored.versions)
    }

    /// Returns the segment to add origins to, and begins a new one if the last one is full.
    async fn segment<'a>(
        &self,
        term: &'a mut Term,
        lifetime: Duration,
        now: Now,
    ) -> Result<&'a mut Segment, KvError> {
        let has_room = |s: &Segment| {
            now.saturating_sub(s.begun) < SEGMENT_TIME && s.origins.len() < MAX_SEGMENT_ORIGINS
        };
        if !term.segment.as_ref().is_some_and(has_room) {
            let ttl = (lifetime + SEGMENT_TIME).max(self.cfg.min_lease_ttl);
            let lease = self.store.lease_grant(ttl).await?;
            term.segments += 1;
            term.segment = Some(Segment {
                number: term.segments,
                begun: now,
                lease,
                origins: Vec::new(),
            });
        }
        Ok(term.segment.as_mut().expect("set just now"))
    }

    /// Writes keys if this node still holds the role; returns whether it does.
    async fn commit(&self, fence: Fence, puts: Vec<Put>) -> Result<bool, KvError> {
        let precondition = Precondition {
            key: format!("{ZONE_PREFIX}{}", self.cfg.zone).into(),
            revision: claim_revision(fence),
        };
        let transaction = Transaction {
            preconditions: vec![precondition],
            puts,
            deletes: Vec::new(),
        };
        let outcome = self.store.txn(transaction).await?;
        Ok(matches!(outcome, TransactionOutcome::Committed { .. }))
    }

    /// Responds to a query, and to those that came meanwhile, with what was read lately, or
    /// reads it.
    async fn respond(&mut self, first: Query, known: &mut Option<(Now, Arc<StoredStreams>)>) {
        let now = self.shared.now();
        let is_recent = |at: Now| now.saturating_sub(at) < READ_TTL;
        if known.as_ref().is_none_or(|(at, _)| !is_recent(*at)) {
            *known = self.read().await.map(|stored| (now, Arc::new(stored)));
        }
        let stored = known.as_ref().map(|(_, stored)| Arc::clone(stored));
        let mut queries = vec![first];
        while let Ok(query) = self.queries.try_recv() {
            queries.push(query);
        }
        for query in queries {
            // A caller that has left does not wait for the response.
            let _ = query.send(stored.clone());
        }
    }

    async fn read(&self) -> Option<StoredStreams> {
        let listing = timeout(READ_TIMEOUT, self.store.list(PREFIX)).await;
        let entries = match listing {
            Ok(Ok(listing)) => listing.entries,
            Ok(Err(error)) => {
                tracing::info!(event = "streams_unread", %error);
                return None;
            }
            Err(_elapsed) => {
                tracing::info!(event = "streams_unread", error = "timeout");
                return None;
            }
        };
        let mut stored = StoredStreams::default();
        for entry in entries {
            if let Err(error) = stored.add(&entry.key, &entry.value) {
                // Which versions served is not known then.
                tracing::warn!(event = "streams_unreadable", key = %entry.key, %error);
                return None;
            }
        }
        tracing::info!(
            event = "streams_read",
            origins = stored.origins.len(),
            services = stored.versions.len()
        );
        Some(stored)
    }
}

impl Term {
    const fn new(fence: Fence) -> Self {
        Self {
            fence,
            inherited: None,
            versions: None,
            next_versions: Now::ZERO,
            segment: None,
            segments: 0,
        }
    }
}

impl Segment {
    fn put(&self, zone: &str, fence: Fence) -> Put {
        let mut rows: BTreeMap<&StreamOrigin, Vec<AttemptDigest>> = BTreeMap::new();
        for (attempt, origin) in &self.origins {
            rows.entry(origin).or_default().push(*attempt);
        }
        let rows = rows.into_iter().map(|(origin, attempts)| OriginRow {
            origin: origin.clone(),
            attempts,
        });
        let stored = StoredOrigins {
            rows: rows.collect(),
        };
        Put {
            key: format!("{ORIGINS_PREFIX}{zone}/{fence:x}-{}", self.number).into(),
            value: serde_json::to_vec(&stored).expect("origins always serialize"),
            lease: Some(self.lease.id),
        }
    }
}

fn has_several(versions: &VersionSets, service: &str) -> bool {
    versions
        .get(service)
        .is_some_and(|versions| versions.len() > 1)
}

fn digest(attempt: &str) -> AttemptDigest {
    let digest = Sha256::digest(attempt.as_bytes());
    let first = digest.first_chunk().expect("a digest has 32 bytes");
    AttemptDigest::from_le_bytes(*first)
}
