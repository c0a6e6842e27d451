//! The coordinator role of a gateway's zone, and what nodes know, over a store that
//! may be restored from a backup.
//!
//! The store has revisions, one key for the role, bound to a lease, and an *era*.
//! When it is restored, its era rises by one, and what was written since the backup
//! is lost: revisions and lease ids are given out again, and the leases are gone. A
//! conditional write may be delayed without bound and takes effect if its condition
//! holds then, also in a later era.
//!
//! A node learns the era from the store's responses and from other nodes' feeds. A
//! holder gives orders while its lease is certain to be valid, and only if the lease
//! is of the latest era that the node knows. A node that learns of a new era, or its
//! first one after its start, gives no orders for the longest time for which a lease
//! of an earlier era may count. The fencing token is the era and the revision of the
//! claim, in lexicographic order; engines don't check it. The value of the key names
//! the era and the lease of the claim.
//!
//! What a node passes on of the store's entries carries its era and revision, and is
//! taken over only if these are higher, again in lexicographic order. Beyond that, a
//! process adopts only higher versions of the configuration, and of an instance
//! only a later incarnation, or that the known one leaves.

mod node;
mod steps;

use crate::search::{Outcome, explore, until_counterexample};
use node::Node;

/// Checked in every state.
pub const INVARIANTS: [&str; 6] = [
    "no two nodes give orders under one fencing token",
    "no order has a lower fencing token than an earlier order",
    "no node gives orders on a lease of an older era than it has known",
    "the configuration in force in a process never reverts",
    "what a process knows of an instance's leaving never reverts",
    "no process takes over an older state of the store than it has known",
];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// The fencing token is the revision alone.
    TokenWithoutEra,
    /// A node doesn't wait before it gives orders in a new era.
    NoWaitInNewEra,
    /// A node that starts doesn't wait before it gives orders.
    NoWaitAfterStart,
    /// The wait of a node that starts counts from its start, not from when it
    /// learns its first era.
    WaitCountedFromStart,
    /// The wait has no margin for differing clock rates.
    WaitWithoutMargin,
    /// A holder goes on until its lease ends, also once it knows a newer era.
    LeaseKept,
    /// The renewal of a lease of an older era counts if the store has a lease of
    /// the same id.
    LeaseRenewedAcrossEras,
    /// A node compares the revision of a feed alone, so that it believes a feed of an
    /// older era.
    FeedOfOldEraBelieved,
    /// A node takes a key that names it and the id of its lease for its own claim,
    /// also if a claim of an older era wrote it.
    LateClaimAcrossEras,
    /// A node takes any key that names it for its own claim, also if it is bound to
    /// an earlier lease.
    KeyOfEarlierLease,
    /// A node adopts the configuration that the store has, also a lower version.
    ConfigurationBack,
    /// A node that learns of a new era takes an instance's state from the store.
    LeavingForgotten,
    /// A node takes an instance's state from the store, also that of an earlier
    /// incarnation.
    EarlierIncarnationBelieved,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 13] = [
        Self::TokenWithoutEra,
        Self::NoWaitInNewEra,
        Self::NoWaitAfterStart,
        Self::WaitCountedFromStart,
        Self::WaitWithoutMargin,
        Self::LeaseKept,
        Self::LeaseRenewedAcrossEras,
        Self::FeedOfOldEraBelieved,
        Self::LateClaimAcrossEras,
        Self::KeyOfEarlierLease,
        Self::ConfigurationBack,
        Self::LeavingForgotten,
        Self::EarlierIncarnationBelieved,
    ];

    /// Returns whether the mutation can change the behaviour within `bounds`.
    fn affects(self, bounds: &Bounds) -> bool {
        match self {
            Self::FeedOfOldEraBelieved
            | Self::ConfigurationBack
            | Self::LeavingForgotten
            | Self::EarlierIncarnationBelieved => bounds.claims == 0,
            Self::NoWaitAfterStart | Self::WaitCountedFromStart => {
                bounds.claims > 0 && bounds.restarts > 0
            }
            Self::WaitWithoutMargin => bounds.claims > 0 && bounds.slow_ticks > 0,
            _ => bounds.claims > 0,
        }
    }
}

const NODE_COUNT: usize = 2;
/// Ticks from a renewal for which a lease counts on its holder's clock.
const LEASE_TICKS: u8 = 1;
/// Ticks added to waits for differing clock rates.
const MARGIN_TICKS: u8 = 1;
/// Ticks from a renewal after which the store may end a lease.
const STORE_LEASE_TICKS: u8 = LEASE_TICKS + MARGIN_TICKS;

/// Era of the store.
type Era = u8;

/// Era and lease of a claim, which the value of the key names. Lease ids are
/// unique within an era only.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct ClaimId {
    era: Era,
    lease: u8,
}

/// The key of the role.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Key {
    node: usize,
    revision: u8,
    /// The claim that wrote it.
    claim: ClaimId,
    /// Ticks until the store may end its lease and remove it; 0 without a lease.
    lease: u8,
}

/// What is known of an instance. The order of the values is that of knowledge.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Instance {
    incarnation: u8,
    leaving: bool,
}

/// What is written in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Content {
    revision: u8,
    /// Number of leases granted, which is the id of the next one.
    leases: u8,
    key: Option<Key>,
    configuration: u8,
    instance: Instance,
}

/// A claim whose response was lost and that may still take effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct LateClaim {
    id: ClaimId,
    /// Ticks until the store may end the claim's lease.
    lease: u8,
}

/// The highest fencing token that engines have seen, and who used it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct LastOrder {
    token: (Era, u8),
    node: usize,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    era: Era,
    store: Content,
    /// The latest backup.
    backup: Content,
    late_claims: [Option<LateClaim>; NODE_COUNT],
    nodes: [Node; NODE_COUNT],
    last_order: Option<LastOrder>,
    /// The operator's latest version of the configuration.
    configuration: u8,
    instance: Instance,
    /// The invariant that the last step broke.
    broken: Option<&'static str>,
    /// Number of claims that may still be sent.
    claims: u8,
    /// Number of times that the store may still be restored.
    restores: u8,
    /// Number of restarts of nodes that may still happen.
    restarts: u8,
    /// Number of ticks that clocks may still miss.
    slow_ticks: u8,
}

#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are shown in traces")]
enum Action {
    Tick { misses: Option<usize> },
    Backup,
    Restore,
    LeaseEnds,
    Claim { node: usize },
    ClaimAnswerLost { node: usize },
    LateClaimArrives { node: usize },
    Renew { node: usize },
    ReadStore { node: usize },
    Feed { from: usize, to: usize },
    Order { node: usize },
    Restart { node: usize },
    OperatorWrites { version: u8 },
    InstanceLeaves,
    InstanceRestarts,
    InstanceWrites,
    InstanceAnswers { node: usize },
}

/// A case in which the specification is searched.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    name: &'static str,
    /// Number of claims; 0 to search only what nodes know.
    claims: u8,
    restores: u8,
    restarts: u8,
    slow_ticks: u8,
    /// Highest version of the configuration.
    configurations: u8,
    /// Latest incarnation of the instance.
    incarnations: u8,
}

const CASES: [Bounds; 5] = [
    Bounds {
        name: "role, store restored twice",
        claims: 2,
        restores: 2,
        restarts: 0,
        slow_ticks: 0,
        configurations: 0,
        incarnations: 0,
    },
    Bounds {
        name: "role, two restarts",
        claims: 2,
        restores: 1,
        restarts: 2,
        slow_ticks: 0,
        configurations: 0,
        incarnations: 0,
    },
    Bounds {
        name: "role, slow clock",
        claims: 2,
        restores: 1,
        restarts: 0,
        slow_ticks: 1,
        configurations: 0,
        incarnations: 0,
    },
    Bounds {
        name: "role, three claims",
        claims: 3,
        restores: 1,
        restarts: 0,
        slow_ticks: 0,
        configurations: 0,
        incarnations: 0,
    },
    Bounds {
        name: "configuration and instance, restart",
        claims: 0,
        restores: 2,
        restarts: 1,
        slow_ticks: 0,
        configurations: 1,
        incarnations: 1,
    },
];

/// Searches the cases that `mutation` affects, in order, up to the first
/// counterexample.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    let is_affected = |b: &&Bounds| mutation.is_none_or(|m| m.affects(b));
    until_counterexample(CASES.iter().filter(is_affected).map(|bounds| {
        explore(
            bounds.name,
            &initial_state(bounds),
            |s| steps::enabled_steps(s, mutation, bounds),
            |s| s.broken,
        )
    }))
}

fn initial_state(bounds: &Bounds) -> State {
    let content = Content {
        revision: 0,
        leases: 0,
        key: None,
        configuration: 0,
        instance: Instance::default(),
    };
    State {
        era: 0,
        store: content,
        backup: content,
        late_claims: [None; NODE_COUNT],
        nodes: [Node::initial(); NODE_COUNT],
        last_order: None,
        configuration: 0,
        instance: Instance::default(),
        broken: None,
        claims: bounds.claims,
        restores: bounds.restores,
        restarts: bounds.restarts,
        slow_ticks: bounds.slow_ticks,
    }
}
