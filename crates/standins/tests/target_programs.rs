//! The programs of the stand-in targets: configuration file, log of the address,
//! and exit after SIGTERM.

use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use test_case::test_case;

const ENGINE: &str = env!("CARGO_BIN_EXE_reedford-engine-standin");
const PLAIN: &str = env!("CARGO_BIN_EXE_reedford-plain-standin");

fn config(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn start(program: &str, config: &Path) -> Child {
    Command::new(program)
        .arg("--config")
        .arg(config)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn terminate(child: &Child) {
    let pid = child.id().to_string();
    assert!(Command::new("kill").arg(pid).status().unwrap().success());
}

#[test_case(ENGINE, "e1", "id: e1\nslots: 4\nunload_running: refuse\n"; "engine")]
#[test_case(PLAIN, "p1", "id: p1\ndelay_ms: 1\n"; "plain service")]
fn starts_and_stops_cleanly(program: &str, name: &str, text: &str) {
    let mut child = start(program, &config(name, text));
    let stdout = BufReader::new(child.stdout.take().unwrap());
    let mut lines = stdout.lines().map(Result::unwrap);
    let first = lines.next().unwrap();
    assert!(first.contains("event=listening"), "{first}");
    assert!(first.contains("addr=127.0.0.1:"), "{first}");
    terminate(&child);
    let last = lines.last().unwrap();
    assert!(last.contains("event=stopped"), "{last}");
    assert!(child.wait().unwrap().success());
}

#[test_case(ENGINE, "e2"; "engine")]
#[test_case(PLAIN, "p2"; "plain service")]
fn refuses_an_unknown_field(program: &str, name: &str) {
    let mut child = start(program, &config(name, "colour: blue\n"));
    assert!(!child.wait().unwrap().success());
}
