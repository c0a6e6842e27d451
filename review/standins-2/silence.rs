//! The connections of all nodes to the store go silent, and then the configuration changes.

use crate::http;
use crate::node::{Node, Place};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::{Outcome, Setting};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const HOST: &str = "shop.example";
/// `stableWindowMs`: when machines are in touch again after their connections were reset.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Pause between two calls to a node.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Longest wait of a watch on keys that seldom change.
const WATCH_CYCLE: Duration = Duration::from_millis(2_000);

/// One call and the service that ran it.
#[derive(Clone, Debug)]
struct Answer {
    node: String,
    sent: Instant,
    sent_s: f64,
    service: String,
}

pub fn play(setting: &Setting) -> Outcome {
    let record = Record::create(&setting.folder.join("record.txt"));
    let store = Store::default();
    let store_addr = store.start();
    for (n, zone) in ZONES.iter().enumerate() {
        Worker::start(&store, &record, &format!("i-old-{n}"), "old-app", zone);
        Worker::start(&store, &record, &format!("i-new-{n}"), "new-app", zone);
    }
    store.put("op/config", &configuration(2, "old-app", 4_000));
    let proxies: Vec<Proxy> = ZONES.iter().map(|_| Proxy::start(store_addr)).collect();
    let nodes: Vec<Node> = (ZONES.iter().zip(&proxies))
        .map(|(zone, proxy)| {
            Node::start(Place {
                name: &format!("edge-{zone}-1"),
                zone,
                store: proxy.addr,
                folder: &setting.temporary,
                program: &setting.program,
            })
        })
        .collect();
    if !nodes
        .iter()
        .all(|n| n.wait_until_ready(Duration::from_secs(20)))
    {
        return Outcome::NotRun("a node did not become ready".to_owned());
    }
    record.line("all nodes are ready");
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = nodes
        .iter()
        .map(|n| call_all_the_time(&n.name, n.callers, &record, &answers, &stop))
        .collect();
    std::thread::sleep(Duration::from_secs(10));

    // Waits until the first node's watches of both kinds are about to begin anew.
    let prefix = "kv-watch?prefix=reedford/zones/";
    let begun = proxies[0].last_request(prefix).unwrap_or_else(Instant::now);
    let next = begun + WATCH_CYCLE;
    sleep_until(next.checked_sub(Duration::from_millis(80)).unwrap_or(next));
    store.put("op/config", &configuration(5, "old-app", 5_000));
    record.line("operator: version 5, another time-out, acknowledged");
    sleep_until(next + Duration::from_millis(40));
    let silenced = Instant::now();
    if setting.trouble {
        proxies.iter().for_each(Proxy::silence);
        record.line("all open connections to the store are silent from now on; new ones work");
    }
    std::thread::sleep(Duration::from_millis(100));
    store.put("op/config", &configuration(9, "new-app", 5_000));
    let acknowledged = Instant::now();
    record.line("operator: version 9, /shop/ goes to new-app, acknowledged");
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let from = (silenced + STABLE_WINDOW).max(acknowledged + CONFIG_APPLY);
    let answers = answers.lock().expect("no panic");
    let after: Vec<&Answer> = answers.iter().filter(|a| a.sent > from).collect();
    let stale: Vec<&&Answer> = after.iter().filter(|a| a.service == "old-app").collect();
    record.line(&format!(
        "calls sent when machines were in touch again, and configApplyMs after the acknowledgement: {}, of them run by the old service: {}",
        after.len(),
        stale.len()
    ));
    for node in &nodes {
        let of_node: Vec<_> = stale.iter().filter(|a| a.node == node.name).collect();
        if let Some(last) = of_node.last() {
            let late = last.sent.duration_since(acknowledged).as_secs_f64();
            record.line(&format!(
                "{}: {} stale, the last sent at {:.3}, {late:.3} s after the acknowledgement",
                node.name,
                of_node.len(),
                last.sent_s
            ));
        }
    }
    if after.is_empty() {
        return Outcome::NotRun("no call was answered".to_owned());
    }
    match stale.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

fn call_all_the_time(
    node: &str,
    addr: SocketAddr,
    record: &Record,
    answers: &Arc<Mutex<Vec<Answer>>>,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    static CALLS: AtomicU64 = AtomicU64::new(1);
    let (node, record) = (node.to_owned(), record.clone());
    let (answers, stop) = (Arc::clone(answers), Arc::clone(stop));
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let id = format!("{:016x}", CALLS.fetch_add(1, Ordering::Relaxed));
            let (sent, sent_s) = (Instant::now(), record.now());
            let headers = [
                ("Host", HOST),
                ("Attempt-Id", id.as_str()),
                ("Deadline-Ms", "4000"),
            ];
            let limit = Duration::from_secs(4);
            let answer = http::call(addr, "GET", "/shop/price", &headers, "", limit);
            let (status, service) = match &answer {
                Ok(res) => (res.status(), res.text()),
                Err(_) => (0, String::new()),
            };
            record.line(&format!(
                "answered id={id} node={node} sent={sent_s:.3} status={status} body={}",
                service.replace('\n', " ")
            ));
            let service = if status == 200 {
                service
            } else {
                String::new()
            };
            answers.lock().expect("no panic").push(Answer {
                node: node.clone(),
                sent,
                sent_s,
                service,
            });
            std::thread::sleep(CALL_INTERVAL);
        }
    })
}

fn configuration(version: u64, service: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-shop","host":"{HOST}","prefix":"/shop/","type":"safe","timeoutMs":{timeout_ms},"sloMs":300,"priority":2,"service":"{service}","attempts":2}}],"services":[{{"name":"old-app","healthPath":"/healthz","maxConns":110}},{{"name":"new-app","healthPath":"/healthz","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}}}"#
    )
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
