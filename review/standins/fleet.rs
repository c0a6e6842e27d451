//! The project's gateways as separate processes, the store and the workers.

use crate::http::{Message, exchange, listen};
use crate::record::Record;
use crate::store::{Store, View};
use crate::worker::Worker;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Ids of the processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that a case which was given up has left.
pub fn end_processes() {
    for pid in PROCESSES.lock().unwrap().drain(..) {
        let kill = format!("kill -KILL {pid}");
        let _ = Command::new("sh").args(["-c", &kill]).status();
    }
}

fn on_ended(pid: u32) {
    PROCESSES.lock().unwrap().retain(|p| *p != pid);
}

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub workers: Vec<Arc<Worker>>,
    pub record: Record,
    temp: PathBuf,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// Whether the answer came to its end.
    pub complete: bool,
    pub events: usize,
}

impl Fleet {
    /// Starts `nodes` gateways in front of the workers that `start_workers` starts.
    pub fn start<F>(nodes: usize, record: &Record, start_workers: F) -> Self
    where
        F: FnOnce(&Store) -> Vec<Arc<Worker>>,
    {
        let temp = std::env::temp_dir().join(format!("reedford-review-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder");
        let store = Store::start();
        store.put("op/config", CONFIGURATION);
        let workers = start_workers(&store);
        let nodes = (0..nodes).map(|n| Node::new(n, &store, &workers, &temp));
        let fleet = Self {
            nodes: nodes.collect(),
            workers,
            record: record.clone(),
            temp,
        };
        for node in &fleet.nodes {
            node.spawn(record);
        }
        fleet
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        let is_ready = |node: &Node| {
            let request = "GET /-/readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
            let answer = exchange(node.readiness, request, Duration::from_secs(1));
            answer.is_ok_and(|a| a.status() == 200)
        };
        while Instant::now() < end {
            if self.nodes.iter().all(is_ready) {
                // The nodes elect their coordinator and count each other.
                thread::sleep(Duration::from_secs(6));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a stream request to a node, for an adapter or, if that is empty, for the base
    /// model. The worker sends `events` events, one each
    /// `pause_ms`.
    pub fn stream(&self, node: usize, id: &str, adapter: &str, events: u32, pause_ms: u64) -> Answer {
        let model = match adapter {
            "" => "m".to_owned(),
            adapter => format!("m/{adapter}"),
        };
        let request = format!(
            "POST /talk/{events}/{pause_ms} HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: {id}\r\n\
             Model: {model}\r\nToken-Usage: 200,50\r\nDeadline-Ms: 6000\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        let name = &self.nodes[node].name;
        self.record.line(&format!("client sends {id} for {model} to {name}"));
        let got = exchange(self.nodes[node].callers, &request, Duration::from_secs(8));
        let answer = match got {
            Ok(message) => Answer::of(&message),
            Err(_) => Answer {
                status: 0,
                complete: false,
                events: 0,
            },
        };
        self.record.line(&format!(
            "client got for {id} from {name}: status {}, {} events, {}",
            answer.status,
            answer.events,
            if answer.complete { "complete" } else { "NOT COMPLETE" }
        ));
        answer
    }

    pub fn stop(&self) {
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
                on_ended(child.id());
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.temp);
        }
    }
}

impl Answer {
    fn of(message: &Message) -> Self {
        let text = String::from_utf8_lossy(&message.body).into_owned();
        Self {
            status: message.status(),
            complete: message.complete,
            events: text.matches("data: ").count(),
        }
    }
}

impl Node {
    fn new(n: usize, store: &Store, workers: &[Arc<Worker>], temp: &Path) -> Self {
        let workers = workers.to_vec();
        let view: View = Arc::new(move |key: &str, value: &[u8]| {
            let Some(id) = key.strip_prefix("servers/") else {
                return value.to_vec();
            };
            let worker = workers.iter().find(|w| w.id == id);
            let text = String::from_utf8_lossy(value);
            match worker {
                Some(worker) => text
                    .replace(&format!("@{id}\""), &format!("{}\"", worker.addr(n)))
                    .into_bytes(),
                None => value.to_vec(),
            }
        });
        let platform = store.listen(view);
        let mut held: Vec<TcpListener> = (0..4).map(|_| listen()).collect();
        held.sort_by_key(|l| l.local_addr().expect("a bound address").port());
        let addrs: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().unwrap()).collect();
        let name = format!("node-{n}");
        let settings = temp.join(format!("{name}.yaml"));
        let text = SETTINGS
            .replace("NAME", &name)
            // A zone for each node, so that none follows the store through another one,
            // which has other links.
            .replace("ZONE", &format!("z{}", n + 1))
            .replace("FRONTEND", &addrs[1].to_string())
            .replace("READINESS", &addrs[2].to_string())
            .replace("FIRST", &addrs[0].port().to_string())
            .replace("LAST", &addrs[3].port().to_string())
            .replace("STORE", &platform.to_string());
        fs::write(&settings, text).expect("the settings file");
        Self {
            name,
            callers: addrs[1],
            readiness: addrs[2],
            settings,
            child: Mutex::default(),
        }
    }

    /// Starts the node with the command of the deploy file.
    pub fn spawn(&self, record: &Record) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"));
        let child = Command::new("target/release/reedford")
            .arg("gateway")
            .env("REEDFORD_CONFIG", &self.settings)
            .stdout(log.expect("a log file"))
            .spawn()
            .expect("target/release/reedford; build it first");
        record.line(&format!("{} starts", self.name));
        PROCESSES.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends SIGTERM, and starts the node again once it has ended, as a rolling restart
    /// does.
    pub fn restart(&self, record: &Record) {
        let pid = match &*self.child.lock().unwrap() {
            Some(child) => child.id(),
            None => return,
        };
        record.line(&format!("{} gets SIGTERM", self.name));
        let kill = format!("kill -TERM {pid}");
        let _ = Command::new("sh").args(["-c", &kill]).status();
        let end = Instant::now() + Duration::from_secs(8);
        loop {
            let mut child = self.child.lock().unwrap();
            let Some(process) = child.as_mut() else { return };
            if matches!(process.try_wait(), Ok(Some(_))) {
                on_ended(pid);
                break;
            }
            if Instant::now() >= end {
                let _ = process.kill();
            }
            drop(child);
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("{} has ended", self.name));
        self.spawn(record);
    }
}

const SETTINGS: &str = r#"nodeName: "NAME"
role: "gateway"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "ZONE"
region: "r1"
zones: {z1: "r1", z2: "r1", z3: "r1", z4: "r1"}
listen:
  frontend: "FRONTEND"
  readiness: "READINESS"
portRange: [FIRST, LAST]
bootstrap: true
limits: {cpuQuota: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54, recoveryS: 12, passMs: 120, retryAfterS: 0, fencingEnforced: true, leaseMs: 3000, thawMs: 300, ceilingWindowS: 5, originOvershoot: 1.1, version_ms: 5000}
platform: {address: "STORE", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
"#;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"talk","host":"review.example","prefix":"/talk/","type":"streaming","timeoutMs":6000,"sloMs":1000,"priority":1,"service":"engines","attempts":1,"sticky":true,"resumable":false,"gapTargetMs":300}],"services":[{"name":"engines","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,"kvCapacity":120000,"models":[{"name":"m","weightsMb":65000.0,"loadTimeS":0.6,"adapters":3000,"adapterSizeMb":12.0}],"weightsMb":66500.0,"adapterSlots":5,"loadsPerS":3.2}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
