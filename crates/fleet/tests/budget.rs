//! The retry budget over all nodes.

use reedford_fleet::Now;
use reedford_fleet::budget::{RetryBudget, RetryLimits};
use std::time::Duration;
use test_case::test_case;

const WINDOW: Duration = Duration::from_secs(10);

struct Case {
    nodes: usize,
    calls: usize,
    /// Most repeats of one node that keep the fleet within its budget.
    most: usize,
}

#[test_case(Case { nodes: 1, calls: 0, most: 50 }; "the whole allowance")]
#[test_case(Case { nodes: 10, calls: 0, most: 5 }; "a tenth of it")]
#[test_case(Case { nodes: 10, calls: 100, most: 25 }; "and a share of the calls")]
fn a_node_keeps_to_its_part(case: Case) {
    let mut budget = RetryBudget::new(RetryLimits {
        ratio: 0.2,
        window: WINDOW,
        allowance: 50.0,
    });
    budget.set_node_count(case.nodes);
    for _ in 0..case.calls {
        budget.record_call("s", Now::ZERO);
    }
    let taken = (0..1_000)
        .filter(|_| budget.try_withdraw("s", Now::ZERO))
        .count();
    assert!(taken <= case.most && taken * 4 >= case.most * 3, "{taken}");
    let later = WINDOW + Duration::from_millis(1);
    assert!(
        budget.try_withdraw("s", later),
        "what is past no longer counts"
    );
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(RetryLimits {
        ratio: 0.2,
        window: WINDOW,
        allowance: 2.0,
    });
    budget.set_node_count(1);
    while budget.try_withdraw("a", Now::ZERO) {}
    assert!(budget.try_withdraw("b", Now::ZERO));
}
