//! Pins, loads and evictions on one worker with one adapter slot: the old owner,
//! the new owner that claims the worker, two adapters and one request for each.
//!
//! Exclusive ownership is assumed, as shown by [`ownership`](crate::ownership):
//! here the old owner's lease is a number of ticks, renewed while the table lists
//! it. Orders to the worker may be delayed without bound, as when the owner is
//! paused between its check and its write. A request reaches the worker within
//! `DISPATCH_TICKS` + `DELIVERY_TICKS` of the permit request, or never.
//!
//! An owner learns which adapters are resident from listings and from responses
//! to its orders, and sends one order at a time. It may grant a permit for any
//! adapter: the worker refuses requests for adapters that aren't resident.

mod owner;
mod steps;

use crate::search::{Outcome, explore, until_counterexample};
use owner::Owner;

/// Checked in every state.
pub const INVARIANTS: [&str; 1] = ["the adapter of a running request stays resident"];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// The new owner grants and sends orders without waiting for the old lease.
    NoClaimWait,
    /// The new owner treats the adapters that it finds as unused.
    NoPinAtTakeover,
    /// The new owner takes a listing from before the end of its wait as proof
    /// that the recorded eviction has taken effect.
    IntentClearedDuringWait,
    /// The new owner trusts a listing taken while requests with permits of the
    /// old owner may still arrive.
    ListingWithoutWait,
    /// The wait before a listing counts leaves out the old owner's grace period.
    ListingWaitWithoutGrace,
    /// The wait before a listing counts leaves out the time for dispatch and
    /// delivery.
    ListingWaitWithoutWindow,
    /// After the wait, the new owner evicts the adapters that it found even if
    /// the listing shows requests running on them.
    EvictionWithoutListing,
    /// A pin that expires counts as released, and does not make the adapter
    /// uncertain.
    ExpiredPinCountsAsReleased,
    /// Evictions ignore pins and uncertain adapters.
    NoPins,
    /// A pin has no margin for differing clock rates.
    PinWithoutMargin,
    /// The entry instance counts the dispatch window from the arrival of the
    /// grant, which may be late, not from the permit request.
    WindowFromGrant,
    /// A permit is granted while the eviction of its adapter is pending.
    GrantWhileEvicting,
    /// The grace period of an owner without a lease never ends.
    GraceWithoutEnd,
    /// The new owner grants before the worker has seen its fencing token.
    FenceNotRaised,
    /// Eviction intents aren't recorded for a worker that ignores fencing.
    NoIntent,
    /// A listing from after a restart of the worker clears the intent.
    RestartClearsIntent,
    /// The new owner takes the effect of its own eviction for that of the eviction
    /// that it inherited.
    OwnEvictionClearsIntent,
    /// One boot of the worker is remembered for all pending evictions together.
    OneBootForAllEvictions,
    /// The old owner grants after it has handed over.
    GrantAfterHandover,
    /// The handover carries neither pins nor uncertain adapters.
    HandoverWithoutPins,
    /// A handover that arrives after the wait replaces what the new owner has
    /// recorded since.
    LateHandoverTaken,
    /// The new owner acts at once, without having received the handover.
    HandoverWithoutMessage,
    /// The assumption on delivery is dropped: a request may arrive at any later
    /// time.
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

    /// Returns whether the mutation can change the behaviour within `bounds`.
    fn affects(self, bounds: &Bounds) -> bool {
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
            // With fencing, the worker refuses the old owner's orders.
            Self::NoClaimWait => !bounds.fencing,
            _ => true,
        }
    }
}

/// Ticks from a renewal of the old owner's lease to its end.
const LEASE_TICKS: u8 = 2;
/// Ticks added to waits for differing clock rates.
const MARGIN_TICKS: u8 = 1;
/// Dispatch window: ticks from the permit request within which the entry
/// instance sends the granted request.
const DISPATCH_TICKS: u8 = 1;
/// Ticks from dispatch after which a request that has not reached the worker
/// never does.
const DELIVERY_TICKS: u8 = 1;

/// Index of the initial owner.
const OLD_OWNER: usize = 0;
/// Index of the owner that takes over.
const NEW_OWNER: usize = 1;
const ADAPTER_COUNT: usize = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum OrderKind {
    Load,
    Unload,
}

/// An order in flight to the worker, or its response in flight to the owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Order {
    kind: OrderKind,
    adapter: usize,
    /// Whether the worker accepted the order; `None` until it has handled it.
    handled: Option<bool>,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Worker {
    slot: Option<usize>,
    /// Highest fencing token seen; unused if the worker ignores fencing.
    fence: u8,
    /// Number of restarts.
    boot: u8,
}

/// State of the request for an adapter. Ages are ticks on the entry instance's
/// clock since the permit request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum RequestState {
    Idle,
    Granted { age: u8 },
    Sent { age: u8 },
    Running,
}

/// An eviction that is recorded in the table before its order is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Intent {
    adapter: usize,
    /// Boot of the worker when the eviction was recorded.
    boot: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    /// Index in `owners` of the owner that the table lists.
    table: usize,
    /// The old owner's intent in the table.
    intent: Option<Intent>,
    owners: [Owner; 2],
    orders: [Option<Order>; 2],
    /// The handover in flight: the old owner's pins and uncertain adapters.
    handover: Option<([u8; ADAPTER_COUNT], u8)>,
    worker: Worker,
    requests: [RequestState; ADAPTER_COUNT],
    /// Number of ticks that clocks may still miss.
    slow_ticks: u8,
    /// Number of restarts of the worker that may still happen.
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
        kind: OrderKind,
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

/// A clock that may miss a tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Clock {
    Owner(usize),
    Entry,
}

/// A case in which the specification is searched: the worker's abilities and the
/// bounds.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    name: &'static str,
    /// Whether the worker refuses orders with an old fencing token.
    fencing: bool,
    /// Whether the old owner may hand over the worker.
    handover: bool,
    /// Ticks for which an owner may still grant after its lease has ended.
    grace: u8,
    /// Number of ticks that clocks may miss.
    slow_ticks: u8,
    /// Number of restarts of the worker.
    restarts: u8,
}

const CASES: [Bounds; 4] = [
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

/// Searches the cases that `mutation` affects, in order, up to the first
/// counterexample.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    let is_affected = |b: &&Bounds| mutation.is_none_or(|m| m.affects(b));
    until_counterexample(CASES.iter().filter(is_affected).map(|bounds| {
        explore(
            bounds.name,
            &initial_state(bounds),
            |s| steps::enabled_steps(s, mutation, bounds),
            violated_invariant,
        )
    }))
}

fn initial_state(bounds: &Bounds) -> State {
    let old_owner = Owner {
        lease: LEASE_TICKS,
        grace: bounds.grace,
        fence_raised: true,
        ..Owner::default()
    };
    State {
        table: OLD_OWNER,
        intent: None,
        owners: [old_owner, Owner::default()],
        orders: [None; 2],
        handover: None,
        worker: Worker {
            slot: Some(0),
            fence: 1,
            boot: 0,
        },
        requests: [RequestState::Idle; ADAPTER_COUNT],
        slow_ticks: bounds.slow_ticks,
        restarts: bounds.restarts,
    }
}

fn violated_invariant(s: &State) -> Option<&'static str> {
    let evicted_while_running =
        |a: usize| s.requests[a] == RequestState::Running && s.worker.slot != Some(a);
    (0..ADAPTER_COUNT)
        .any(evicted_while_running)
        .then_some(INVARIANTS[0])
}
