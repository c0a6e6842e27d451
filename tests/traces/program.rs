//! An entry instance in a process of its own.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;

/// A running `reedford serve`; dropping it kills the process.
pub struct Program {
    child: Child,
    /// Thread that discards the output after the start.
    output_reader: Option<JoinHandle<()>>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

impl Program {
    /// Starts the program and waits until it listens.
    pub fn start(instance: &str, settings: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("traces-{instance}.yaml"));
        std::fs::write(&path, settings).expect("a writable directory");
        let mut child = Command::new(env!("CARGO_BIN_EXE_reedford"))
            .args(["serve", "--config"])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let stdout = child.stdout.take().expect("piped");
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let started = lines.find(|line| line.contains("event=started"));
        let started = started.expect("it starts");
        let output_reader = std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            output_reader: Some(output_reader),
            callers: address(&started, "callers"),
            operators: address(&started, "operators"),
        }
    }

    /// Sends SIGTERM and waits until the program has shut down.
    pub fn stop(mut self) {
        let pid = self.child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(signalled.expect("kill runs").success());
        let status = self.child.wait().expect("its end");
        assert_eq!(status.code(), Some(0));
        let output_reader = self.output_reader.take().expect("stopped once");
        output_reader.join().expect("no panic");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if self.output_reader.is_some() && self.child.kill().is_ok() {
            drop(self.child.wait());
        }
    }
}

/// Returns the address in the field of a log line.
fn address(line: &str, field: &str) -> SocketAddr {
    let found = line
        .split(' ')
        .find_map(|pair| pair.strip_prefix(field)?.strip_prefix('='));
    found.expect("an address").parse().expect("an address")
}
