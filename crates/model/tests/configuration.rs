//! The production decision about revisions, driven along random runs of the
//! specification: after each step every revision is offered to every instance,
//! and `reedford_rules::compare_revision` must take exactly those that the specification
//! lets it take.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use reedford_model::configuration::{Action, Walk};
use reedford_rules::{RevisionOrder, RulesDocument, compare_revision};
use std::cmp::Ordering;

/// A step of the specification; `None` once no step is left.
type Step = Option<Action>;

struct Specification;

impl ReferenceStateMachine for Specification {
    type State = Walk;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Walk> {
        Just(Walk::start()).boxed()
    }

    fn transitions(state: &Walk) -> BoxedStrategy<Step> {
        let mut steps: Vec<Step> = state.steps().into_iter().map(Some).collect();
        if steps.is_empty() {
            steps.push(None);
        }
        prop::sample::select(steps).boxed()
    }

    fn apply(state: Walk, transition: &Step) -> Walk {
        transition
            .and_then(|action| state.after(action))
            .unwrap_or(state)
    }

    fn preconditions(state: &Walk, transition: &Step) -> bool {
        transition.is_none_or(|action| state.after(action).is_some())
    }
}

/// The production rules in force at each instance, `None` while it starts.
type Production = [Option<RulesDocument>; Walk::INSTANCES];

struct RevisionsFollowTheSpecification;

impl StateMachineTest for RevisionsFollowTheSpecification {
    type SystemUnderTest = Production;
    type Reference = Specification;

    fn init_test(_: &Walk) -> Production {
        [(); Walk::INSTANCES].map(|()| Some(document(0)))
    }

    fn apply(mut state: Production, ref_state: &Walk, transition: Step) -> Production {
        match transition {
            Some(Action::Replace { instance }) => state[instance] = None,
            Some(
                Action::Deliver { instance, revision }
                | Action::StartFromStore { instance, revision }
                | Action::StartFromPeer { instance, revision },
            ) => {
                let offered = document(revision);
                let adoption = compare_revision(state[instance].as_ref(), &offered);
                assert_eq!(adoption, RevisionOrder::Newer, "{transition:?}");
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

fn check_offers(instance: usize, current: Option<&RulesDocument>, walk: &Walk) {
    let in_force = walk.in_force(instance);
    assert_eq!(current.map(|c| c.revision), in_force.map(u64::from));
    // What a starting instance may take is the reader's rule, not `compare_revision`'s.
    let Some(held) = in_force else {
        return;
    };
    for revision in 0..=walk.newest() {
        let expected = match revision.cmp(&held) {
            Ordering::Greater => RevisionOrder::Newer,
            Ordering::Equal => RevisionOrder::Same,
            Ordering::Less => RevisionOrder::Older,
        };
        let allowed = walk.after(Action::Deliver { instance, revision });
        let adoption = compare_revision(current, &document(revision));
        assert_eq!(adoption, expected, "{revision} over {held}");
        assert_eq!(adoption == RevisionOrder::Newer, allowed.is_some());
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
