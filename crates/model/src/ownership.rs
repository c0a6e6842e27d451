//! Who may load and evict on one worker: the ownership table in the key-value
//! service, leases proved by reads or by unanimous promises, claims and their
//! waits, members that joined late.
//!
//! Each instance counts ticks on its own clock; one instance may miss a tick.
//! Steps are never forced, so pauses, lost and late messages, and cuts between
//! any parts are runs in which steps don't happen.

mod instance;
mod steps;

use crate::search::{Outcome, explore};
use instance::Instance;

/// Checked in every state.
pub const INVARIANTS: [&str; 1] = ["at most one instance may load and evict on a worker"];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// A claimant acts as soon as its swap is confirmed.
    NoClaimWait,
    /// The claimant's wait has no margin for clock rates.
    NoMargin,
    /// The claimant's wait counts from sending the swap.
    WaitFromSwapSent,
    /// A lease counts from the answer of the read.
    LeaseFromReadAnswer,
    /// A lease counts from the last promise.
    LeaseFromLastPromise,
    /// A read may be served by a lagging replica.
    StaleRead,
    /// A read passed on by a peer counts without the peer's age.
    RelayWithoutAge,
    /// One promise is enough.
    NotUnanimous,
    /// An instance promises although it knows of a higher epoch.
    PromiseToLowerEpoch,
    /// A late joiner waits no longer than an old member.
    JoinerWithoutAcknowledgement,
    /// The acknowledgement may come from a member that joined late too.
    AcknowledgementFromAnyMember,
    /// An acknowledgement does not restart the wait.
    WaitNotCountedFromAcknowledgement,
    /// An owner that acknowledges a higher epoch remains owner.
    AcknowledgementWithoutResigning,
    /// An unfinished claim counts as ownership when the next claimant looks
    /// for members that are old enough.
    UnsettledClaimCounts,
    /// Promises may be renewed without end after the last read.
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

/// Most instances of a search.
const INSTANCES: usize = 4;
/// Ticks that a proof of ownership lasts.
const TTL: u8 = 2;
/// Ticks added to waits for differing clock rates.
const MARGIN: u8 = 1;
/// Ticks after the last read within which promises may be asked for.
const PROMISE_LIMIT: u8 = 2;
/// In [`Table::joined`]: not a member.
const ABSENT: u8 = u8::MAX;

/// The row of the worker in the ownership table, with the table's members.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Table {
    owner: u8,
    epoch: u8,
    /// The last epoch whose claimant has recorded the end of its wait.
    settled: u8,
    /// For each instance, the epoch at which it became a member.
    joined: [u8; INSTANCES],
}

impl Table {
    fn is_member(&self, n: usize) -> bool {
        self.joined[n] != ABSENT
    }

    /// Whether every owner from the epoch `settled` on has `n` among the
    /// members that it read last.
    fn is_older(&self, n: usize, settled: u8) -> bool {
        self.is_member(n) && self.joined[n] < settled
    }

    fn members(&self) -> u8 {
        (0..INSTANCES)
            .filter(|&n| self.is_member(n))
            .fold(0, |mask, n| mask | 1 << n)
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    table: Table,
    /// The table before its last swap; kept only where stale reads exist.
    before: Option<Table>,
    instances: [Instance; INSTANCES],
    /// Ticks that one instance may still miss.
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

/// Bounds of one search.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    name: &'static str,
    /// Members at the start, from 0 on; instance 0 is owner.
    members: usize,
    /// Members and those that may join.
    instances: usize,
    /// Mask of those that may claim.
    claimants: u8,
    /// Mask of those that read the table.
    readers: u8,
    /// Mask of those that ask for promises.
    askers: u8,
    /// The highest epoch.
    epochs: u8,
    /// Ticks that one instance may miss.
    slow_ticks: u8,
}

const BOUNDS: [Bounds; 5] = [
    Bounds {
        name: "owner, member",
        members: 2,
        instances: 2,
        claimants: 0b11,
        readers: 0b11,
        askers: 0b11,
        epochs: 3,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, member, two joiners",
        members: 2,
        instances: 4,
        claimants: 0b1100,
        readers: 0b1000,
        askers: 0b0001,
        epochs: 3,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, two members",
        members: 3,
        instances: 3,
        claimants: 0b10,
        readers: 0b11,
        askers: 0b11,
        epochs: 2,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, member, joiner",
        members: 2,
        instances: 3,
        claimants: 0b100,
        readers: 0b101,
        askers: 0b101,
        epochs: 2,
        slow_ticks: 1,
    },
    Bounds {
        name: "owner, claiming member, joiner",
        members: 2,
        instances: 3,
        claimants: 0b110,
        readers: 0b110,
        askers: 0b010,
        epochs: 3,
        slow_ticks: 0,
    },
];

/// Searches the specification; a mutated one up to its first counterexample.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for bounds in &BOUNDS {
        let next = |s: &State| steps::next(s, mutation, bounds);
        let outcome = explore(bounds.name, &start(bounds), next, broken);
        let failed = outcome.counterexample.is_some();
        outcomes.push(outcome);
        if failed {
            break;
        }
    }
    outcomes
}

fn start(bounds: &Bounds) -> State {
    let mut joined = [ABSENT; INSTANCES];
    joined[..bounds.members].fill(0);
    let table = Table {
        owner: 0,
        epoch: 1,
        settled: 1,
        joined,
    };
    let mut instances = [Instance::default(); INSTANCES];
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

fn broken(s: &State) -> Option<&'static str> {
    let able = s.instances.iter().filter(|n| n.may_evict()).count();
    (able > 1).then_some(INVARIANTS[0])
}
