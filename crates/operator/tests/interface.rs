//! The operators' interface over a loopback connection.

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};
use reedford_operator::{
    AdapterStatus, InstanceStatus, LeaseStatus, OperatorRpcClient, OperatorRpcServer, RulesInForce,
    WorkerStatus, bearer_header, bearer_matches, client,
};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const TOKEN: &str = "an-example-token";
const TIMEOUT: Duration = Duration::from_secs(10);

struct FakeInstance;

fn status() -> InstanceStatus {
    InstanceStatus {
        instance: "entry-1".into(),
        zone: "oulu-a".into(),
        ready: true,
        revision: 7,
        members: vec!["entry-1".into()],
        workers: vec![WorkerStatus {
            worker: "w1".into(),
            zone: "oulu-a".into(),
            owner: None,
            epoch: 2,
            resident: vec!["a@1".into()],
            running: 3,
            waiting: 0,
            free_slots: 1,
        }],
        lease: LeaseStatus::Held { left_ms: 900 },
        requests_running: 4,
    }
}

#[async_trait]
impl OperatorRpcServer for FakeInstance {
    async fn status(&self) -> RpcResult<InstanceStatus> {
        Ok(status())
    }

    async fn adapters(&self) -> RpcResult<Vec<AdapterStatus>> {
        Ok(Vec::new())
    }

    async fn rules(&self) -> RpcResult<RulesInForce> {
        Ok(RulesInForce {
            revision: 7,
            text: "# none\n".into(),
        })
    }
}

async fn serve() -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await;
    let server = server.expect("a free port");
    let address = server.local_addr().expect("bound");
    (address, server.start(FakeInstance.into_rpc()))
}

#[tokio::test]
async fn responses_arrive_unchanged() {
    let (address, handle) = serve().await;
    let client = client(address, TOKEN, TIMEOUT).expect("a client");
    assert_eq!(client.status().await.expect("status"), status());
    assert_eq!(client.adapters().await.expect("adapters"), []);
    assert_eq!(client.rules().await.expect("rules").revision, 7);
    handle.stop().expect("running");
    handle.stopped().await;
}

#[test]
fn a_token_that_a_header_cannot_carry_is_rejected() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    assert!(client(address, "a\nb", TIMEOUT).is_err());
}

#[test]
fn the_lease_status_is_serialized_with_its_state() {
    let json = serde_json::to_string(&LeaseStatus::Lapsed).expect("serializes");
    assert_eq!(json, r#"{"state":"lapsed"}"#);
}

#[test_case(None, false; "no header")]
#[test_case(Some("Bearer an-example-token"), true; "the token")]
#[test_case(Some("Bearer an-example-toke"), false; "a shorter one")]
#[test_case(Some("Bearer an-example-tokens"), false; "a longer one")]
#[test_case(Some("Bearer an-example-tokem"), false; "another one")]
#[test_case(Some("an-example-token"), false; "no scheme")]
#[test_case(Some("Bearer "), false; "empty")]
fn the_header_must_carry_the_token(header: Option<&str>, expected: bool) {
    assert_eq!(bearer_matches(header.map(str::as_bytes), TOKEN), expected);
}

#[test]
fn the_sent_header_is_accepted() {
    assert!(bearer_matches(Some(bearer_header(TOKEN).as_bytes()), TOKEN));
}
