//! Operators racing, and revisions that only rise and come into force
//! everywhere.

use crate::scene::{RULES, Scene, ZONES, until};
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

/// Operators at once.
const OPERATORS: usize = 5;
/// Revisions that each tries to make.
const TRIES: usize = 6;

type Operations = Arc<Mutex<Vec<(usize, Action<CasOperation>)>>>;
type Documents = Arc<DocumentStore<HttpKeyValue>>;

/// An operator who reads, edits and applies.
struct Operator {
    number: usize,
    documents: Documents,
    operations: Operations,
}

#[test_case(Faults::default(); "without faults")]
#[test_case(Faults { lose_next_answers: 12, ..Faults::default() }; "with answers lost")]
#[test_case(Faults { cut_zones: BTreeSet::from([ZONES[0].into()]), ..Faults::default() }; "with a zone cut")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn operators_race(faults: Faults) {
    let mut scene = Scene::start().await;
    let load = scene.load();
    scene.note_revisions().await;
    scene.platform_faults(&faults).await;
    let endpoint = Arc::new(Endpoint::new(EndpointConfig {
        addresses: vec![scene.site.platform.control()],
        connect_timeout: Duration::from_secs(1),
        call_timeout: Duration::from_secs(5),
        watch_timeout: Duration::from_secs(30),
    }));
    let kv = Arc::new(HttpKeyValue::new(Arc::clone(&endpoint)));
    let documents: Documents = Arc::new(DocumentStore::new(kv, RULES_PREFIX));

    // The site applied the first revision.
    let first = CasOperation::Applied { from: 0, to: 1 };
    let operations: Operations = Arc::default();
    let known = [(0, Action::Call(first)), (0, Action::Response(first))];
    operations.lock().unwrap().extend(known);
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
        scene.note_revisions().await;
    }
    let last = documents.revision().await.unwrap();
    assert!(last > 1);
    until("the last revision is in force everywhere", async || {
        scene.note_revisions().await == last
    })
    .await;
    scene.history.last_revision = Some(last);
    load.stop().await;
    endpoint.close().await;
    scene.platform_faults(&Faults::default()).await;
    let (_, broken) = scene.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    let operations = operations.lock().unwrap().clone();
    assert!(revisions_linearizable(operations.clone()), "{operations:?}");
}

impl Operator {
    async fn run(self) {
        for turn in 0..TRIES {
            // What a call does is known at its end; a checker needs the call
            // only to know when it began.
            let begun = self.begin(CasOperation::Read(0));
            let from = self.documents.revision().await.unwrap();
            self.end(begun, CasOperation::Read(from));
            let text = format!("{RULES}# edited by {} in turn {turn}\n", self.number);
            let token = format!("operator-{}-{turn}", self.number);
            let begun = self.begin(CasOperation::Read(0));
            let done = match self.documents.apply(from, &text, &token).await.unwrap() {
                ApplyOutcome::Applied { revision } => CasOperation::Applied { from, to: revision },
                ApplyOutcome::LostRace { current } => CasOperation::Conflict { from, current },
                ApplyOutcome::StillUnknown => panic!("the answer was lost for good"),
            };
            self.end(begun, done);
        }
    }

    fn begin(&self, op: CasOperation) -> usize {
        let mut operations = self.operations.lock().unwrap();
        operations.push((self.number + 1, Action::Call(op)));
        operations.len() - 1
    }

    fn end(&self, begun: usize, op: CasOperation) {
        let mut operations = self.operations.lock().unwrap();
        operations[begun].1 = Action::Call(op);
        operations.push((self.number + 1, Action::Response(op)));
    }
}
