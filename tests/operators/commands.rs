//! The operators' commands, and what is told without the token.

use crate::support::{ENTRIES, RULES, ZONES, file, operators, reedford, site};
use reedford_operator::{OperatorRpcClient as _, client};
use reedford_standins::caller::{Call, Caller};
use reedford_standins::site::OPERATOR_TOKEN;
use std::time::Duration;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(5);
const LOOK_AGAIN: Duration = Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread")]
async fn status_and_adapters_show_the_site() {
    let site = site().await;
    let token = file("operators-shown", OPERATOR_TOKEN);
    let token = token.to_str().expect("unicode");
    let call = Call::chat("costing@1", "What does it cost?", false);
    let answer = Caller::default().send(site.callers("entry-1"), &call).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let target = answer.header("x-target");

    let at = operators(&site);
    let ran = reedford(&["status", "--operators", &at, "--token-file", token]).await;
    assert_eq!((ran.code, &*ran.stderr), (Some(0), ""));
    for (entry, zone) in ENTRIES.iter().zip(ZONES) {
        let line = format!("instance={entry} zone={zone} ready=true revision=1 lease=held_for_");
        assert!(ran.stdout.contains(&line), "{}", ran.stdout);
        let line = format!("  worker=engine-{zone} zone={zone} owner={entry} epoch=1 ");
        assert_eq!(ran.stdout.matches(&line).count(), 2, "{}", ran.stdout);
    }

    let resident = format!(" adapter=costing@1 workers={target} waiting=0\n");
    loop {
        let ran = reedford(&["adapters", "--operators", &at, "--token-file", token]).await;
        assert_eq!((ran.code, &*ran.stderr), (Some(0), ""));
        if ran.stdout.matches(&resident).count() == ENTRIES.len() {
            break;
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }

    let address = site.entries["entry-2"].operators();
    let client = client(address, OPERATOR_TOKEN, TIMEOUT).expect("a client");
    let rules = client.rules().await.expect("the rules");
    assert_eq!((rules.revision, &*rules.text), (1, RULES));
    site.stop().await.expect("a stop");
}

#[tokio::test(flavor = "multi_thread")]
async fn applied_rules_are_waited_for() {
    let site = site().await;
    let token = file("operators-apply", OPERATOR_TOKEN);
    let more = "adapter handbook group=engines versions=2 repeatable=yes # asked by Bo\n";
    let rules = file("operators-rules.txt", &format!("{RULES}{more}"));
    let platform = site.platform.control().to_string();
    let ran = reedford(&[
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
    assert_eq!(ran.code, Some(0), "{}", ran.stderr);
    assert!(
        ran.stdout.starts_with("accepted as revision 2\n"),
        "{}",
        ran.stdout
    );
    for entry in ENTRIES {
        let call = Call::chat("handbook@2", "Which page?", false);
        let answer = Caller::default().send(site.callers(entry), &call).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.header("x-rules-revision"), "2");
    }
    site.stop().await.expect("a stop");
}

#[test_case(None; "no token")]
#[test_case(Some("Bearer another-token-of-some-length"); "another token")]
#[test_case(Some("Bearer operators-of-the-sit"); "a part of the token")]
#[test_case(Some("operators-of-the-site"); "the token without its scheme")]
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_told_without_the_token(authorization: Option<&str>) {
    let site = site().await;
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
        let answer = Caller::default().send(operators, &call).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 401);
        assert_eq!(answer.body, "unauthorized");
    }
    site.stop().await.expect("a stop");
}

#[test_case("status"; "status")]
#[test_case("adapters"; "adapters")]
#[tokio::test(flavor = "multi_thread")]
async fn a_command_with_a_wrong_token_fails(command: &str) {
    let site = site().await;
    let token = file(&format!("operators-wrong-{command}"), "another-token-of-it");
    let token = token.to_str().expect("unicode");
    let at = operators(&site);
    let ran = reedford(&[command, "--operators", &at, "--token-file", token]).await;
    assert_eq!((ran.code, &*ran.stdout), (Some(1), ""));
    assert_eq!(ran.stderr.lines().count(), ENTRIES.len(), "{}", ran.stderr);
    assert!(ran.stderr.contains("401"), "{}", ran.stderr);
    site.stop().await.expect("a stop");
}
