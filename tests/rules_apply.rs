//! `reedford rules apply`, `show` and `diff` against a stand-in of the platform
//! and fake instances.

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};
use reedford_operator::{
    AdapterStatus, InstanceStatus, LeaseStatus, OperatorRpcServer, RulesInForce,
};
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use test_case::test_case;

const GROUP: &str = "group g kind=engine base=b # asked by Ada\n";
const ADAPTER: &str = "adapter a group=g versions=1 repeatable=no # asked by Bo\n";
const LOADS: &str = "loads rate=2/s in-flight=4 # asked by Cy\n";

struct Ran {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

async fn reedford(args: &[&str]) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reedford"));
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("not cancelled").expect("the program runs");
    Ran {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable directory");
    path
}

async fn platform(faults: Faults) -> (PlatformStandin, String) {
    let cfg = PlatformConfig {
        faults,
        ..PlatformConfig::default()
    };
    let standin = PlatformStandin::start(cfg).await.expect("a free port");
    let address = standin.control().to_string();
    (standin, address)
}

async fn apply(file: &Path, platform: &str, from: &str, more: &[&str]) -> Ran {
    let file = file.display().to_string();
    let mut args = vec![
        "rules",
        "apply",
        &file,
        "--platform",
        platform,
        "--from",
        from,
    ];
    args.extend(more);
    reedford(&args).await
}

#[tokio::test]
async fn rules_are_applied_shown_and_compared() {
    let (standin, at) = platform(Faults::default()).await;
    let ran = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!((ran.code, &*ran.stdout), (Some(0), ""));
    assert_eq!(ran.stderr, "revision 0: no rules were applied yet\n");

    let first = file("apply-1.txt", GROUP);
    let ran = apply(&first, &at, "0", &[]).await;
    assert_eq!(
        (ran.code, &*ran.stdout),
        (Some(0), "accepted as revision 1\n")
    );

    let second = file("apply-2.txt", &format!("{GROUP}{ADAPTER}"));
    let second_name = second.display().to_string();
    let ran = reedford(&["rules", "diff", &second_name, "--platform", &at]).await;
    assert_eq!(ran.code, Some(0));
    let shown = "+ adapter a group=g versions=1 repeatable=no  # asked by Bo\n\
                 1 added, 0 changed, 0 removed\n";
    assert_eq!(ran.stdout, shown);

    let ran = apply(&second, &at, "1", &[]).await;
    assert_eq!(ran.stdout, "accepted as revision 2\n");
    let ran = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(ran.stdout, format!("{GROUP}{ADAPTER}"));
    assert_eq!(ran.stderr, "revision 2\n");
    standin.shutdown().await;
}

#[tokio::test]
async fn the_loser_of_a_race_sees_both_differences() {
    let (standin, at) = platform(Faults::default()).await;
    let base = file("race-base.txt", GROUP);
    let other = file("race-other.txt", &format!("{GROUP}{ADAPTER}"));
    let mine = file("race-mine.txt", &format!("{GROUP}{LOADS}"));
    assert_eq!(apply(&base, &at, "0", &[]).await.code, Some(0));
    assert_eq!(apply(&other, &at, "1", &[]).await.code, Some(0));

    let base_name = base.display().to_string();
    let ran = apply(&mine, &at, "1", &["--base", &base_name]).await;
    assert_eq!(ran.code, Some(3));
    assert_eq!(
        ran.stderr,
        "not accepted: edited from revision 1, but 2 is in force\n"
    );
    let shown = "changed by others, up to revision 2:\n\
                 + adapter a group=g versions=1 repeatable=no  # asked by Bo\n\
                 1 added, 0 changed, 0 removed\n\
                 from revision 2 to this file:\n\
                 - adapter a group=g versions=1 repeatable=no  # asked by Bo\n\
                 + loads rate=2/s in-flight=4  # asked by Cy\n\
                 1 added, 0 changed, 1 removed\n";
    assert_eq!(ran.stdout, shown);
    let ran = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(ran.stdout, format!("{GROUP}{ADAPTER}"));
    standin.shutdown().await;
}

#[tokio::test]
async fn a_faulty_file_is_not_applied() {
    let (standin, at) = platform(Faults::default()).await;
    let faulty = file("apply-faulty.txt", "loads rate=1/s in-flight=1\n");
    let ran = apply(&faulty, &at, "0", &[]).await;
    assert_eq!(ran.code, Some(1));
    assert!(
        ran.stderr.contains(":1:27: the rule has no comment"),
        "{}",
        ran.stderr
    );
    let ran = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(ran.stderr, "revision 0: no rules were applied yet\n");
    standin.shutdown().await;
}

#[test_case("lost-answer", Faults { lose_next_answers: 1, ..Faults::default() }; "lost answer")]
#[test_case("two-lost", Faults { lose_next_answers: 2, ..Faults::default() }; "two lost answers")]
#[test_case("late", Faults { late_next_writes: 1, late_ms: 100, ..Faults::default() }; "late write")]
#[tokio::test]
async fn a_write_without_an_answer_is_settled(name: &str, faults: Faults) {
    let (standin, at) = platform(faults).await;
    let rules = file(&format!("apply-{name}.txt"), GROUP);
    let ran = apply(&rules, &at, "0", &[]).await;
    assert_eq!(
        (ran.code, &*ran.stdout),
        (Some(0), "accepted as revision 1\n")
    );
    let ran = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(ran.stderr, "revision 1\n");
    standin.shutdown().await;
}

#[tokio::test]
async fn nothing_is_accepted_while_the_platform_is_down() {
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    let (standin, at) = platform(faults).await;
    let ran = apply(&file("apply-down.txt", GROUP), &at, "0", &[]).await;
    assert_eq!(ran.code, Some(1));
    assert!(
        ran.stderr.starts_with("error: not accepted: "),
        "{}",
        ran.stderr
    );
    standin.shutdown().await;
}

/// An instance that reports a fixed revision.
struct FakeInstance {
    revision: u64,
}

#[async_trait]
impl OperatorRpcServer for FakeInstance {
    async fn status(&self) -> RpcResult<InstanceStatus> {
        Ok(InstanceStatus {
            instance: format!("entry-at-{}", self.revision).into(),
            zone: "oulu-a".into(),
            ready: true,
            revision: self.revision,
            members: Vec::new(),
            workers: Vec::new(),
            lease: LeaseStatus::Lapsed,
            requests_running: 0,
        })
    }

    async fn adapters(&self) -> RpcResult<Vec<AdapterStatus>> {
        Ok(vec![AdapterStatus {
            adapter: "a".into(),
            version: "1".into(),
            workers: vec!["w1".into(), "w2".into()],
            waiting: 3,
        }])
    }

    async fn rules(&self) -> RpcResult<RulesInForce> {
        Ok(RulesInForce {
            revision: self.revision,
            text: "".into(),
        })
    }
}

async fn instance(revision: u64) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await;
    let server = server.expect("a free port");
    let address = server.local_addr().expect("bound");
    (address, server.start(FakeInstance { revision }.into_rpc()))
}

async fn stop(handle: ServerHandle) {
    handle.stop().expect("running");
    handle.stopped().await;
}

#[tokio::test]
async fn waiting_tells_who_has_the_rules_and_who_is_behind() {
    let (standin, at) = platform(Faults::default()).await;
    let (current, current_handle) = instance(2).await;
    let (old, old_handle) = instance(0).await;
    let token_file = file("wait-token", "an-example-token\n")
        .display()
        .to_string();
    let rules = file("wait.txt", GROUP);

    let one = current.to_string();
    let more = ["--wait", "--operators", &one, "--token-file", &token_file];
    let ran = apply(&rules, &at, "0", &more).await;
    assert_eq!(ran.code, Some(0), "{}", ran.stderr);
    let shown = format!(
        "accepted as revision 1\nentry-at-2 ({current}): in force\n\
         revision 1 is in force at all 1 instances\n"
    );
    assert_eq!(ran.stdout, shown);

    let both = format!("{current},{old}");
    let more = [
        "--wait",
        "--operators",
        &both,
        "--token-file",
        &token_file,
        "--timeout",
        "3",
    ];
    let ran = apply(&rules, &at, "1", &more).await;
    assert_eq!(ran.code, Some(4));
    let shown =
        format!("revision 2 is not in force at:\nentry-at-0 ({old}): still at revision 0\n");
    assert_eq!(ran.stderr, shown);
    stop(current_handle).await;
    stop(old_handle).await;
    standin.shutdown().await;
}

#[tokio::test]
async fn waiting_without_a_token_changes_nothing() {
    let (standin, at) = platform(Faults::default()).await;
    let ran = apply(&file("wait-none.txt", GROUP), &at, "0", &["--wait"]).await;
    assert_eq!(ran.code, Some(2));
    let ran = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(ran.stderr, "revision 0: no rules were applied yet\n");
    standin.shutdown().await;
}

#[tokio::test]
async fn instances_are_shown() {
    let (address, handle) = instance(2).await;
    let at = address.to_string();
    let token_file = file("status-token", "an-example-token\n")
        .display()
        .to_string();
    let ran = reedford(&["status", "--operators", &at, "--token-file", &token_file]).await;
    assert_eq!(
        ran.stdout,
        "instance=entry-at-2 zone=oulu-a ready=true revision=2 lease=lapsed \
         requests_running=0 members=\n"
    );
    let ran = reedford(&["adapters", "--operators", &at, "--token-file", &token_file]).await;
    let shown = format!("instance={at} adapter=a@1 workers=w1,w2 waiting=3\n");
    assert_eq!((ran.code, ran.stdout), (Some(0), shown));
    stop(handle).await;
    let ran = reedford(&["status", "--operators", &at, "--token-file", &token_file]).await;
    assert_eq!(ran.code, Some(1));
}
