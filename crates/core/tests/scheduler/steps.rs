//! The steps of a random simulation run.

use super::support::POLICY;
use proptest::prelude::*;
use reedford_core::lease::LeaseState;
use reedford_core::scheduler::Policy;
use reedford_rules::{Class, Eviction, LoadOrdering};

/// The adapters of a run, more than the engine has slots.
pub const ADAPTERS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// An event of a run. An index selects, modulo their number, one of the requests,
/// turns or orders that the event can apply to.
#[derive(Clone, Debug)]
pub enum Step {
    Advance(u64),
    Request {
        adapter: usize,
        class: Class,
        remaining: u64,
    },
    Withdraw(usize),
    Dispatch(usize),
    Finish(usize),
    LoseConnection(usize),
    OrphanEnds(usize),
    PreviousOwnerSends(usize),
    ListingSent,
    ListingArrives,
    TurnGranted(usize),
    TurnLost(usize),
    TurnTooLate {
        which: usize,
        wait: u64,
    },
    UnrequestedTurn(usize),
    OrderEnds {
        which: usize,
        outcome: OrderOutcome,
    },
    LateEviction(usize),
    Lease(LeaseState),
    Restart,
    HandOver,
}

/// How an order ends.
#[derive(Clone, Copy, Debug)]
pub enum OrderOutcome {
    Done,
    Refused,
    ResponseLost,
}

pub fn step() -> impl Strategy<Value = Step> {
    let any = 0..16_usize;
    let adapter = 0..ADAPTERS.len();
    let class = prop::sample::select(vec![Class::Lookup, Class::Standard, Class::Writing]);
    let outcome = prop_oneof![
        10 => Just(OrderOutcome::Done),
        1 => Just(OrderOutcome::Refused),
        1 => Just(OrderOutcome::ResponseLost),
    ];
    let lease = prop::sample::select(vec![
        LeaseState::Held,
        LeaseState::Held,
        LeaseState::Held,
        LeaseState::Held,
        LeaseState::ResidentOnly,
        LeaseState::Lapsed,
    ]);
    let request =
        (adapter.clone(), class, 300..6_000_u64).prop_map(|(adapter, class, remaining)| {
            Step::Request {
                adapter,
                class,
                remaining,
            }
        });
    let too_late =
        (any.clone(), 0..3_000_u64).prop_map(|(which, wait)| Step::TurnTooLate { which, wait });
    prop_oneof![
        16 => (1..300_u64).prop_map(Step::Advance),
        24 => request,
        1 => any.clone().prop_map(Step::Withdraw),
        24 => any.clone().prop_map(Step::Dispatch),
        20 => any.clone().prop_map(Step::Finish),
        2 => any.clone().prop_map(Step::LoseConnection),
        8 => any.clone().prop_map(Step::OrphanEnds),
        2 => adapter.clone().prop_map(Step::PreviousOwnerSends),
        16 => Just(Step::ListingSent),
        16 => Just(Step::ListingArrives),
        20 => any.clone().prop_map(Step::TurnGranted),
        1 => any.clone().prop_map(Step::TurnLost),
        1 => too_late,
        1 => adapter.prop_map(Step::UnrequestedTurn),
        30 => (any.clone(), outcome).prop_map(|(which, outcome)| Step::OrderEnds { which, outcome }),
        2 => any.prop_map(Step::LateEviction),
        2 => lease.prop_map(Step::Lease),
        1 => Just(Step::Restart),
        1 => Just(Step::HandOver),
    ]
}

pub fn policy() -> impl Strategy<Value = Policy> {
    let eviction = prop::sample::select(vec![Eviction::Frequency, Eviction::Lru]);
    let ordering = prop::sample::select(vec![LoadOrdering::Value, LoadOrdering::Fifo]);
    (eviction, ordering).prop_map(|(eviction, load_ordering)| Policy {
        eviction,
        load_ordering,
        ..POLICY
    })
}
