//! Proofs of ownership, and promises to peers.

use reedford_core::lease::{GivenPromises, Lease, LeaseState, LeaseTimes};
use reedford_core::{Incarnation, InstanceId, Now};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const TIMES: LeaseTimes = LeaseTimes {
    lease: ms(3_000),
    margin: ms(300),
    grace: ms(2_000),
    dispatch: ms(1_000),
    joiner: ms(30_000),
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Copy)]
enum Event {
    /// Time at which a table read was sent, and the other members that it listed.
    Read(u64, &'static [(&'static str, Incarnation)]),
    /// The promising instance, its run, and the time at which the summary that it
    /// responds to was sent.
    Promise(&'static str, Incarnation, u64),
    /// A table read that does not list this instance.
    Lost,
}
use Event::{Lost, Promise, Read};

struct Case {
    events: &'static [Event],
    /// End of the proof in milliseconds; `None` if there is no proof.
    until: Option<u64>,
}

const BOTH: &[(&str, Incarnation)] = &[("b", 1), ("c", 1)];

#[test_case(Case { events: &[], until: None }; "nothing")]
#[test_case(Case { events: &[Read(1_000, &[])], until: Some(4_000) }; "a read, counted from sending")]
#[test_case(Case {
    events: &[Read(2_000, &[]), Read(1_000, BOTH)],
    until: Some(5_000),
}; "an older read whose response arrives later")]
#[test_case(Case {
    events: &[Read(2_000, &[("b", 1)]), Read(1_000, BOTH), Promise("b", 1, 9_000)],
    until: Some(12_000),
}; "the members of an older read do not count")]
#[test_case(Case { events: &[Promise("b", 1, 1_000)], until: None }; "promises without a read")]
#[test_case(Case {
    events: &[Read(1_000, BOTH), Promise("b", 1, 6_000), Promise("c", 1, 5_000)],
    until: Some(8_000),
}; "all members promise, the oldest promise counts")]
#[test_case(Case {
    events: &[Read(1_000, BOTH), Promise("b", 1, 6_000)],
    until: Some(4_000),
}; "one member does not promise")]
#[test_case(Case {
    events: &[Read(1_000, BOTH), Promise("b", 1, 6_000), Promise("c", 2, 6_000)],
    until: Some(4_000),
}; "another run of a member promises")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("d", 1, 6_000)],
    until: Some(4_000),
}; "an instance outside the table promises")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("b", 1, 6_000), Promise("b", 1, 5_000)],
    until: Some(9_000),
}; "an older promise that arrives later")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("b", 1, 40_000)],
    until: Some(31_000),
}; "promises replace reads for a limited time")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("b", 1, 6_000), Read(2_000, &[("b", 2)])],
    until: Some(5_000),
}; "the promising member has restarted")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("b", 1, 6_000), Read(2_000, BOTH)],
    until: Some(5_000),
}; "a member has joined")]
#[test_case(Case {
    events: &[Read(1_000, BOTH), Promise("b", 1, 6_000), Read(2_000, &[("b", 1)])],
    until: Some(9_000),
}; "the member that did not promise has left")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("b", 1, 6_000), Lost],
    until: None,
}; "the membership was lost")]
#[test_case(Case {
    events: &[Read(1_000, &[("b", 1)]), Promise("b", 1, 6_000), Lost, Read(2_000, &[("b", 1)])],
    until: Some(5_000),
}; "promises from before the loss do not count")]
fn a_lease_holds_as_long_as_it_is_proved(case: Case) {
    let mut lease = Lease::new(TIMES);
    for event in case.events {
        match event {
            Read(sent, others) => {
                let others = others.iter().map(|(id, run)| (InstanceId::from(*id), *run));
                lease.on_table_read(ms(*sent), others.collect::<BTreeMap<_, _>>());
            }
            Promise(from, run, sent) => lease.on_promise(&(*from).into(), *run, ms(*sent)),
            Lost => lease.on_membership_lost(),
        }
    }
    assert_eq!(lease.proved_until(), case.until.map(ms));
    let Some(until) = case.until.map(ms) else {
        assert_eq!(lease.state(Duration::ZERO), LeaseState::Lapsed);
        return;
    };
    let tick = Duration::from_nanos(1);
    assert_eq!(lease.state(until - tick), LeaseState::Held);
    assert_eq!(lease.state(until), LeaseState::ResidentOnly);
    assert_eq!(
        lease.state(until + TIMES.grace - tick),
        LeaseState::ResidentOnly
    );
    assert_eq!(lease.state(until + TIMES.grace), LeaseState::Lapsed);
}

#[test]
fn a_claimant_waits_out_an_owner_that_read_the_table_just_before_the_swap() {
    let swapped = ms(10_000);
    let mut owner = Lease::new(TIMES);
    owner.on_table_read(swapped, BTreeMap::new());
    assert!(owner.state(swapped + TIMES.claim_wait()) < LeaseState::Held);
    let last_dispatch = swapped + TIMES.evict_wait() - TIMES.dispatch;
    assert_eq!(owner.state(last_dispatch), LeaseState::Lapsed);
}

#[test]
fn a_joiner_waits_out_an_owner_that_holds_its_lease_by_promises() {
    let swapped = ms(10_000);
    let mut owner = Lease::new(TIMES);
    owner.on_table_read(swapped, BTreeMap::from([("b".into(), 1)]));
    for sent in (0..60).map(|s| swapped + ms(s * 1_000)) {
        owner.on_promise(&"b".into(), 1, sent);
    }
    assert_eq!(
        owner.state(swapped + TIMES.joiner - ms(1)),
        LeaseState::Held
    );
    let last_dispatch = swapped + TIMES.joiner_wait() - TIMES.dispatch;
    assert_eq!(owner.state(last_dispatch), LeaseState::Lapsed);
}

/// Whether the workers of `b` may be claimed after the steps.
struct ClaimCase {
    steps: fn(&mut GivenPromises),
    at: Now,
    may_claim: bool,
}

const GIVEN_AT: Now = ms(1_000);
const ENDS_AT: Now = ms(4_300);

fn give(promises: &mut GivenPromises) -> bool {
    promises.give(&"b".into(), GIVEN_AT, &TIMES)
}

#[test_case(ClaimCase { steps: |_| {}, at: ms(0), may_claim: false }; "a promise could still be given")]
#[test_case(ClaimCase { steps: |p| p.refuse(&"b".into()), at: ms(0), may_claim: true }; "refused, and never promised")]
#[test_case(ClaimCase { steps: |p| p.refuse(&"c".into()), at: ms(0), may_claim: false }; "another instance is refused")]
#[test_case(ClaimCase {
    steps: |p| { give(p); },
    at: ENDS_AT,
    may_claim: false,
}; "the promise has ended but may be given again")]
#[test_case(ClaimCase {
    steps: |p| { give(p); p.refuse(&"b".into()); },
    at: ENDS_AT - ms(1),
    may_claim: false,
}; "refused, the promise is in force")]
#[test_case(ClaimCase {
    steps: |p| { give(p); p.refuse(&"b".into()); },
    at: ENDS_AT,
    may_claim: true,
}; "refused, and the promise has ended")]
#[test_case(ClaimCase {
    steps: |p| { give(p); p.refuse(&"b".into()); assert!(!give(p)); },
    at: ENDS_AT,
    may_claim: true,
}; "a promise that was refused does not count")]
#[test_case(ClaimCase {
    steps: |p| { give(p); p.refuse(&"b".into()); p.allow(&"b".into()); assert!(give(p)); },
    at: ENDS_AT,
    may_claim: false,
}; "allowed and promised again")]
fn a_takeover_waits_for_the_end_of_promises(case: ClaimCase) {
    let mut promises = GivenPromises::default();
    (case.steps)(&mut promises);
    assert_eq!(
        promises.may_claim_from(&"b".into(), case.at),
        case.may_claim
    );
}

#[test]
fn a_promise_outlasts_the_proof_that_its_receiver_derives_from_it() {
    let mut promises = GivenPromises::default();
    assert!(give(&mut promises));
    promises.refuse(&"b".into());
    let mut owner = Lease::new(TIMES);
    owner.on_table_read(ms(0), BTreeMap::from([("a".into(), 1)]));
    owner.on_promise(&"a".into(), 1, GIVEN_AT);
    let end = owner.proved_until().expect("a read proves it");
    assert!(!promises.may_claim_from(&"b".into(), end));
}
