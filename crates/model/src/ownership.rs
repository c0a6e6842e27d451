//! Ownership of one worker: at most one entry instance may load and evict on it.
//!
//! Covers the ownership table in the key-value service, leases proved by table
//! reads or by promises of all other members, and the wait after a claim. The
//! settled epoch is the last one whose claimant has recorded in the table that
//! its wait has ended.
//!
//! An owner doesn't request promises of a member that joined after the owner's
//! last read of the table. A claimant that joined in the settled epoch or later
//! therefore waits longer, unless a member that joined before the settled epoch
//! acknowledges its claim.
//!
//! Each entry instance counts ticks on its own clock; one instance at a time may
//! miss a tick. No step has to happen: executions that leave steps out stand for
//! pauses, lost and late messages, and network partitions.

mod instance;
mod steps;

use crate::search::{Outcome, explore, until_counterexample};
use instance::Instance;

/// Checked in every state.
pub const INVARIANTS: [&str; 1] = ["at most one instance may load and evict on a worker"];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// A claimant acts as owner as soon as the compare-and-swap is confirmed.
    NoClaimWait,
    /// The claimant's wait has no margin for differing clock rates.
    NoMargin,
    /// The claimant's wait starts when the swap is sent, not when it is confirmed.
    WaitFromSwapSent,
    /// The lease starts when the response to the read arrives, not when the read
    /// was sent.
    LeaseFromReadAnswer,
    /// The lease starts when the last promise arrives, not when the promises were
    /// requested.
    LeaseFromLastPromise,
    /// A lagging replica may serve a read.
    StaleRead,
    /// The age of a relayed read leaves out the time that the read spent at the
    /// peer.
    RelayWithoutAge,
    /// One promise proves the lease.
    NotUnanimous,
    /// An instance promises to an owner although it knows a higher epoch.
    PromiseToLowerEpoch,
    /// A claimant that joined in the settled epoch or later waits no longer than
    /// an older member, without an acknowledgement.
    JoinerWithoutAcknowledgement,
    /// Members that joined in the settled epoch or later may acknowledge a claim.
    AcknowledgementFromAnyMember,
    /// The claimant's wait ends with the acknowledgement instead of lasting a
    /// lease and a margin from then on.
    WaitNotCountedFromAcknowledgement,
    /// An owner that acknowledges a claim with a higher epoch remains owner.
    AcknowledgementWithoutResigning,
    /// The epoch before a claim counts as settled, even if the wait of its own
    /// claimant has not ended.
    UnsettledClaimCounts,
    /// Promises may prove the lease however long ago the last read was.
    PromisesWithoutLimit,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 15] = [
        Self::NoClaimWait,
        Self::NoMargin,
        Self::WaitFromSwapSent,
        Self::LeaseFromReadAnswer,
        Self::LeaseFromLastPromise,
        Self::StaleRead,
        Self::RelayWithoutAge,
        Self::NotUnanimous,
        Self::PromiseToLowerEpoch,
        Self::JoinerWithoutAcknowledgement,
        Self::AcknowledgementFromAnyMember,
        Self::WaitNotCountedFromAcknowledgement,
        Self::AcknowledgementWithoutResigning,
        Self::UnsettledClaimCounts,
        Self::PromisesWithoutLimit,
    ];
}

/// Largest number of entry instances in a search.
const MAX_INSTANCES: usize = 4;
/// Ticks for which a read or a set of promises proves ownership.
const LEASE_TICKS: u8 = 2;
/// Ticks added to waits for differing clock rates.
const MARGIN_TICKS: u8 = 1;
/// Ticks after the last read within which promises may be requested.
const PROMISE_LIMIT_TICKS: u8 = 2;
/// Value in [`Table::joined`] of an instance that is not a member.
const NOT_MEMBER: u8 = u8::MAX;

/// The ownership table: the worker's owner and the members.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Table {
    owner: u8,
    epoch: u8,
    /// The settled epoch: the last one whose claimant has recorded that its wait
    /// has ended.
    settled: u8,
    /// For each instance, the worker's epoch when it became a member.
    joined: [u8; MAX_INSTANCES],
}

impl Table {
    fn is_member(&self, n: usize) -> bool {
        self.joined[n] != NOT_MEMBER
    }

    /// Returns whether `n` is a member that joined before `epoch`. If that epoch
    /// is settled, every owner from it on has seen `n` among the members.
    fn joined_before(&self, n: usize, epoch: u8) -> bool {
        self.is_member(n) && self.joined[n] < epoch
    }

    /// Returns the members, as a mask.
    fn members(&self) -> u8 {
        (0..MAX_INSTANCES)
            .filter(|&n| self.is_member(n))
            .fold(0, |mask, n| mask | 1 << n)
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    table: Table,
    /// The table before its last swap; kept only with [`Mutation::StaleRead`].
    before: Option<Table>,
    instances: [Instance; MAX_INSTANCES],
    /// Number of ticks that instances may still miss.
    slow_ticks: u8,
}

#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are shown in traces")]
enum Action {
    Tick { misses: Option<usize> },
    Join(usize),
    SendRead(usize),
    ServeRead(usize),
    ServeStaleRead(usize),
    RelayRead { from: usize, to: usize },
    ReceiveRead(usize),
    AskPromises(usize),
    Promise { from: usize, to: usize },
    SendSwap(usize),
    LandSwap(usize),
    AnswerSwap(usize),
    Acknowledge { from: usize, to: usize },
    Settle(usize),
}

/// A case in which the specification is searched: its participants and bounds.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    name: &'static str,
    /// Number of initial members, which have the lowest indices; instance 0 is
    /// the owner.
    members: usize,
    /// Number of entry instances: members and those that may join.
    instances: usize,
    /// Instances that may claim, as a mask.
    claimants: u8,
    /// Instances that may read the table, as a mask.
    readers: u8,
    /// Instances that may request promises, as a mask.
    promise_requesters: u8,
    /// Highest epoch that a claim may reach.
    epochs: u8,
    /// Number of ticks that instances may miss.
    slow_ticks: u8,
}

const CASES: [Bounds; 5] = [
    Bounds {
        name: "owner, member",
        members: 2,
        instances: 2,
        claimants: 0b11,
        readers: 0b11,
        promise_requesters: 0b11,
        epochs: 3,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, member, two joiners",
        members: 2,
        instances: 4,
        claimants: 0b1100,
        readers: 0b1000,
        promise_requesters: 0b0001,
        epochs: 3,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, two members",
        members: 3,
        instances: 3,
        claimants: 0b10,
        readers: 0b11,
        promise_requesters: 0b11,
        epochs: 2,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, member, joiner",
        members: 2,
        instances: 3,
        claimants: 0b100,
        readers: 0b101,
        promise_requesters: 0b101,
        epochs: 2,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, claiming member, joiner",
        members: 2,
        instances: 3,
        claimants: 0b110,
        readers: 0b110,
        promise_requesters: 0b010,
        epochs: 3,
        slow_ticks: 0,
    },
];

/// Searches the cases in order, up to the first counterexample.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    until_counterexample(CASES.iter().map(|bounds| {
        explore(
            bounds.name,
            &initial_state(bounds),
            |s| steps::enabled_steps(s, mutation, bounds),
            violated_invariant,
        )
    }))
}

fn initial_state(bounds: &Bounds) -> State {
    let mut joined = [NOT_MEMBER; MAX_INSTANCES];
    joined[..bounds.members].fill(0);
    let table = Table {
        owner: 0,
        epoch: 1,
        settled: 1,
        joined,
    };
    let mut instances = [Instance::default(); MAX_INSTANCES];
    instances[0] = Instance {
        epoch: 1,
        seen: 1,
        members: table.members(),
        ..instances[0]
    };
    State {
        table,
        before: None,
        instances,
        slow_ticks: bounds.slow_ticks,
    }
}

fn violated_invariant(s: &State) -> Option<&'static str> {
    let active_owners = s.instances.iter().filter(|n| n.may_evict()).count();
    (active_owners > 1).then_some(INVARIANTS[0])
}
