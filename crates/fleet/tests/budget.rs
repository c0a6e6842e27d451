//! The retry budget of a node as its part of the fleet's budget.

use reedford_fleet::Now;
use reedford_fleet::budget::{RetryBudget, RetryLimits};
use std::time::Duration;
use test_case::test_case;

const WINDOW: Duration = Duration::from_secs(10);

struct BudgetCase {
    nodes: usize,
    calls: usize,
    /// Maximum retries of one node that keep the fleet within its budget.
    max_retries: usize,
}

#[test_case(BudgetCase { nodes: 1, calls: 0, max_retries: 50 }; "the whole allowance")]
#[test_case(BudgetCase { nodes: 10, calls: 0, max_retries: 5 }; "a tenth of it")]
#[test_case(BudgetCase { nodes: 10, calls: 100, max_retries: 25 }; "a tenth of it and a share of the calls")]
fn a_node_keeps_to_its_part_of_the_budget(case: BudgetCase) {
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
    assert!(
        taken <= case.max_retries && taken * 4 >= case.max_retries * 3,
        "{taken}"
    );
    let later = WINDOW + Duration::from_millis(1);
    assert!(
        budget.try_withdraw("s", later),
        "retries before the window no longer count"
    );
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(RetryLimits {
        ratio: 0.2,
        window: WINDOW,
        allowance: 2.0,
    });
    budget.set_node_count(1);
    while budget.try_withdraw("a", Now::ZERO) {}
    assert!(budget.try_withdraw("b", Now::ZERO));
}
