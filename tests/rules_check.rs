//! `reedford rules check`: exit codes and output.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn check(path: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reedford"))
        .args(["rules", "check"])
        .arg(path)
        .output()
        .expect("the program runs")
}

fn write_file(name: &str, bytes: &[u8]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, bytes).expect("a writable directory");
    path
}

/// A file, with the exit code and output for it; `FILE` stands for its path.
struct Case {
    name: &'static str,
    bytes: &'static [u8],
    code: i32,
    stdout: &'static str,
    stderr: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "good.txt",
        bytes: b"group g kind=engine base=b # asked by Ada\n\
                 adapter a group=g versions=1 repeatable=no # asked by Ada\n",
        code: 0,
        stdout: "FILE: good, groups=1 adapters=1 services=0 limits=0\n",
        stderr: "",
    },
    Case {
        name: "faulty.txt",
        bytes: b"adapter a group=g versions=1 repeatable=no # asked by Ada\n\n\
                 loads rate=0/s in-flight=8\n",
        code: 1,
        stdout: "",
        stderr: "FILE:1:11: contradiction: no rule for the group `g`\n\
                 FILE:3:7: bad value `0/s` for `rate`: expected a rate of at least 0.001/s, such as 2.5/s\n\
                 FILE:3:27: the rule has no comment: end the line with `# asked by NAME`\n",
    },
    Case {
        name: "latin1.txt",
        bytes: b"# Z\xfcrich\n",
        code: 1,
        stdout: "",
        stderr: "FILE:1:4: the text is not UTF-8 from here on\n",
    },
];

#[test]
fn faults_are_printed_with_their_position() {
    for case in CASES {
        let path = write_file(case.name, case.bytes);
        let output = check(&path);
        let shown = path.display().to_string();
        let stdout = String::from_utf8_lossy(&output.stdout).replace(&shown, "FILE");
        let stderr = String::from_utf8_lossy(&output.stderr).replace(&shown, "FILE");
        assert_eq!(output.status.code(), Some(case.code), "{}", case.name);
        assert_eq!(stdout, case.stdout, "{}", case.name);
        assert_eq!(stderr, case.stderr, "{}", case.name);
    }
}

#[test]
fn a_missing_file_is_an_error() {
    let output = check(Path::new("/nonexistent/rules.txt"));
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.starts_with("error: /nonexistent/rules.txt: "),
        "{stderr}"
    );
}

#[test]
fn a_wrong_command_line_has_its_own_exit_code() {
    let output = Command::new(env!("CARGO_BIN_EXE_reedford"))
        .args(["rules", "apply", "rules.txt"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}
