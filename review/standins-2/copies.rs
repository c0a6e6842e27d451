//! An engine sends one of its reports a second time, late, where the answer to the next
//! request on that connection is expected: an order to unload an adapter that is in use.

use crate::engine::Engine;
use crate::http;
use crate::node::{Node, Place};
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, Setting};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const ZONE: &str = "bern-a";
const HOST: &str = "ask.example";
/// Calls for each of the adapters that are asked for often.
const CALLS: usize = 12;

pub fn play(setting: &Setting) -> Outcome {
    let record = Record::create(&setting.folder.join("record.txt"));
    let store = Store::default();
    let store_addr = store.start();
    let engine = Engine::start(
        &store,
        &record,
        "i-e-1",
        ZONE,
        &["a1", "a2", "a3", "a4", "a5"],
    );
    Engine::start(
        &store,
        &record,
        "i-e-2",
        "olten-b",
        &["a1", "a2", "a3", "a4", "a5"],
    );
    store.put("op/config", &configuration());
    if setting.trouble {
        engine.copy_next_report();
    }
    let start = |name: &str| {
        Node::start(Place {
            name,
            zone: ZONE,
            store: store_addr,
            folder: &setting.temporary,
            program: &setting.program,
        })
    };
    let coordinator = start("edge-bern-a-1");
    if !coordinator.wait_until_ready(Duration::from_secs(20)) {
        return Outcome::NotRun("a node did not become ready".to_owned());
    }
    let end = Instant::now() + Duration::from_secs(5);
    while engine.answers().1 == 0 {
        if Instant::now() > end {
            return Outcome::NotRun("the first node asked for no report".to_owned());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let node = start("edge-bern-a-2");
    if !node.wait_until_ready(Duration::from_secs(20)) {
        return Outcome::NotRun("a node did not become ready".to_owned());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    // The other adapters are asked for more often than the first.
    let callers: Vec<_> = (0..4 * CALLS)
        .map(|n| {
            let (addr, record) = (node.callers, record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(30 * n as u64));
                let adapter = format!("a{}", 2 + n % 4);
                call(addr, &record, &format!("{:016x}", 0x100 + n), &adapter)
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    begin_and_leave(node.callers, &record);
    std::thread::sleep(Duration::from_millis(400));
    call(node.callers, &record, "00000000000000b1", "a6");
    std::thread::sleep(Duration::from_millis(500));
    let (answers, reports) = engine.answers();
    record.line(&format!(
        "engine i-e-1 gave {answers} answers, {reports} of them reports; crashed: {}",
        engine.crashed()
    ));
    match engine.crashed() {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Calls for an adapter and receives the whole response.
fn call(addr: SocketAddr, record: &Record, id: &str, adapter: &str) {
    let model = format!("m0/{adapter}");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Deadline-Ms", "5000"),
        ("Model", model.as_str()),
        ("Token-Usage", "100,30"),
    ];
    let answer = http::call(addr, "POST", "/ask/1", &headers, "", Duration::from_secs(5));
    let answer = answer.map(|res| res.status());
    record.line(&format!("answered id={id} adapter={adapter}: {answer:?}"));
}

/// Begins a long stream on the first adapter and closes the connection after two events.
fn begin_and_leave(addr: SocketAddr, record: &Record) {
    let begun = || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let request = format!(
            "POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: 00000000000000a1\r\nDeadline-Ms: 5000\r\nModel: m0/a1\r\nToken-Usage: 100,300\r\nX-Events: 100\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut events = 0;
        while events < 2 {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            events += u32::from(line.starts_with("data:"));
        }
        Ok(())
    };
    let outcome = begun();
    record.line(&format!(
        "the caller of id=00000000000000a1, adapter a1, has left: {outcome:?}"
    ));
}

fn configuration() -> String {
    format!(
        r#"{{"version":2,"routes":[{{"name":"r-ask","host":"{HOST}","prefix":"/ask/","type":"streaming","resumable":true,"timeoutMs":5000,"sloMs":1000,"gapTargetMs":250,"priority":1,"attempts":2,"service":"lm"}}],"services":[{{"name":"lm","healthPath":"/healthz","maxConns":370,"engine":{{"slots":64,"kvCapacity":121675,"adapterSlots":5,"weightsMb":66500.0,"loadsPerS":2.8,"models":[{{"name":"m0","weightsMb":65100.0,"loadTimeS":0.72,"adapters":3000,"adapterSizeMb":12.0}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}}}"#
    )
}
