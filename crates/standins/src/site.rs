//! A whole deployment ("site") in one process, for the demonstration and for
//! tests: platform, targets and entry instances, each with its own sockets on
//! the loopback interface.

use crate::engine::{EngineConfig, EngineStandin};
use crate::plain::{PlainConfig, PlainStandin};
use crate::platform::{PlatformConfig, PlatformStandin};
use eyre::{Result, WrapErr as _, bail, eyre};
use reedford_core::rendezvous;
use reedford_operator::WorkerStatus;
use reedford_serve::{DrainOutcome, EntryInstance, EntryReport, RULES_PREFIX};
use reedford_settings::{Bounds, Secret, Settings, Timeouts};
use reedford_store::{ApplyOutcome, DocumentStore, Endpoint, EndpointConfig, HttpKeyValue};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// Operator token of a site's entry instances.
pub const OPERATOR_TOKEN: &str = "operators-of-the-site";
/// Interval at which [`Site::wait_until_open`] polls the entry instances.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// The availability zones.
    pub zones: Vec<Box<str>>,
    /// The model engines; the site sets their addresses and platform.
    pub engines: Vec<EngineConfig>,
    /// The plain services; the site sets their addresses and platform.
    pub plains: Vec<PlainConfig>,
    /// Timeouts of the entry instances.
    pub timeouts: Timeouts,
    /// Size and count limits of the entry instances.
    pub bounds: Bounds,
    /// The platform; the site sets its zones.
    pub platform: PlatformConfig,
    /// Text of the rules, applied before targets and entry instances start.
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
    /// Address for callers of the entry instances. No other site has it: callers
    /// go on using the port of a stopped instance, and another site's listener
    /// that got the same port would receive their calls.
    callers_ip: Ipv4Addr,
    endpoint: Arc<Endpoint>,
    documents: DocumentStore<HttpKeyValue>,
}

impl Site {
    /// Starts the platform, applies the rules and starts the targets.
    ///
    /// # Errors
    /// When the platform or a target can't be started, or the rules are not
    /// accepted.
    pub async fn start(cfg: SiteConfig) -> Result<Self> {
        let mut platform = cfg.platform.clone();
        platform.zones = cfg.zones.iter().map(|z| (z.clone(), loopback())).collect();
        let platform = PlatformStandin::start(platform)
            .await
            .wrap_err("starting the platform")?;
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
            callers_ip: unused_loopback_address(),
            endpoint,
            documents,
            cfg,
        };
        let rules = site.cfg.rules.clone();
        site.apply(0, &rules, "first").await?;
        site.start_targets().await?;
        Ok(site)
    }

    /// Replaces the rules of revision `from` and returns the new revision.
    ///
    /// # Errors
    /// When the rules are not accepted.
    pub async fn apply(&self, from: u64, rules: &str, token: &str) -> Result<u64> {
        match self.documents.apply(from, rules, token).await? {
            ApplyOutcome::Applied { revision } => Ok(revision),
            other => bail!("the rules were not accepted: {other:?}"),
        }
    }

    /// Starts an entry instance in a zone and returns its address for callers.
    ///
    /// # Errors
    /// When the zone does not exist or the instance can't be started.
    pub async fn start_entry(&mut self, name: &str, zone: &str) -> Result<SocketAddr> {
        let platform = self.platform.zones().get(zone);
        let platform = platform.ok_or_else(|| eyre!("no zone {zone}"))?;
        let settings = Settings {
            instance: name.into(),
            zone: zone.into(),
            zones: self.cfg.zones.clone(),
            callers: (self.callers_ip, 0).into(),
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
    /// When there is no entry instance of that name, or one of its tasks has
    /// failed.
    pub async fn stop_entry(&mut self, name: &str) -> Result<DrainOutcome> {
        let entry = self
            .entries
            .remove(name)
            .ok_or_else(|| eyre!("no entry instance {name}"))?;
        entry.stop().await
    }

    /// Returns the address at which an entry instance serves callers.
    ///
    /// # Panics
    /// When there is no entry instance of that name.
    #[must_use]
    pub fn callers(&self, name: &str) -> SocketAddr {
        self.entries[name].callers()
    }

    /// Waits without a time limit until every entry instance knows at least
    /// `workers` open workers (workers that accept requests) and every worker
    /// has its final owner: the first choice of rendezvous hashing over the
    /// entry instances of the worker's zone.
    ///
    /// # Errors
    /// When the report of an instance can't be read.
    pub async fn wait_until_open(&self, workers: usize) -> Result<()> {
        while !self.is_open(workers).await? {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_open(&self, workers: usize) -> Result<bool> {
        let mut reports = Vec::new();
        for entry in self.entries.values() {
            reports.push(entry.report().await?);
        }
        let home_owner = |worker: &WorkerStatus| {
            let zone = reports.iter().filter(|r| r.status.zone == worker.zone);
            let home = rendezvous::first(&worker.worker, zone.map(|r| &*r.status.instance));
            home.map(Box::from)
        };
        let ready = |report: &EntryReport| {
            let all_at_home = report
                .status
                .workers
                .iter()
                .all(|w| w.owner == home_owner(w));
            all_at_home && report.open_workers >= workers
        };
        Ok(reports.iter().all(ready))
    }

    /// Stops everything, the entry instances first.
    ///
    /// # Errors
    /// When a task of an entry instance has failed.
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
            let engine = EngineStandin::start(cfg)
                .await
                .wrap_err_with(|| format!("starting engine {id}"))?;
            self.engines.insert(id, engine);
        }
        for mut cfg in self.cfg.plains.clone() {
            cfg.listen = loopback();
            cfg.register = Some(platform);
            let id = cfg.id.clone();
            let plain = PlainStandin::start(cfg)
                .await
                .wrap_err_with(|| format!("starting plain service {id}"))?;
            self.plains.insert(id, plain);
        }
        Ok(())
    }
}

/// Returns a loopback address that no other site of this process has, and hardly
/// one of another process.
fn unused_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let [.., process] = (std::process::id() % 250).to_be_bytes();
    Ipv4Addr::new(127, process + 1, high, low)
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
