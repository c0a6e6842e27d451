//! Compares `reedford_rules::compare_revision` with the specification along
//! random executions: after each step every revision is offered to every
//! instance, and must be newer exactly if the specification lets the instance
//! adopt it.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use reedford_model::configuration::{Action, Execution};
use reedford_rules::{RevisionOrder, RulesDocument, compare_revision};
use std::cmp::Ordering;

/// A step of the specification; `None` once no step is enabled.
type Step = Option<Action>;

struct Specification;

impl ReferenceStateMachine for Specification {
    type State = Execution;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Execution> {
        Just(Execution::initial()).boxed()
    }

    fn transitions(state: &Execution) -> BoxedStrategy<Step> {
        let mut steps: Vec<Step> = state.enabled_actions().into_iter().map(Some).collect();
        if steps.is_empty() {
            steps.push(None);
        }
        prop::sample::select(steps).boxed()
    }

    fn apply(state: Execution, transition: &Step) -> Execution {
        transition
            .and_then(|action| state.after(action))
            .unwrap_or(state)
    }

    fn preconditions(state: &Execution, transition: &Step) -> bool {
        transition.is_none_or(|action| state.after(action).is_some())
    }
}

/// The production rules in force at each instance, `None` while it starts.
type Production = [Option<RulesDocument>; Execution::INSTANCE_COUNT];

struct RevisionsFollowTheSpecification;

impl StateMachineTest for RevisionsFollowTheSpecification {
    type SystemUnderTest = Production;
    type Reference = Specification;

    fn init_test(_: &Execution) -> Production {
        [(); Execution::INSTANCE_COUNT].map(|()| Some(document(0)))
    }

    fn apply(mut state: Production, ref_state: &Execution, transition: Step) -> Production {
        match transition {
            Some(Action::Replace { instance }) => state[instance] = None,
            Some(
                Action::Deliver { instance, revision }
                | Action::StartFromStore { instance, revision }
                | Action::StartFromPeer { instance, revision },
            ) => {
                let offered = document(revision);
                let order = compare_revision(state[instance].as_ref(), &offered);
                assert_eq!(order, RevisionOrder::Newer, "{transition:?}");
                state[instance] = Some(offered);
            }
            Some(
                Action::SendApply { .. }
                | Action::LandApply { .. }
                | Action::AnswerApply { .. }
                | Action::LoseAnswer { .. }
                | Action::ReadBack { .. },
            )
            | None => {}
        }
        for (instance, current) in state.iter().enumerate() {
            check_offers(instance, current.as_ref(), ref_state);
        }
        state
    }
}

fn check_offers(instance: usize, current: Option<&RulesDocument>, execution: &Execution) {
    let in_force = execution.in_force(instance);
    assert_eq!(current.map(|c| c.revision), in_force.map(u64::from));
    // `compare_revision` doesn't restrict the first revision of a starting
    // instance: the code that reads that revision does.
    let Some(current_revision) = in_force else {
        return;
    };
    for revision in 0..=execution.latest_revision() {
        let expected = match revision.cmp(&current_revision) {
            Ordering::Greater => RevisionOrder::Newer,
            Ordering::Equal => RevisionOrder::Same,
            Ordering::Less => RevisionOrder::Older,
        };
        let allowed = execution.after(Action::Deliver { instance, revision });
        let order = compare_revision(current, &document(revision));
        assert_eq!(order, expected, "{revision} over {current_revision}");
        assert_eq!(order == RevisionOrder::Newer, allowed.is_some());
    }
}

fn document(revision: u8) -> RulesDocument {
    RulesDocument::parse(u64::from(revision), "").expect("an empty file has no faults")
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    #[test]
    fn revisions_follow_the_specification(sequential 1..40 => RevisionsFollowTheSpecification);
}
