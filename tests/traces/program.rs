//! An entry instance as a program.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;

/// A running `reedford serve`.
pub struct Program {
    child: Child,
    output: Option<JoinHandle<()>>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

impl Program {
    /// Starts it and waits until it listens.
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
        let output = std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            output: Some(output),
            callers: address(&started, "callers"),
            operators: address(&started, "operators"),
        }
    }

    /// Stops it gracefully and waits for its end.
    pub fn stop(mut self) {
        let pid = self.child.id().to_string();
        let told = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(told.expect("kill runs").success());
        let status = self.child.wait().expect("its end");
        assert_eq!(status.code(), Some(0));
        let output = self.output.take().expect("stopped once");
        output.join().expect("no panic");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if self.output.is_some() && self.child.kill().is_ok() {
            drop(self.child.wait());
        }
    }
}

fn address(line: &str, field: &str) -> SocketAddr {
    let found = line
        .split(' ')
        .find_map(|pair| pair.strip_prefix(field)?.strip_prefix('='));
    found.expect("an address").parse().expect("an address")
}
