//! The protocol without mutation keeps its invariants in every reachable state,
//! and each mutation violates one.

use reedford_model::spec::Spec;
use test_case::test_case;

struct Case {
    spec: Spec,
    /// Minimum number of states that the searches have to visit together, so that
    /// a change that cuts a search short fails the test.
    min_states: usize,
}

#[test_case(Case { spec: Spec::Ownership, min_states: 3_300_000 }; "ownership")]
#[test_case(Case { spec: Spec::Permits, min_states: 5_500_000 }; "permits")]
#[test_case(Case { spec: Spec::Claims, min_states: 40_000 }; "claims")]
#[test_case(Case { spec: Spec::Configuration, min_states: 600 }; "configuration")]
#[test_case(Case { spec: Spec::Orders, min_states: 1_100_000 }; "orders")]
#[test_case(Case { spec: Spec::Coordinator, min_states: 2_600_000 }; "coordinator")]
fn protocol_without_mutation_keeps_its_invariants(case: Case) {
    let mut states = 0;
    for outcome in case.spec.check() {
        println!(
            "{:?}, {}: {} states",
            case.spec, outcome.case, outcome.states
        );
        if let Some(trace) = outcome.counterexample {
            panic!("{}\n{trace}", outcome.case);
        }
        states += outcome.states;
    }
    assert!(states >= case.min_states, "only {states} states");
}

#[test_case(Spec::Ownership; "ownership")]
#[test_case(Spec::Permits; "permits")]
#[test_case(Spec::Claims; "claims")]
#[test_case(Spec::Configuration; "configuration")]
#[test_case(Spec::Orders; "orders")]
#[test_case(Spec::Coordinator; "coordinator")]
fn each_mutation_breaks_an_invariant(spec: Spec) {
    let mutations = spec.mutations();
    assert!(!mutations.is_empty());
    for name in mutations {
        let outcomes = spec.check_mutation(&name).expect("a listed mutation");
        let trace = outcomes.last().and_then(|o| o.counterexample.as_ref());
        let trace = trace.unwrap_or_else(|| panic!("{name} has no counterexample"));
        println!("{name}: {} steps", trace.steps.len());
        assert!(spec.invariants().contains(&trace.invariant));
    }
}

#[test]
fn unknown_mutation_is_refused() {
    assert!(Spec::Claims.check_mutation("NoSuchMutation").is_none());
}
