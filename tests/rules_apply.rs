//! `reedford rules apply` (also with `--wait`), `show` and `diff`, and
//! `reedford status` and `adapters`, against a stand-in of the platform and fake
//! instances.

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

struct CommandOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

async fn reedford(args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reedford"));
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("not cancelled").expect("the program runs");
    CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable directory");
    path
}

async fn start_platform(faults: Faults) -> (PlatformStandin, String) {
    let cfg = PlatformConfig {
        faults,
        ..PlatformConfig::default()
    };
    let standin = PlatformStandin::start(cfg).await.expect("a free port");
    let address = standin.control().to_string();
    (standin, address)
}

async fn apply(path: &Path, platform: &str, from: &str, extra_args: &[&str]) -> CommandOutput {
    let path = path.display().to_string();
    let mut args = vec![
        "rules",
        "apply",
        &path,
        "--platform",
        platform,
        "--from",
        from,
    ];
    args.extend(extra_args);
    reedford(&args).await
}

#[tokio::test]
async fn rules_are_applied_printed_and_compared() {
    let (standin, at) = start_platform(Faults::default()).await;
    let output = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!((output.code, &*output.stdout), (Some(0), ""));
    assert_eq!(output.stderr, "revision 0: no rules were applied yet\n");

    let first = write_file("apply-1.txt", GROUP);
    let output = apply(&first, &at, "0", &[]).await;
    assert_eq!(
        (output.code, &*output.stdout),
        (Some(0), "accepted as revision 1\n")
    );

    let second = write_file("apply-2.txt", &format!("{GROUP}{ADAPTER}"));
    let second_name = second.display().to_string();
    let output = reedford(&["rules", "diff", &second_name, "--platform", &at]).await;
    assert_eq!(output.code, Some(0));
    let shown = "+ adapter a group=g versions=1 repeatable=no  # asked by Bo\n\
                 1 added, 0 changed, 0 removed\n";
    assert_eq!(output.stdout, shown);

    let output = apply(&second, &at, "1", &[]).await;
    assert_eq!(output.stdout, "accepted as revision 2\n");
    let output = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(output.stdout, format!("{GROUP}{ADAPTER}"));
    assert_eq!(output.stderr, "revision 2\n");
    standin.shutdown().await;
}

#[tokio::test]
async fn a_rejected_edit_prints_both_differences() {
    let (standin, at) = start_platform(Faults::default()).await;
    let base = write_file("race-base.txt", GROUP);
    let other = write_file("race-other.txt", &format!("{GROUP}{ADAPTER}"));
    let mine = write_file("race-mine.txt", &format!("{GROUP}{LOADS}"));
    assert_eq!(apply(&base, &at, "0", &[]).await.code, Some(0));
    assert_eq!(apply(&other, &at, "1", &[]).await.code, Some(0));

    let base_name = base.display().to_string();
    let output = apply(&mine, &at, "1", &["--base", &base_name]).await;
    assert_eq!(output.code, Some(3));
    assert_eq!(
        output.stderr,
        "not accepted: edited from revision 1, but 2 is in force\n"
    );
    let shown = "changed by others, up to revision 2:\n\
                 + adapter a group=g versions=1 repeatable=no  # asked by Bo\n\
                 1 added, 0 changed, 0 removed\n\
                 from revision 2 to this file:\n\
                 - adapter a group=g versions=1 repeatable=no  # asked by Bo\n\
                 + loads rate=2/s in-flight=4  # asked by Cy\n\
                 1 added, 0 changed, 1 removed\n";
    assert_eq!(output.stdout, shown);
    let output = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(output.stdout, format!("{GROUP}{ADAPTER}"));
    standin.shutdown().await;
}

#[tokio::test]
async fn a_faulty_file_is_not_applied() {
    let (standin, at) = start_platform(Faults::default()).await;
    let faulty = write_file("apply-faulty.txt", "loads rate=1/s in-flight=1\n");
    let output = apply(&faulty, &at, "0", &[]).await;
    assert_eq!(output.code, Some(1));
    assert!(
        output.stderr.contains(":1:27: the rule has no comment"),
        "{}",
        output.stderr
    );
    let output = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(output.stderr, "revision 0: no rules were applied yet\n");
    standin.shutdown().await;
}

#[test_case("lost-answer", Faults { lose_next_answers: 1, ..Faults::default() }; "lost answer")]
#[test_case("two-lost", Faults { lose_next_answers: 2, ..Faults::default() }; "two lost answers")]
#[test_case("late", Faults { late_next_writes: 1, late_ms: 100, ..Faults::default() }; "late write")]
#[tokio::test]
async fn the_outcome_of_a_write_without_a_response_is_found(name: &str, faults: Faults) {
    let (standin, at) = start_platform(faults).await;
    let rules = write_file(&format!("apply-{name}.txt"), GROUP);
    let output = apply(&rules, &at, "0", &[]).await;
    assert_eq!(
        (output.code, &*output.stdout),
        (Some(0), "accepted as revision 1\n")
    );
    let output = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(output.stderr, "revision 1\n");
    standin.shutdown().await;
}

#[tokio::test]
async fn nothing_is_accepted_while_the_platform_is_down() {
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    let (standin, at) = start_platform(faults).await;
    let output = apply(&write_file("apply-down.txt", GROUP), &at, "0", &[]).await;
    assert_eq!(output.code, Some(1));
    assert!(
        output.stderr.starts_with("error: not accepted: "),
        "{}",
        output.stderr
    );
    standin.shutdown().await;
}

/// An entry instance that reports a fixed revision.
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

async fn start_instance(revision: u64) -> (SocketAddr, ServerHandle) {
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
async fn waiting_prints_current_and_outdated_instances() {
    let (standin, at) = start_platform(Faults::default()).await;
    let (current, current_handle) = start_instance(2).await;
    let (old, old_handle) = start_instance(0).await;
    let token_file = write_file("wait-token", "an-example-token\n")
        .display()
        .to_string();
    let rules = write_file("wait.txt", GROUP);

    let one = current.to_string();
    let extra_args = ["--wait", "--operators", &one, "--token-file", &token_file];
    let output = apply(&rules, &at, "0", &extra_args).await;
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let shown = format!(
        "accepted as revision 1\nentry-at-2 ({current}): in force\n\
         revision 1 is in force at all 1 instances\n"
    );
    assert_eq!(output.stdout, shown);

    let both = format!("{current},{old}");
    let extra_args = [
        "--wait",
        "--operators",
        &both,
        "--token-file",
        &token_file,
        "--timeout",
        "3",
    ];
    let output = apply(&rules, &at, "1", &extra_args).await;
    assert_eq!(output.code, Some(4));
    let shown =
        format!("revision 2 is not in force at:\nentry-at-0 ({old}): still at revision 0\n");
    assert_eq!(output.stderr, shown);
    stop(current_handle).await;
    stop(old_handle).await;
    standin.shutdown().await;
}

#[tokio::test]
async fn waiting_without_a_token_changes_nothing() {
    let (standin, at) = start_platform(Faults::default()).await;
    let output = apply(&write_file("wait-none.txt", GROUP), &at, "0", &["--wait"]).await;
    assert_eq!(output.code, Some(2));
    let output = reedford(&["rules", "show", "--platform", &at]).await;
    assert_eq!(output.stderr, "revision 0: no rules were applied yet\n");
    standin.shutdown().await;
}

#[tokio::test]
async fn status_and_adapters_print_the_instance() {
    let (address, handle) = start_instance(2).await;
    let at = address.to_string();
    let token_file = write_file("status-token", "an-example-token\n")
        .display()
        .to_string();
    let output = reedford(&["status", "--operators", &at, "--token-file", &token_file]).await;
    assert_eq!(
        output.stdout,
        "instance=entry-at-2 zone=oulu-a ready=true revision=2 lease=lapsed \
         requests_running=0 members=\n"
    );
    let output = reedford(&["adapters", "--operators", &at, "--token-file", &token_file]).await;
    let shown = format!("instance={at} adapter=a@1 workers=w1,w2 waiting=3\n");
    assert_eq!((output.code, output.stdout), (Some(0), shown));
    stop(handle).await;
    let output = reedford(&["status", "--operators", &at, "--token-file", &token_file]).await;
    assert_eq!(output.code, Some(1));
}
