//! The project's own program as a separate process, with the command of the deploy file.

use crate::http;
use std::fs::{self, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A gateway process. It is killed when the value is dropped.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Child,
}

/// Where a node runs.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// The built program.
    pub program: &'a Path,
}

impl Node {
    pub fn start(place: Place<'_>) -> Self {
        let ports = free_ports(5);
        let (callers, readiness) = (ports[0], ports[1]);
        let (first, last) = (ports[2].min(ports[3]), ports[2].max(ports[3]));
        let settings = place.folder.join(format!("{}.yaml", place.name));
        let text = SETTINGS
            .replace("NAME", place.name)
            .replace("ZONE", place.zone)
            .replace("CALLERS", &callers.to_string())
            .replace("READINESS", &readiness.to_string())
            .replace("CONTROL", &ports[4].to_string())
            .replace("FIRST", &first.to_string())
            .replace("LAST", &last.to_string())
            .replace("STORE", &place.store.to_string());
        fs::write(&settings, text).expect("the settings can be written");
        let log = place.folder.join(format!("{}.log", place.name));
        let child = spawn(place.program, &settings, &log);
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: place.name.to_owned(),
            callers: local(callers),
            readiness: local(readiness),
            settings,
            log,
            program: place.program.to_owned(),
            child,
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Waits until the node reports that it is ready; returns whether it does in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let second = Duration::from_secs(1);
            let probe = http::call(self.readiness, "GET", "/-/readyz", &[], "", second);
            if probe.is_ok_and(|res| res.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let out = OpenOptions::new().create(true).append(true).open(log);
    let out = out.expect("the log can be written");
    Command::new(program)
        .arg("gateway")
        .env("REEDFORD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone().expect("the log can be shared"))
        .stderr(out)
        .spawn()
        .expect("the gateway can be started")
}

/// Returns ports that were free a moment ago, below those that outgoing connections get.
fn free_ports(count: usize) -> Vec<u16> {
    const FIRST: u16 = 12_000;
    const RANGE: u64 = 18_000;
    /// Between two calls, since a node binds its ports a moment later.
    const STEP: u64 = 97;
    static STEPS: AtomicU64 = AtomicU64::new(0);
    let begin = u64::from(std::process::id()) * 1_009;
    let begin = begin + STEPS.fetch_add(STEP, Ordering::Relaxed);
    let mut listeners: Vec<TcpListener> = Vec::new();
    for n in 0..RANGE {
        let offset = u16::try_from((begin + n) % RANGE).expect("the range is short");
        listeners.extend(TcpListener::bind(("127.0.0.1", FIRST + offset)));
        if listeners.len() == count {
            break;
        }
    }
    let port = |l: &TcpListener| l.local_addr().expect("a bound listener").port();
    listeners.iter().map(port).collect()
}

/// Settings like those of DEPLOY.md, with the bounds of wfm-kalk.
const SETTINGS: &str = r#"nodeName: "NAME"
role: "gateway"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "ZONE"
region: "ch-mittelland"
zones:
  bern-a: "ch-mittelland"
  olten-b: "ch-mittelland"
  aarau-c: "ch-mittelland"
listen:
  frontend: "127.0.0.1:CALLERS"
  readiness: "127.0.0.1:READINESS"
  controlPlane: "127.0.0.1:CONTROL"
portRange: [FIRST, LAST]
seeds: []
bootstrap: true
countsAsLoss: false
limits:
  cpuQuota: 0.25
  cores: 1
  memoryMb: 260
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
faultTolerance: { machines: 1, zones: 1, regions: 0 }
bounds:
  seedLagS: 3
  reuseAfterS: 2
  stableWindowMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxStretchMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 56
  recoveryS: 12
  passMs: 120
  retryAfterS: 0
  fencingEnforced: true
  leaseMs: 3000
  thawMs: 300
  ceilingWindowS: 5
  originOvershoot: 1.1
  version_ms: 5000
platform:
  address: "STORE"
  form: "kv"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
"#;
