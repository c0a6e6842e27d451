//! Idle connections and the calls that failed on them.

use reedford_targets::{CallKey, Connection, Pool, Reuse};
use std::time::Duration;
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};

const CALL: CallKey = 7;
const OTHER: CallKey = 8;

/// A target that accepts connections and sends nothing.
struct Target {
    listener: TcpListener,
    accepted: Vec<TcpStream>,
}

impl Target {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        Self {
            listener: listener.expect("a free port can be bound"),
            accepted: Vec::new(),
        }
    }

    async fn acquire(&mut self, pool: &Pool, reuse: Reuse) -> Connection {
        let addr = self.listener.local_addr().expect("an address");
        let mut acquiring = std::pin::pin!(pool.acquire(addr, reuse));
        let conn = loop {
            tokio::select! {
                conn = &mut acquiring => break conn,
                accepted = self.listener.accept() => {
                    self.accepted.push(accepted.expect("a connection").0);
                }
            }
        };
        conn.expect("the target accepts connections")
    }
}

struct Case {
    /// Calls that failed on each of the idle connections.
    failed: &'static [&'static [CallKey]],
    reuse: Reuse,
    /// The connection that is used, if it is one of them.
    used: Option<usize>,
}

/// Guards against a call on a connection whose target may send a copy of the call's earlier
/// rejection, and against connections that are not used again for no reason.
#[test_case(Case { failed: &[&[]], reuse: Reuse::AllowedFor(CALL), used: Some(0) }; "nothing failed")]
#[test_case(Case { failed: &[&[CALL]], reuse: Reuse::AllowedFor(CALL), used: None }; "the call failed")]
#[test_case(Case { failed: &[&[OTHER]], reuse: Reuse::AllowedFor(CALL), used: Some(0) }; "another call failed")]
#[test_case(Case { failed: &[&[OTHER, CALL, OTHER]], reuse: Reuse::AllowedFor(CALL), used: None }; "the call and others failed")]
#[test_case(Case { failed: &[&[OTHER], &[CALL]], reuse: Reuse::AllowedFor(CALL), used: Some(0) }; "failed on the last one")]
#[test_case(Case { failed: &[&[CALL], &[CALL]], reuse: Reuse::AllowedFor(CALL), used: None }; "failed on both")]
#[test_case(Case { failed: &[&[CALL]], reuse: Reuse::Allowed, used: Some(0) }; "a request that is no call")]
#[test_case(Case { failed: &[&[]], reuse: Reuse::Never, used: None }; "a request on a connection of its own")]
#[tokio::test]
async fn a_call_uses_no_connection_on_which_it_failed(case: Case) {
    let pool = Pool::new(Duration::from_secs(1));
    let mut target = Target::start().await;
    let mut conns = Vec::new();
    for failed in case.failed {
        let mut conn = target.acquire(&pool, Reuse::Never).await;
        failed.iter().for_each(|call| conn.record_failure(*call));
        conns.push(conn);
    }
    let ids: Vec<_> = conns.iter().map(|conn| conn.id).collect();
    conns.into_iter().for_each(|conn| pool.put(conn));
    let conn = target.acquire(&pool, case.reuse).await;
    let used = ids.iter().position(|id| *id == conn.id);
    assert_eq!(used, case.used);
    drop(conn);
    pool.close().await;
}

/// Load pattern: an instance sheds calls for long. Guards against a connection that forgets a
/// call, and against one whose memory grows with each rejection.
#[tokio::test]
async fn a_connection_with_many_failures_is_closed_and_forgets_none() {
    let pool = Pool::new(Duration::from_secs(1));
    let mut target = Target::start().await;
    let mut conn = target.acquire(&pool, Reuse::Never).await;
    let first = conn.id;
    let mut failures = 0;
    while conn.id == first {
        conn.record_failure(failures);
        // One that fails again counts once.
        conn.record_failure(failures);
        failures += 1;
        let remembered = (0..failures).all(|call| conn.has_failed(call));
        assert!(remembered, "after {failures} failures");
        pool.put(conn);
        conn = target.acquire(&pool, Reuse::AllowedFor(failures)).await;
    }
    assert_eq!(failures, 64);
    drop(conn);
    pool.close().await;
}
