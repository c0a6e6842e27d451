//! Pins, loads and evictions on one worker with one adapter slot: an owner, a
//! claimant, two adapters and one request for each.
//!
//! Exclusive ownership is taken from [`ownership`](crate::ownership); here the
//! old owner's lease is a count of ticks that it renews while the table shows
//! it. Orders to the worker may be delayed without bound, as when the owner is
//! paused between its check and its write. A request reaches the worker within
//! `WINDOW` + `DELIVERY` of the question for its permit, or never.
//!
//! An owner knows which adapters are resident from listings and from answers to
//! its orders, and sends one order at a time. It may grant a permit for any
//! adapter: the worker refuses requests for adapters that aren't resident.

mod owner;
mod steps;

use crate::search::{Outcome, explore};
use owner::Owner;

/// Checked in every state.
pub const INVARIANTS: [&str; 1] = ["the adapter of a running request stays resident"];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// The claimant grants and orders at once.
    NoClaimWait,
    /// The claimant takes inherited adapters for unused.
    NoPinAtTakeover,
    /// The claimant takes a listing from before the end of its wait as proof
    /// that the recorded eviction has happened.
    IntentClearedDuringWait,
    /// The claimant lists before the old owner's last grants have arrived.
    ListingWithoutWait,
    /// The wait before the listing leaves out the old owner's grace.
    ListingWaitWithoutGrace,
    /// The wait before the listing leaves out the dispatch window.
    ListingWaitWithoutWindow,
    /// Inherited adapters are evicted after the wait whatever the listing
    /// shows.
    EvictionWithoutListing,
    /// An expired pin counts as released.
    ExpiredPinCountsAsReleased,
    /// Pins are ignored.
    NoPins,
    /// A pin has no margin for clock rates.
    PinWithoutMargin,
    /// The entry counts the dispatch window from the grant's arrival.
    WindowFromGrant,
    /// A permit is granted while the adapter's eviction is under way.
    GrantWhileEvicting,
    /// An owner without a lease grants without end.
    GraceWithoutEnd,
    /// The claimant grants before the worker has seen its fencing number.
    FenceNotRaised,
    /// Eviction intents aren't written for a worker that ignores fencing.
    NoIntent,
    /// A restart of the worker clears the intent.
    RestartClearsIntent,
    /// The claimant takes the effect of its own eviction for the old owner's.
    OwnEvictionClearsIntent,
    /// The boot of the worker is remembered once for all evictions.
    OneBootForAllEvictions,
    /// The old owner grants after its handover.
    GrantAfterHandover,
    /// The handover leaves out the pins.
    HandoverWithoutPins,
    /// A handover that arrives after the wait replaces what is known since.
    LateHandoverTaken,
    /// An owner without the handover message acts at once.
    HandoverWithoutMessage,
    /// Assumption broken: a request may arrive at any later time.
    LateRequestArrives,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 23] = [
        Self::NoClaimWait,
        Self::NoPinAtTakeover,
        Self::IntentClearedDuringWait,
        Self::ListingWithoutWait,
        Self::ListingWaitWithoutGrace,
        Self::ListingWaitWithoutWindow,
        Self::EvictionWithoutListing,
        Self::ExpiredPinCountsAsReleased,
        Self::NoPins,
        Self::PinWithoutMargin,
        Self::WindowFromGrant,
        Self::GrantWhileEvicting,
        Self::GraceWithoutEnd,
        Self::FenceNotRaised,
        Self::NoIntent,
        Self::RestartClearsIntent,
        Self::OwnEvictionClearsIntent,
        Self::OneBootForAllEvictions,
        Self::GrantAfterHandover,
        Self::HandoverWithoutPins,
        Self::LateHandoverTaken,
        Self::HandoverWithoutMessage,
        Self::LateRequestArrives,
    ];

    /// Whether the mutation can make a difference within the bounds.
    fn concerns(self, bounds: &Bounds) -> bool {
        match self {
            Self::NoIntent
            | Self::IntentClearedDuringWait
            | Self::RestartClearsIntent
            | Self::OwnEvictionClearsIntent
            | Self::OneBootForAllEvictions => !bounds.fencing,
            Self::GrantAfterHandover
            | Self::HandoverWithoutPins
            | Self::LateHandoverTaken
            | Self::HandoverWithoutMessage => bounds.handover,
            // With fencing, the new number keeps the old owner's orders out.
            Self::NoClaimWait => !bounds.fencing,
            _ => true,
        }
    }
}

/// Ticks that a proof of ownership lasts.
const TTL: u8 = 2;
/// Ticks added to waits for differing clock rates.
const MARGIN: u8 = 1;
/// Ticks from the question for a permit within which the entry dispatches.
const WINDOW: u8 = 1;
/// Ticks that a dispatched request may be on its way.
const DELIVERY: u8 = 1;

/// The entry instance that was owner at the start.
const OLD: usize = 0;
/// The entry instance that takes over.
const NEW: usize = 1;
const ADAPTERS: usize = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Kind {
    Load,
    Unload,
}

/// An order on its way to the worker, or its answer on the way back.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Order {
    kind: Kind,
    adapter: usize,
    /// Whether it took effect, once the worker has handled it.
    handled: Option<bool>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Worker {
    slot: Option<usize>,
    /// Highest fencing number seen.
    fence: u8,
    boot: u8,
}

/// Where the request for an adapter stands; the ages count from the question
/// for the permit on the entry's clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Request {
    Idle,
    Granted { age: u8 },
    Sent { age: u8 },
    Running,
}

/// An eviction that was recorded in the table before its order was sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Intent {
    adapter: usize,
    boot: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    /// The owner in the table.
    table: usize,
    /// The old owner's intent in the table.
    intent: Option<Intent>,
    owners: [Owner; 2],
    orders: [Option<Order>; 2],
    /// The old owner's pins and doubts, on their way to the new one.
    handover: Option<([u8; ADAPTERS], u8)>,
    worker: Worker,
    requests: [Request; ADAPTERS],
    slow_ticks: u8,
    restarts: u8,
}

#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are shown in traces")]
enum Action {
    Tick {
        misses: Option<Clock>,
    },
    Renew,
    Claim,
    SendHandover,
    ReceiveHandover,
    Grant {
        owner: usize,
        adapter: usize,
    },
    Dispatch {
        adapter: usize,
    },
    RequestArrives {
        adapter: usize,
    },
    EndAndRelease {
        adapter: usize,
    },
    EndReleaseLost {
        adapter: usize,
    },
    WriteIntent {
        adapter: usize,
    },
    SendOrder {
        owner: usize,
        kind: Kind,
        adapter: usize,
    },
    OrderArrives {
        owner: usize,
    },
    OrderAnswered {
        owner: usize,
    },
    OrderAnswerLost {
        owner: usize,
    },
    List {
        owner: usize,
    },
    Restart,
}

/// Whose clock may miss a tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Clock {
    Owner(usize),
    Entry,
}

/// Bounds of one search.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    name: &'static str,
    /// Whether the worker refuses orders with an old fencing number.
    fencing: bool,
    /// Whether the old owner may hand over.
    handover: bool,
    /// Ticks that a lapsed owner may still grant.
    grace: u8,
    slow_ticks: u8,
    restarts: u8,
}

const BOUNDS: [Bounds; 4] = [
    Bounds {
        name: "worker checks fencing, slow clock",
        fencing: true,
        handover: false,
        grace: 2,
        slow_ticks: 1,
        restarts: 0,
    },
    Bounds {
        name: "worker ignores fencing, restart",
        fencing: false,
        handover: false,
        grace: 1,
        slow_ticks: 0,
        restarts: 1,
    },
    Bounds {
        name: "worker checks fencing, restart",
        fencing: true,
        handover: false,
        grace: 1,
        slow_ticks: 0,
        restarts: 1,
    },
    Bounds {
        name: "worker checks fencing, handover, slow clock",
        fencing: true,
        handover: true,
        grace: 1,
        slow_ticks: 1,
        restarts: 0,
    },
];

/// Searches the specification; a mutated one up to its first counterexample.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let concerned = |b: &&Bounds| mutation.is_none_or(|m| m.concerns(b));
    for bounds in BOUNDS.iter().filter(concerned) {
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
    let old = Owner {
        lease: TTL,
        grace: bounds.grace,
        fence_raised: true,
        ..Owner::default()
    };
    State {
        table: OLD,
        intent: None,
        owners: [old, Owner::default()],
        orders: [None; 2],
        handover: None,
        worker: Worker {
            slot: Some(0),
            fence: 1,
            boot: 0,
        },
        requests: [Request::Idle; ADAPTERS],
        slow_ticks: bounds.slow_ticks,
        restarts: bounds.restarts,
    }
}

fn broken(s: &State) -> Option<&'static str> {
    let lost = |a: usize| s.requests[a] == Request::Running && s.worker.slot != Some(a);
    (0..ADAPTERS).any(lost).then_some(INVARIANTS[0])
}
