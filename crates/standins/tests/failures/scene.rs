//! A site under load, and the checked history of what it did.

use crate::traffic::Load;
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
/// Model engines; every second one does not check fencing numbers.
const ENGINES: usize = 4;
/// Interval at which conditions are looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// Time for a condition; a run that needs it has failed.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time after which a target that is marked leaving may get nothing new: its
/// list is read once a second, and a call takes at most this long to come out.
pub const LEAVING_CLOSED: Duration = Duration::from_millis(3_000);
/// The rules.
pub const RULES: &str = "\
group engines kind=engine base=base # asked by the failure tests
loads rate=50/s in-flight=8 # asked by the failure tests
adapter one group=engines versions=1,2 repeatable=yes # asked by the failure tests
adapter two group=engines versions=1 repeatable=yes # asked by the failure tests
adapter three group=engines versions=1 repeatable=yes # asked by the failure tests
adapter booking group=engines versions=1 repeatable=no # asked by the failure tests
service orders group=shop repeatable-paths=/prices # asked by the failure tests
";

/// A site, its callers and what was seen of it.
pub struct Scene {
    pub site: Site,
    pub recorder: Arc<Recorder>,
    pub history: History,
}

/// What differs between scenes.
#[derive(Clone, Copy, Debug)]
pub struct Kit {
    /// Adapter slots of each engine. The rules name five adapter versions.
    pub slots: u32,
    /// Time between two tokens in milliseconds.
    pub step_ms: u64,
    /// Time that a plain service takes in milliseconds.
    pub plain_ms: u64,
    /// Time until the first byte of an answer in milliseconds.
    pub first_byte_ms: u64,
    /// Time until a change of the list of instances shows, in milliseconds.
    pub lag_ms: u64,
}

impl Default for Kit {
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

impl Scene {
    /// A site with all its entry instances, ready.
    pub async fn start() -> Self {
        Self::start_with(Kit::default()).await
    }

    /// The same of another kit.
    pub async fn start_with(kit: Kit) -> Self {
        if std::env::var_os("RUST_LOG").is_some() {
            // Another test of this run may have done so before.
            let _set_before = reedford_standins::target_program::init_log();
        }
        let mut site = Site::start(config(kit)).await.unwrap();
        for (entry, zone) in ENTRIES {
            site.start_entry(entry, ZONES[zone]).await.unwrap();
        }
        let open = site.wait_until_open(ENGINES);
        tokio::time::timeout(PATIENCE, open).await.unwrap().unwrap();
        Self {
            site,
            recorder: Arc::default(),
            history: History::default(),
        }
    }

    /// A load on the entry instances that run now.
    pub fn load(&self) -> Load {
        let entries = self.site.entries.iter();
        let entries = entries.map(|(name, entry)| (name.clone(), entry.callers()));
        Load::start(
            Arc::clone(&self.recorder),
            &Arc::new(Mutex::new(entries.collect())),
        )
    }

    /// One call, recorded.
    pub async fn call(&self, asked: CallRequest) -> CallRecord {
        let entry = self.site.callers(&asked.entry);
        self.recorder.call(entry, asked).await
    }

    /// Replaces the faults of the platform.
    pub async fn platform_faults(&self, faults: &Faults) {
        platform_faults(self.site.platform.control(), faults).await;
    }

    /// Lists an instance in another state; the target itself knows nothing.
    pub async fn list(&self, instance: &Instance) {
        let path = format!("instances/{}", instance.id);
        let body = serde_json::to_vec(instance).unwrap();
        control(self.site.platform.control(), "PUT", &path, body).await;
    }

    /// Notes that nothing new may start at a target after some time.
    pub fn closes(&mut self, target: &str, after: Duration) {
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

    /// Notes the revision in force at each instance, and gives the lowest.
    pub async fn note_revisions(&mut self) -> u64 {
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

    /// Stops the site and says what its history breaks.
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

/// Waits for a condition.
pub async fn until<F>(what: &str, mut holds: F)
where
    F: AsyncFnMut() -> bool,
{
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    };
    let held = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(held.is_ok(), "waited in vain: {what}");
}

/// Replaces the faults of a platform.
pub async fn platform_faults(platform: SocketAddr, faults: &Faults) {
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
    let answer = client.request(req.unwrap()).await.unwrap();
    assert!(answer.status().is_success(), "{path}: {}", answer.status());
}

fn config(kit: Kit) -> SiteConfig {
    let engine = |number: usize| EngineConfig {
        id: format!("engine-{number}").into(),
        group: "engines".into(),
        zone: ZONES[number % ZONES.len()].into(),
        base: "base".into(),
        slots: kit.slots,
        step_ms: kit.step_ms,
        prefill_ms: 3,
        checks_fence: number > ENGINES / 2,
        ..EngineConfig::default()
    };
    let plain = |number: usize| PlainConfig {
        id: format!("shop-{number}").into(),
        group: "shop".into(),
        zone: ZONES[number % ZONES.len()].into(),
        delay_ms: kit.plain_ms,
        ..PlainConfig::default()
    };
    SiteConfig {
        zones: ZONES.map(Into::into).to_vec(),
        engines: (1..=ENGINES).map(engine).collect(),
        plains: (1..=2).map(plain).collect(),
        timeouts: Timeouts {
            first_byte_ms: kit.first_byte_ms,
            ..timeouts()
        },
        bounds: Bounds {
            retry_percent: 100,
            ..Bounds::default()
        },
        platform: PlatformConfig {
            lag_ms: kit.lag_ms,
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
