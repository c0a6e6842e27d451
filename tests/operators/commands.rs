//! The operators' commands, and calls without the token.

use crate::support::{ENTRIES, RULES, ZONES, operators, reedford, start_site, write_file};
use reedford_operator::{OperatorRpcClient as _, client};
use reedford_standins::caller::{Call, Caller};
use reedford_standins::site::OPERATOR_TOKEN;
use std::time::Duration;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread")]
async fn status_and_adapters_print_the_site() {
    let site = start_site().await;
    let token = write_file("operators-shown", OPERATOR_TOKEN);
    let token = token.to_str().expect("unicode");
    let call = Call::chat("costing@1", "What does it cost?", false);
    let response = Caller::default().send(site.callers("entry-1"), &call).await;
    let response = response.expect("a response");
    assert_eq!(response.status, 200, "{}", response.body);
    let target = response.header("x-target");

    let at = operators(&site);
    let output = reedford(&["status", "--operators", &at, "--token-file", token]).await;
    assert_eq!((output.code, &*output.stderr), (Some(0), ""));
    for (entry, zone) in ENTRIES.iter().zip(ZONES) {
        let line = format!("instance={entry} zone={zone} ready=true revision=1 lease=held_for_");
        assert!(output.stdout.contains(&line), "{}", output.stdout);
        let line = format!("  worker=engine-{zone} zone={zone} owner={entry} epoch=1 ");
        assert_eq!(output.stdout.matches(&line).count(), 2, "{}", output.stdout);
    }

    let resident = format!(" adapter=costing@1 workers={target} waiting=0\n");
    loop {
        let output = reedford(&["adapters", "--operators", &at, "--token-file", token]).await;
        assert_eq!((output.code, &*output.stderr), (Some(0), ""));
        if output.stdout.matches(&resident).count() == ENTRIES.len() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    let address = site.entries["entry-2"].operators();
    let client = client(address, OPERATOR_TOKEN, TIMEOUT).expect("a client");
    let rules = client.rules().await.expect("the rules");
    assert_eq!((rules.revision, &*rules.text), (1, RULES));
    site.stop().await.expect("a stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_waits_until_the_rules_are_in_force() {
    let site = start_site().await;
    let token = write_file("operators-apply", OPERATOR_TOKEN);
    let added_rule = "adapter handbook group=engines versions=2 repeatable=yes # asked by Bo\n";
    let rules = write_file("operators-rules.txt", &format!("{RULES}{added_rule}"));
    let platform = site.platform.control().to_string();
    let output = reedford(&[
        "rules",
        "apply",
        rules.to_str().expect("unicode"),
        "--platform",
        &platform,
        "--from",
        "1",
        "--wait",
        "--operators",
        &operators(&site),
        "--token-file",
        token.to_str().expect("unicode"),
    ])
    .await;
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert!(
        output.stdout.starts_with("accepted as revision 2\n"),
        "{}",
        output.stdout
    );
    for entry in ENTRIES {
        let call = Call::chat("handbook@2", "Which page?", false);
        let response = Caller::default().send(site.callers(entry), &call).await;
        let response = response.expect("a response");
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.header("x-rules-revision"), "2");
    }
    site.stop().await.expect("a stop");
}

#[test_case(None; "no token")]
#[test_case(Some("Bearer another-token-of-some-length"); "another token")]
#[test_case(Some("Bearer operators-of-the-sit"); "a part of the token")]
#[test_case(Some("operators-of-the-site"); "the token without its scheme")]
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_the_token_are_rejected(authorization: Option<&str>) {
    let site = start_site().await;
    let operators = site.entries["entry-1"].operators();
    for method in ["status", "adapters", "rules"] {
        let mut call = Call {
            path: "/".to_owned(),
            body: format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}","params":[]}}"#),
            ..Call::default()
        };
        if let Some(value) = authorization {
            call = call.with_header("authorization", value);
        }
        let response = Caller::default().send(operators, &call).await;
        let response = response.expect("a response");
        assert_eq!(response.status, 401);
        assert_eq!(response.body, "unauthorized");
    }
    site.stop().await.expect("a stop");
}

#[test_case("status"; "status")]
#[test_case("adapters"; "adapters")]
#[tokio::test(flavor = "multi_thread")]
async fn a_command_with_a_wrong_token_fails(command: &str) {
    let site = start_site().await;
    let token = write_file(&format!("operators-wrong-{command}"), "another-token-of-it");
    let token = token.to_str().expect("unicode");
    let at = operators(&site);
    let output = reedford(&[command, "--operators", &at, "--token-file", token]).await;
    assert_eq!((output.code, &*output.stdout), (Some(1), ""));
    assert_eq!(
        output.stderr.lines().count(),
        ENTRIES.len(),
        "{}",
        output.stderr
    );
    assert!(output.stderr.contains("401"), "{}", output.stderr);
    site.stop().await.expect("a stop");
}
