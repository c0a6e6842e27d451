//! Operators apply rules concurrently. Guards against lost updates, and against
//! instances that return to an older revision or never reach the last one.

use crate::test_site::{RULES, TestSite, ZONES, wait_until};
use reedford_serve::RULES_PREFIX;
use reedford_standins::history::{CasOperation, revisions_linearizable};
use reedford_standins::platform::Faults;
use reedford_store::{ApplyOutcome, DocumentStore, Endpoint, EndpointConfig, HttpKeyValue};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use test_case::test_case;
use todc_utils::Action;
use tokio::task::JoinSet;

/// Number of concurrent operators.
const OPERATORS: usize = 5;
/// Revisions that each operator tries to apply.
const APPLIES: usize = 6;

type Operations = Arc<Mutex<Vec<(usize, Action<CasOperation>)>>>;
type Documents = Arc<DocumentStore<HttpKeyValue>>;

/// An operator who repeatedly reads, edits and applies the rules.
struct Operator {
    number: usize,
    documents: Documents,
    operations: Operations,
}

#[test_case(Faults::default(); "without faults")]
#[test_case(Faults { lose_next_answers: 12, ..Faults::default() }; "with responses lost")]
#[test_case(Faults { cut_zones: BTreeSet::from([ZONES[0].into()]), ..Faults::default() }; "with a zone cut")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn operators_race(faults: Faults) {
    let mut test = TestSite::start().await;
    let traffic = test.start_traffic();
    test.record_revisions().await;
    test.set_platform_faults(&faults).await;
    let endpoint = Arc::new(Endpoint::new(EndpointConfig {
        addresses: vec![test.site.platform.control()],
        connect_timeout: Duration::from_secs(1),
        call_timeout: Duration::from_secs(5),
        watch_timeout: Duration::from_secs(30),
    }));
    let kv = Arc::new(HttpKeyValue::new(Arc::clone(&endpoint)));
    let documents: Documents = Arc::new(DocumentStore::new(kv, RULES_PREFIX));

    // The site applied revision 1 when it started.
    let first = CasOperation::Applied { from: 0, to: 1 };
    let operations: Operations = Arc::default();
    let initial = [(0, Action::Call(first)), (0, Action::Response(first))];
    operations.lock().unwrap().extend(initial);
    let mut operators = JoinSet::new();
    for number in 0..OPERATORS {
        let operator = Operator {
            number,
            documents: Arc::clone(&documents),
            operations: Arc::clone(&operations),
        };
        operators.spawn(operator.run());
    }
    while !operators.is_empty() {
        tokio::select! {
            joined = operators.join_next() => joined.unwrap().unwrap(),
            () = tokio::time::sleep(Duration::from_millis(50)) => {}
        }
        test.record_revisions().await;
    }
    let last = documents.revision().await.unwrap();
    assert!(last > 1);
    wait_until("the last revision is in force everywhere", async || {
        test.record_revisions().await == last
    })
    .await;
    test.history.last_revision = Some(last);
    traffic.stop().await;
    endpoint.close().await;
    test.set_platform_faults(&Faults::default()).await;
    let (_, broken) = test.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    let operations = operations.lock().unwrap().clone();
    assert!(revisions_linearizable(operations.clone()), "{operations:?}");
}

impl Operator {
    async fn run(self) {
        for round in 0..APPLIES {
            // The result of an operation is known only at its end; `end` puts
            // it into the call, whose position records the start.
            let index = self.begin(CasOperation::Read(0));
            let from = self.documents.revision().await.unwrap();
            self.end(index, CasOperation::Read(from));
            let text = format!("{RULES}# edited by {} in turn {round}\n", self.number);
            let token = format!("operator-{}-{round}", self.number);
            let index = self.begin(CasOperation::Read(0));
            let result = match self.documents.apply(from, &text, &token).await.unwrap() {
                ApplyOutcome::Applied { revision } => CasOperation::Applied { from, to: revision },
                ApplyOutcome::LostRace { current } => CasOperation::Conflict { from, current },
                ApplyOutcome::StillUnknown => panic!("the outcome of the apply stayed unknown"),
            };
            self.end(index, result);
        }
    }

    fn begin(&self, op: CasOperation) -> usize {
        let mut operations = self.operations.lock().unwrap();
        operations.push((self.number + 1, Action::Call(op)));
        operations.len() - 1
    }

    fn end(&self, index: usize, op: CasOperation) {
        let mut operations = self.operations.lock().unwrap();
        operations[index].1 = Action::Call(op);
        operations.push((self.number + 1, Action::Response(op)));
    }
}
