//! A site that runs in the test's process, and the history of its calls.

use crate::traffic::Traffic;
use reedford_settings::{Bounds, Timeouts};
use reedford_standins::engine::EngineConfig;
use reedford_standins::history::{
    BrokenGuarantee, CallRecord, CallRequest, History, InstanceRevisions, LeavingTarget, Recorder,
    check, collect_runs,
};
use reedford_standins::plain::PlainConfig;
use reedford_standins::platform::{Faults, PlatformConfig};
use reedford_standins::site::{Site, SiteConfig};
use reedford_wire::instances::Instance;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// Availability zones.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Entry instances and their zones.
pub const ENTRIES: [(&str, usize); 4] = [("e-1", 0), ("e-2", 0), ("e-3", 1), ("e-4", 1)];
/// Number of model engines; the first half does not check fencing tokens.
const ENGINES: usize = 4;
/// Interval between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a condition must hold; the test fails otherwise.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which no run may start at a target that is listed as leaving:
/// entry instances read the list once a second, and a call takes at most this
/// long.
pub const LEAVING_GRACE: Duration = Duration::from_millis(3_000);
/// Rules of the site.
pub const RULES: &str = "\
group engines kind=engine base=base # asked by the failure tests
loads rate=50/s in-flight=8 # asked by the failure tests
adapter one group=engines versions=1,2 repeatable=yes # asked by the failure tests
adapter two group=engines versions=1 repeatable=yes # asked by the failure tests
adapter three group=engines versions=1 repeatable=yes # asked by the failure tests
adapter booking group=engines versions=1 repeatable=no # asked by the failure tests
service orders group=shop repeatable-paths=/prices # asked by the failure tests
";

/// A running site with the recorder of its calls and its history.
pub struct TestSite {
    pub site: Site,
    pub recorder: Arc<Recorder>,
    pub history: History,
}

/// Settings of the site that tests vary.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    /// Adapter slots of each engine. The rules name five adapter versions.
    pub slots: u32,
    /// Time between two tokens in milliseconds.
    pub step_ms: u64,
    /// Processing time of a plain service in milliseconds.
    pub plain_ms: u64,
    /// Timeout for the first byte of a response in milliseconds.
    pub first_byte_ms: u64,
    /// Time until the list of instances shows a change, in milliseconds.
    pub lag_ms: u64,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            slots: 3,
            step_ms: 3,
            plain_ms: 2,
            first_byte_ms: 500,
            lag_ms: 0,
        }
    }
}

impl TestSite {
    /// Starts a site with the default options, and waits until it is ready.
    pub async fn start() -> Self {
        Self::start_with(SiteOptions::default()).await
    }

    /// Starts a site with these options, and waits until it is ready.
    pub async fn start_with(options: SiteOptions) -> Self {
        if std::env::var_os("RUST_LOG").is_some() {
            // Fails if another test of this process has set up the log.
            let _already_set = reedford_standins::target_program::init_log();
        }
        let mut site = Site::start(config(options)).await.unwrap();
        for (entry, zone) in ENTRIES {
            site.start_entry(entry, ZONES[zone]).await.unwrap();
        }
        let open = site.wait_until_open(ENGINES);
        tokio::time::timeout(WAIT_TIMEOUT, open)
            .await
            .unwrap()
            .unwrap();
        Self {
            site,
            recorder: Arc::default(),
            history: History::default(),
        }
    }

    /// Starts traffic to the entry instances that run now.
    pub fn start_traffic(&self) -> Traffic {
        let entries = self.site.entries.iter();
        let entries = entries.map(|(name, entry)| (name.clone(), entry.callers()));
        Traffic::start(
            Arc::clone(&self.recorder),
            &Arc::new(Mutex::new(entries.collect())),
        )
    }

    /// Makes one call and records it.
    pub async fn call(&self, request: CallRequest) -> CallRecord {
        let entry = self.site.callers(&request.entry);
        self.recorder.call(entry, request).await
    }

    /// Replaces the faults of the platform.
    pub async fn set_platform_faults(&self, faults: &Faults) {
        set_platform_faults(self.site.platform.control(), faults).await;
    }

    /// Sets the platform's entry for an instance, without notifying the target.
    pub async fn set_listed_instance(&self, instance: &Instance) {
        let path = format!("instances/{}", instance.id);
        let body = serde_json::to_vec(instance).unwrap();
        control(self.site.platform.control(), "PUT", &path, body).await;
    }

    /// Records that no run may start at a target once `after` has passed.
    pub fn forbid_runs_after(&mut self, target: &str, after: Duration) {
        let after = u64::try_from(after.as_millis()).unwrap();
        self.history.leaving.push(LeavingTarget {
            target: target.into(),
            closed_unix_ms: unix_ms() + after,
        });
    }

    /// Stops an entry instance gracefully.
    pub async fn stop_entry(&mut self, name: &str) {
        self.site.stop_entry(name).await.unwrap();
        self.history.stopped.push(name.into());
    }

    /// Records the revision in force at each instance, and returns the lowest.
    pub async fn record_revisions(&mut self) -> u64 {
        let mut lowest = u64::MAX;
        for (name, entry) in &self.site.entries {
            let revision = entry.report().await.unwrap().status.revision;
            lowest = lowest.min(revision);
            let known = &mut self.history.revisions;
            match known.iter_mut().find(|r| r.instance == *name) {
                Some(known) => known.seen.push(revision),
                None => known.push(InstanceRevisions {
                    instance: name.clone(),
                    seen: vec![revision],
                }),
            }
        }
        lowest
    }

    /// Stops the site, and returns its history and the broken guarantees.
    pub async fn finish(mut self) -> (History, BTreeSet<BrokenGuarantee>) {
        for (name, _) in ENTRIES {
            if self.site.entries.contains_key(name) {
                self.site.stop_entry(name).await.unwrap();
            }
        }
        let engines = self.site.engines.iter();
        let engines: Vec<_> = engines.map(|(id, e)| (id.clone(), e.record())).collect();
        let plains = self.site.plains.iter();
        let plains: Vec<_> = plains.map(|(id, p)| (id.clone(), p.runs())).collect();
        self.history.calls = self.recorder.recorded();
        collect_runs(&mut self.history, &engines, &plains);
        self.site.stop().await.unwrap();
        let broken = check(&self.history);
        (self.history, broken)
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(result.is_ok(), "condition not met in time: {what}");
}

/// Replaces the faults of a platform.
pub async fn set_platform_faults(platform: SocketAddr, faults: &Faults) {
    let body = serde_json::to_vec(faults).unwrap();
    control(platform, "POST", "faults", body).await;
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(now.unwrap().as_millis()).unwrap()
}

async fn control(platform: SocketAddr, method: &str, path: &str, body: Vec<u8>) {
    use http_body_util::Full;
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let req = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{platform}/control/{path}"))
        .body(Full::new(bytes::Bytes::from(body)));
    let res = client.request(req.unwrap()).await.unwrap();
    assert!(res.status().is_success(), "{path}: {}", res.status());
}

fn config(options: SiteOptions) -> SiteConfig {
    let engine = |number: usize| EngineConfig {
        id: format!("engine-{number}").into(),
        group: "engines".into(),
        zone: ZONES[number % ZONES.len()].into(),
        base: "base".into(),
        slots: options.slots,
        step_ms: options.step_ms,
        prefill_ms: 3,
        checks_fence: number > ENGINES / 2,
        ..EngineConfig::default()
    };
    let plain = |number: usize| PlainConfig {
        id: format!("shop-{number}").into(),
        group: "shop".into(),
        zone: ZONES[number % ZONES.len()].into(),
        delay_ms: options.plain_ms,
        ..PlainConfig::default()
    };
    SiteConfig {
        zones: ZONES.map(Into::into).to_vec(),
        engines: (1..=ENGINES).map(engine).collect(),
        plains: (1..=2).map(plain).collect(),
        timeouts: Timeouts {
            first_byte_ms: options.first_byte_ms,
            ..timeouts()
        },
        bounds: Bounds {
            retry_percent: 100,
            ..Bounds::default()
        },
        platform: PlatformConfig {
            lag_ms: options.lag_ms,
            load_ms: 20,
            loads_per_1000_s: 50_000,
            ..PlatformConfig::default()
        },
        rules: RULES.into(),
    }
}

fn timeouts() -> Timeouts {
    Timeouts {
        request_ms: 3_000,
        request_max_ms: 3_000,
        connect_ms: 200,
        first_byte_ms: 500,
        progress_ms: 300,
        platform_ms: 300,
        lease_ms: 900,
        lease_margin_ms: 100,
        exchange_ms: 100,
        peer_failed_ms: 400,
        drain_ms: 5_000,
    }
}
