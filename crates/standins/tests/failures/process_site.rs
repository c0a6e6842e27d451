//! A site of separate processes, which are killed when it is dropped.

use crate::test_site::{RULES, set_platform_faults, wait_until};
use crate::traffic::{Entries, Traffic};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use reedford_operator::{InstanceStatus, OperatorRpcClient as _, client};
use reedford_serve::RULES_PREFIX;
use reedford_standins::history::{BrokenGuarantee, History, Recorder, check, collect_runs};
use reedford_standins::platform::Faults;
use reedford_store::{ApplyOutcome, DocumentStore, Endpoint, EndpointConfig, HttpKeyValue};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PLATFORM: &str = env!("CARGO_BIN_EXE_reedford-platform-standin");
const ENGINE: &str = env!("CARGO_BIN_EXE_reedford-engine-standin");
const PLAIN: &str = env!("CARGO_BIN_EXE_reedford-plain-standin");
const TOKEN: &str = "operators-of-the-fleet";
/// Model engines; the second does not check fencing tokens.
pub const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
/// The plain service.
pub const SHOP: &str = "shop-1";
/// Adapter slots of an engine: fewer than the adapter versions, so that owners
/// evict.
const SLOTS: u32 = 2;

/// A running process and its log.
pub struct Program {
    child: Mutex<Child>,
    log: PathBuf,
}

/// A platform, two engines, a plain service and entry instances, each a process
/// of its own.
pub struct ProcessSite {
    dir: PathBuf,
    platform: SocketAddr,
    programs: BTreeMap<Box<str>, Program>,
    pub entries: Entries,
    pub recorder: Arc<Recorder>,
    pub history: History,
}

impl Drop for Program {
    fn drop(&mut self) {
        // Killing a process that has already ended may fail.
        let child = self.child.get_mut().unwrap();
        let _killed = child.kill();
        let _status = child.wait();
    }
}

impl Program {
    fn start(name: &str, program: &Path, args: &[&str], dir: &Path) -> Self {
        let log = dir.join(format!("{name}.log"));
        let child = Command::new(program)
            .args(args)
            .stdout(File::create(&log).unwrap())
            .stderr(File::create(dir.join(format!("{name}.err"))).unwrap())
            .spawn();
        let child = child.unwrap_or_else(|e| {
            let program = program.display();
            panic!("{program}: {e}; `cargo build --workspace` builds it")
        });
        Self {
            child: Mutex::new(child),
            log,
        }
    }

    /// Waits until an event is logged, and returns its log line.
    pub async fn wait_for_event(&self, event: &str) -> String {
        let wanted = format!("event={event}");
        let mut found = String::new();
        wait_until(event, async || {
            let text = std::fs::read_to_string(&self.log).unwrap();
            let complete = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
            let line = complete.lines().find(|l| l.contains(&wanted));
            found = line.unwrap_or_default().to_owned();
            let ended = self.child.lock().unwrap().try_wait().unwrap();
            let log = self.log.display();
            assert!(
                ended.is_none() || !found.is_empty(),
                "process ended ({ended:?}) before it logged {event}, see {log}; \
                 is `reedford` up to date?"
            );
            !found.is_empty()
        })
        .await;
        found
    }

    /// Returns the address in a field of an event's log line.
    async fn logged_address(&self, event: &str, field: &str) -> SocketAddr {
        let line = self.wait_for_event(event).await;
        let wanted = format!("{field}=");
        let mut words = line.split_whitespace();
        let value = words.find_map(|word| word.strip_prefix(&*wanted));
        let value = value.unwrap_or_else(|| panic!("no {field}: {line}"));
        value.trim_matches('"').parse().unwrap()
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let pid = self.child.lock().unwrap().id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits until the process has ended.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the program ends", async || {
            status = self.child.lock().unwrap().try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }
}

impl ProcessSite {
    /// Starts all processes, and waits until the entry instances are ready.
    pub async fn start(name: &str, entries: &[&str]) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let listen = ["--listen", "127.0.0.1:0", "--config"];
        let config = write(&dir, "platform", "load_ms: 20\nloads_per_1000_s: 50000\n");
        let args = [&listen[..], &[&*config]].concat();
        let program = Program::start("platform", Path::new(PLATFORM), &args, &dir);
        let platform = program.logged_address("listening", "control").await;
        let mut site = Self {
            dir,
            platform,
            programs: BTreeMap::from([("platform".into(), program)]),
            entries: Entries::default(),
            recorder: Arc::default(),
            history: History::default(),
        };
        site.apply_rules().await;
        site.start_targets().await;
        for entry in entries {
            site.start_entry(entry).await;
        }
        site
    }

    /// Starts an entry instance, and waits until it is ready and knows all engines.
    pub async fn start_entry(&mut self, name: &str) {
        let config = write(&self.dir, name, &entry_config(name, self.platform));
        let args = ["serve", "--config", &config];
        let program = Program::start(name, &reedford(), &args, &self.dir);
        let callers = program.logged_address("started", "callers").await;
        self.programs.insert(name.into(), program);
        wait_until("the instance is ready", async || {
            let status = self.status(name).await;
            status.is_some_and(|s| s.ready && s.workers.len() == ENGINES.len())
        })
        .await;
        self.entries.lock().unwrap().insert(name.into(), callers);
    }

    /// Replaces the faults of the platform.
    pub async fn set_platform_faults(&self, faults: &Faults) {
        set_platform_faults(self.platform, faults).await;
    }

    /// Starts traffic to the entry instances.
    pub fn start_traffic(&self) -> Traffic {
        Traffic::start(Arc::clone(&self.recorder), &self.entries)
    }

    /// Returns the process of this name.
    pub fn program(&mut self, name: &str) -> &mut Program {
        self.programs.get_mut(name).unwrap()
    }

    /// Returns the status that an instance reports, if it responds.
    pub async fn status(&self, name: &str) -> Option<InstanceStatus> {
        let address = self.programs[name]
            .logged_address("started", "operators")
            .await;
        let client = client(address, TOKEN, Duration::from_secs(1)).unwrap();
        client.status().await.ok()
    }

    /// Returns the owner of a worker, as the instance `observer` reports it.
    pub async fn owner(&self, worker: &str, observer: &str) -> Option<Box<str>> {
        let status = self.status(observer).await?;
        let known = status.workers.into_iter().find(|w| *w.worker == *worker);
        known?.owner
    }

    /// Stops all processes, and returns the history and the broken guarantees.
    pub async fn finish(mut self) -> (History, BTreeSet<BrokenGuarantee>) {
        let mut engines = Vec::new();
        for engine in ENGINES {
            let record = self.get_json(engine, "/control/record").await;
            engines.push((engine.into(), record));
        }
        let runs = self.get_json(SHOP, "/control/runs").await;
        self.history.calls = self.recorder.recorded();
        collect_runs(&mut self.history, &engines, &[(SHOP.into(), runs)]);
        let broken = check(&self.history);
        (self.history, broken)
    }

    /// Returns the address on which a target listens.
    pub async fn target_address(&self, target: &str) -> SocketAddr {
        self.programs[target]
            .logged_address("listening", "addr")
            .await
    }

    /// Reads a JSON document from a target.
    pub async fn get_json<T>(&self, target: &str, path: &str) -> T
    where
        T: DeserializeOwned,
    {
        let address = self.target_address(target).await;
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let uri = format!("http://{address}{path}").parse().unwrap();
        let res = client.get(uri).await.unwrap();
        let body = res.into_body().collect().await.unwrap().to_bytes();
        serde_json::from_slice(&body).unwrap()
    }

    async fn apply_rules(&self) {
        let endpoint = Arc::new(Endpoint::new(EndpointConfig {
            addresses: vec![self.platform],
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(5),
            watch_timeout: Duration::from_secs(30),
        }));
        let kv = Arc::new(HttpKeyValue::new(Arc::clone(&endpoint)));
        let documents = DocumentStore::new(kv, RULES_PREFIX);
        let outcome = documents.apply(0, RULES, "first").await.unwrap();
        assert_eq!(outcome, ApplyOutcome::Applied { revision: 1 });
        endpoint.close().await;
    }

    async fn start_targets(&mut self) {
        let platform = self.platform;
        for (number, id) in ENGINES.iter().enumerate() {
            let checks_fence = number == 0;
            let text = format!(
                "id: {id}\ngroup: engines\nzone: zone-a\nbase: base\nslots: {SLOTS}\n\
                 step_ms: 3\nprefill_ms: 3\nchecks_fence: {checks_fence}\n\
                 weights: {platform}\nregister: {platform}\n"
            );
            self.start_target(ENGINE, id, &text).await;
        }
        let text = format!("id: {SHOP}\ngroup: shop\nzone: zone-a\nregister: {platform}\n");
        self.start_target(PLAIN, SHOP, &text).await;
    }

    async fn start_target(&mut self, program: &str, id: &str, text: &str) {
        let config = write(&self.dir, id, text);
        let program = Program::start(id, Path::new(program), &["--config", &config], &self.dir);
        program.wait_for_event("listening").await;
        self.programs.insert(id.into(), program);
    }
}

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(format!("{name}.yaml"));
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Returns the path of the root package's program, in the parent of this test's
/// directory. A test run of the whole workspace builds it, one of this package
/// alone does not.
fn reedford() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let deps = test.parent().unwrap();
    deps.parent().unwrap().join("reedford")
}

fn entry_config(name: &str, platform: SocketAddr) -> String {
    format!(
        "instance: {name}\nzone: zone-a\nzones: [zone-a]\n\
         callers: 127.0.0.1:0\npeers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
         operator_token: {TOKEN}\nplatform: ['{platform}']\n\
         timeouts: {{request_ms: 3000, request_max_ms: 3000, connect_ms: 200, \
         first_byte_ms: 1500, progress_ms: 500, platform_ms: 300, lease_ms: 900, \
         lease_margin_ms: 100, exchange_ms: 100, peer_failed_ms: 400, drain_ms: 8000}}\n\
         bounds: {{retry_percent: 100}}\n"
    )
}
