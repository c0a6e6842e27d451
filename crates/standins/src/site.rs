//! A whole site in one process: platform, targets and entry instances, each
//! with its own sockets on loopback. The demonstration and the tests of whole
//! runs use it.

use crate::engine::{EngineConfig, EngineStandin};
use crate::plain::{PlainConfig, PlainStandin};
use crate::platform::{PlatformConfig, PlatformStandin};
use eyre::{OptionExt as _, Result, WrapErr as _, bail};
use reedford_core::rendezvous;
use reedford_operator::WorkerStatus;
use reedford_serve::{DrainOutcome, EntryInstance, EntryReport, RULES_PREFIX};
use reedford_settings::{Bounds, Secret, Settings, Timeouts};
use reedford_store::{ApplyOutcome, DocumentStore, Endpoint, EndpointConfig, HttpKeyValue};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Token of the operators of a site.
pub const OPERATOR_TOKEN: &str = "operators-of-the-site";
/// Interval at which [`Site::wait_until_open`] looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// The availability zones.
    pub zones: Vec<Box<str>>,
    /// The model engines; addresses and the platform are filled in.
    pub engines: Vec<EngineConfig>,
    /// The plain services; addresses and the platform are filled in.
    pub plains: Vec<PlainConfig>,
    /// Time limits of the entry instances.
    pub timeouts: Timeouts,
    /// Sizes and counts of the entry instances.
    pub bounds: Bounds,
    /// The platform; zones are filled in.
    pub platform: PlatformConfig,
    /// The rules, applied before anything else starts.
    pub rules: Box<str>,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    cfg: SiteConfig,
    /// The platform.
    pub platform: PlatformStandin,
    /// The model engines, by id.
    pub engines: BTreeMap<Box<str>, EngineStandin>,
    /// The plain services, by id.
    pub plains: BTreeMap<Box<str>, PlainStandin>,
    /// The entry instances, by name.
    pub entries: BTreeMap<Box<str>, EntryInstance>,
    endpoint: Arc<Endpoint>,
    documents: DocumentStore<HttpKeyValue>,
}

impl Site {
    /// Starts platform and targets and applies the rules.
    ///
    /// # Errors
    /// When a part can't be started or the rules are not accepted.
    pub async fn start(cfg: SiteConfig) -> Result<Self> {
        let mut platform = cfg.platform.clone();
        platform.zones = cfg.zones.iter().map(|z| (z.clone(), loopback())).collect();
        let platform = PlatformStandin::start(platform)
            .await
            .wrap_err("platform")?;
        let endpoint = Arc::new(Endpoint::new(EndpointConfig {
            addresses: vec![platform.control()],
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(5),
            watch_timeout: Duration::from_secs(30),
        }));
        let kv = Arc::new(HttpKeyValue::new(Arc::clone(&endpoint)));
        let documents = DocumentStore::new(kv, RULES_PREFIX);
        let mut site = Self {
            platform,
            engines: BTreeMap::new(),
            plains: BTreeMap::new(),
            entries: BTreeMap::new(),
            endpoint,
            documents,
            cfg,
        };
        let rules = site.cfg.rules.clone();
        site.apply(0, &rules, "first").await?;
        site.start_targets().await?;
        Ok(site)
    }

    /// Replaces the rules of revision `from`; answers with the new revision.
    ///
    /// # Errors
    /// When they are not accepted.
    pub async fn apply(&self, from: u64, rules: &str, token: &str) -> Result<u64> {
        match self.documents.apply(from, rules, token).await? {
            ApplyOutcome::Applied { revision } => Ok(revision),
            other => bail!("the rules were not accepted: {other:?}"),
        }
    }

    /// Starts an entry instance in a zone.
    ///
    /// # Errors
    /// When it can't be started.
    pub async fn start_entry(&mut self, name: &str, zone: &str) -> Result<SocketAddr> {
        let platform = self.platform.zones().get(zone).ok_or_eyre("no such zone")?;
        let settings = Settings {
            instance: name.into(),
            zone: zone.into(),
            zones: self.cfg.zones.clone(),
            callers: loopback(),
            peers: loopback(),
            operators: loopback(),
            operator_token: Secret::new(OPERATOR_TOKEN),
            platform: vec![*platform],
            trace_endpoint: None,
            timeouts: self.cfg.timeouts.clone(),
            bounds: self.cfg.bounds.clone(),
        };
        let entry = EntryInstance::start(settings).await?;
        let callers = entry.callers();
        self.entries.insert(name.into(), entry);
        Ok(callers)
    }

    /// Stops an entry instance gracefully.
    ///
    /// # Errors
    /// When there is none of that name or a part of it has failed.
    pub async fn stop_entry(&mut self, name: &str) -> Result<DrainOutcome> {
        let entry = self
            .entries
            .remove(name)
            .ok_or_eyre("no such entry instance")?;
        entry.stop().await
    }

    /// Where callers reach an entry instance.
    ///
    /// # Panics
    /// When there is none of that name.
    #[must_use]
    pub fn callers(&self, name: &str) -> SocketAddr {
        self.entries[name].callers()
    }

    /// Waits until every entry instance knows `workers` workers that take
    /// requests, each with the owner that it has once all have joined.
    ///
    /// # Errors
    /// When an instance can't be asked.
    pub async fn wait_until_open(&self, workers: usize) -> Result<()> {
        while !self.is_open(workers).await? {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        Ok(())
    }

    async fn is_open(&self, workers: usize) -> Result<bool> {
        let mut reports = Vec::new();
        for entry in self.entries.values() {
            reports.push(entry.report().await?);
        }
        let home = |worker: &WorkerStatus| {
            let zone = reports.iter().filter(|r| r.status.zone == worker.zone);
            let home = rendezvous::first(&worker.worker, zone.map(|r| &*r.status.instance));
            home.map(Box::from)
        };
        let settled = |report: &EntryReport| {
            let at_home = report.status.workers.iter().all(|w| w.owner == home(w));
            at_home && report.open_workers >= workers
        };
        Ok(reports.iter().all(settled))
    }

    /// Stops everything, the entry instances first.
    ///
    /// # Errors
    /// When a part of an entry instance has failed.
    pub async fn stop(mut self) -> Result<()> {
        let names: Vec<Box<str>> = self.entries.keys().cloned().collect();
        for name in names {
            self.stop_entry(&name).await?;
        }
        for engine in self.engines.into_values() {
            engine.shutdown().await;
        }
        for plain in self.plains.into_values() {
            plain.shutdown().await;
        }
        self.endpoint.close().await;
        self.platform.shutdown().await;
        Ok(())
    }

    async fn start_targets(&mut self) -> Result<()> {
        let platform = self.platform.control();
        for mut cfg in self.cfg.engines.clone() {
            cfg.listen = loopback();
            cfg.register = Some(platform);
            cfg.weights = Some(platform);
            let id = cfg.id.clone();
            let engine = EngineStandin::start(cfg).await.wrap_err("engine")?;
            self.engines.insert(id, engine);
        }
        for mut cfg in self.cfg.plains.clone() {
            cfg.listen = loopback();
            cfg.register = Some(platform);
            let id = cfg.id.clone();
            let plain = PlainStandin::start(cfg).await.wrap_err("plain service")?;
            self.plains.insert(id, plain);
        }
        Ok(())
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
