//! Steps of the clocks, the table, the owners, the worker and the entry instance
//! that sends the requests.

use super::owner::Owner;
use super::{
    ADAPTER_COUNT, Action, Bounds, Clock, DELIVERY_TICKS, DISPATCH_TICKS, Intent, LEASE_TICKS,
    MARGIN_TICKS, Mutation, NEW_OWNER, OLD_OWNER, Order, OrderKind, RequestState, State, Worker,
};

type Steps = Vec<(Action, State)>;

/// Returns every enabled step with the state that it leads to.
pub(super) fn enabled_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> Steps {
    let mut steps = Steps::new();
    tick_steps(s, mutation, &mut steps);
    table_steps(s, mutation, bounds, &mut steps);
    for adapter in 0..ADAPTER_COUNT {
        request_steps(s, mutation, bounds, adapter, &mut steps);
    }
    for owner in [OLD_OWNER, NEW_OWNER] {
        order_steps(s, mutation, bounds, owner, &mut steps);
        order_delivery_steps(s, bounds, owner, &mut steps);
        listing_steps(s, mutation, owner, &mut steps);
    }
    if s.restarts > 0 {
        steps.push((Action::Restart, restart(s)));
    }
    for (_, next) in &mut steps {
        drop_ended_owner(next);
    }
    steps
}

/// Resets the old owner and its intent after the claim, once its lease and grace
/// period have ended. The old owner can't act any more, so that this only merges
/// equivalent states.
fn drop_ended_owner(next: &mut State) {
    if next.table == NEW_OWNER && next.owners[OLD_OWNER].has_ended() {
        next.owners[OLD_OWNER] = Owner::default();
        next.intent = None;
    }
}

fn tick_steps(s: &State, mutation: Option<Mutation>, steps: &mut Steps) {
    let mut push = |misses: Option<Clock>| {
        let mut next = *s;
        for owner in [OLD_OWNER, NEW_OWNER] {
            if misses != Some(Clock::Owner(owner)) {
                next.owners[owner].tick(mutation);
            }
        }
        if misses != Some(Clock::Entry) {
            next.requests
                .iter_mut()
                .for_each(|r| *r = tick_request(*r, mutation));
        }
        if misses.is_some() {
            next.slow_ticks -= 1;
        }
        steps.push((Action::Tick { misses }, next));
    };
    push(None);
    if s.slow_ticks > 0 {
        [
            Clock::Owner(OLD_OWNER),
            Clock::Owner(NEW_OWNER),
            Clock::Entry,
        ]
        .into_iter()
        .for_each(|clock| push(Some(clock)));
    }
}

/// Advances the request by one tick of the entry instance's clock. A permit
/// whose dispatch window ends is dropped, and a request that doesn't arrive in
/// time never arrives.
fn tick_request(request: RequestState, mutation: Option<Mutation>) -> RequestState {
    let unbounded = mutation == Some(Mutation::LateRequestArrives);
    match request {
        RequestState::Granted { age } if age + 1 < DISPATCH_TICKS => {
            RequestState::Granted { age: age + 1 }
        }
        RequestState::Granted { .. } if mutation == Some(Mutation::WindowFromGrant) => request,
        RequestState::Granted { .. } => RequestState::Idle,
        RequestState::Sent { age } if age + 1 < DISPATCH_TICKS + DELIVERY_TICKS => {
            RequestState::Sent { age: age + 1 }
        }
        RequestState::Sent { .. } if !unbounded => RequestState::Idle,
        other => other,
    }
}

fn table_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, steps: &mut Steps) {
    if s.table == OLD_OWNER {
        let mut next = *s;
        next.owners[OLD_OWNER].lease = LEASE_TICKS;
        next.owners[OLD_OWNER].grace = bounds.grace;
        steps.push((Action::Renew, next));
        steps.push((Action::Claim, claim(s, mutation, bounds)));
    }
    let nothing_pending = s.orders[OLD_OWNER].is_none() && s.owners[OLD_OWNER].evicting == 0;
    if bounds.handover && s.table == OLD_OWNER && s.owners[OLD_OWNER].lease > 0 && nothing_pending {
        let mut next = claim(s, mutation, bounds);
        next.owners[OLD_OWNER].handed_over = true;
        next.handover = Some((s.owners[OLD_OWNER].pins, s.owners[OLD_OWNER].uncertain));
        if mutation == Some(Mutation::HandoverWithoutMessage) {
            next.owners[NEW_OWNER].wait = 0;
            next.owners[NEW_OWNER].uncertain = 0;
        }
        steps.push((Action::SendHandover, next));
    }
    if let Some((pins, uncertain)) = s.handover {
        steps.push((
            Action::ReceiveHandover,
            receive_handover(s, mutation, pins, uncertain),
        ));
    }
}

fn claim(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> State {
    let mut next = *s;
    let intent = s
        .intent
        .filter(|_| !bounds.fencing && mutation != Some(Mutation::NoIntent));
    next.table = NEW_OWNER;
    next.owners[NEW_OWNER].claim(intent, mutation, bounds);
    next
}

/// Ends the waits of the new owner, since the old owner has stopped. A handover
/// that arrives after the wait is dropped: it lacks what the new owner has
/// granted since.
fn receive_handover(
    s: &State,
    mutation: Option<Mutation>,
    pins: [u8; ADAPTER_COUNT],
    uncertain: u8,
) -> State {
    let mut next = *s;
    let new_owner = &mut next.owners[NEW_OWNER];
    next.handover = None;
    if new_owner.wait == 0 && mutation != Some(Mutation::LateHandoverTaken) {
        return next;
    }
    new_owner.wait = 0;
    new_owner.listing_wait = 0;
    if mutation == Some(Mutation::HandoverWithoutPins) {
        new_owner.uncertain = 0;
        return next;
    }
    new_owner.uncertain = uncertain;
    for (pin, inherited) in new_owner.pins.iter_mut().zip(pins) {
        let extended = if inherited > 0 {
            inherited + MARGIN_TICKS
        } else {
            0
        };
        *pin = extended.max(*pin);
    }
    next
}

fn request_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    adapter: usize,
    steps: &mut Steps,
) {
    let with_request = |request| {
        let mut next = *s;
        next.requests[adapter] = request;
        next
    };
    match s.requests[adapter] {
        RequestState::Idle => {
            for owner in [OLD_OWNER, NEW_OWNER] {
                if s.owners[owner].may_grant(owner, adapter, mutation, bounds) {
                    let mut next = with_request(RequestState::Granted { age: 0 });
                    next.owners[owner].pin(adapter, mutation);
                    steps.push((Action::Grant { owner, adapter }, next));
                }
            }
        }
        RequestState::Granted { age } => {
            steps.push((
                Action::Dispatch { adapter },
                with_request(RequestState::Sent { age }),
            ));
        }
        RequestState::Sent { .. } if s.worker.slot == Some(adapter) => {
            steps.push((
                Action::RequestArrives { adapter },
                with_request(RequestState::Running),
            ));
        }
        // A request for an adapter that isn't resident is refused, which ends it
        // in the same way as the end of its run.
        RequestState::Sent { .. } | RequestState::Running => {
            let mut next = with_request(RequestState::Idle);
            steps.push((Action::EndReleaseLost { adapter }, next));
            next.owners.iter_mut().for_each(|o| o.pins[adapter] = 0);
            steps.push((Action::EndAndRelease { adapter }, next));
        }
    }
}

fn order_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    owner: usize,
    steps: &mut Steps,
) {
    let this_owner = &s.owners[owner];
    if s.orders[owner].is_some() || !this_owner.may_order(owner) {
        return;
    }
    for adapter in 0..ADAPTER_COUNT {
        let mut next = *s;
        next.orders[owner] = Some(Order {
            kind: OrderKind::Load,
            adapter,
            handled: None,
        });
        steps.push((
            Action::SendOrder {
                owner,
                kind: OrderKind::Load,
                adapter,
            },
            next,
        ));
    }
    let Some(adapter) = s.worker.slot else {
        return;
    };
    let intent = Intent {
        adapter,
        boot: s.worker.boot,
    };
    let needs_intent =
        owner == OLD_OWNER && !bounds.fencing && mutation != Some(Mutation::NoIntent);
    if needs_intent && s.intent.is_none() && s.table == OLD_OWNER {
        steps.push((
            Action::WriteIntent { adapter },
            State {
                intent: Some(intent),
                ..*s
            },
        ));
    }
    let recorded = !needs_intent || s.intent == Some(intent);
    let already_ordered = owner == OLD_OWNER && this_owner.evicting & 1 << adapter != 0;
    if this_owner.is_unused(adapter, mutation) && recorded && !already_ordered {
        let next = send_unload(s, mutation, owner, adapter);
        steps.push((
            Action::SendOrder {
                owner,
                kind: OrderKind::Unload,
                adapter,
            },
            next,
        ));
    }
}

fn send_unload(s: &State, mutation: Option<Mutation>, owner: usize, adapter: usize) -> State {
    let mut next = *s;
    let this_owner = &mut next.owners[owner];
    let already_pending = this_owner.evicting & 1 << adapter != 0;
    if !already_pending {
        this_owner.start_eviction(
            Intent {
                adapter,
                boot: s.worker.boot,
            },
            mutation,
        );
    } else if mutation != Some(Mutation::OwnEvictionClearsIntent) {
        this_owner.indistinct |= 1 << adapter;
    }
    next.orders[owner] = Some(Order {
        kind: OrderKind::Unload,
        adapter,
        handled: None,
    });
    next
}

/// Adds the arrival of the order at the worker, then the arrival or loss of its
/// response.
fn order_delivery_steps(s: &State, bounds: &Bounds, owner: usize, steps: &mut Steps) {
    let Some(order) = s.orders[owner] else {
        return;
    };
    let mut next = *s;
    let Some(accepted) = order.handled else {
        let accepted = execute_order(&mut next.worker, order, fencing_token(owner), bounds);
        next.orders[owner] = Some(Order {
            handled: Some(accepted),
            ..order
        });
        steps.push((Action::OrderArrives { owner }, next));
        return;
    };
    next.orders[owner] = None;
    steps.push((Action::OrderAnswerLost { owner }, next));
    let this_owner = &mut next.owners[owner];
    this_owner.fence_raised |= accepted && bounds.fencing;
    let is_distinct = this_owner.indistinct & 1 << order.adapter == 0;
    if order.kind == OrderKind::Unload && is_distinct {
        this_owner.end_eviction(order.adapter);
    }
    if order.kind == OrderKind::Unload && owner == OLD_OWNER && s.table == OLD_OWNER {
        next.intent = None;
    }
    steps.push((Action::OrderAnswered { owner }, next));
}

/// Returns the fencing token of an owner; the new owner's is higher.
const fn fencing_token(owner: usize) -> u8 {
    owner as u8 + 1
}

/// Executes an order at the worker. Returns whether the worker accepted it, which
/// includes an order whose result is already in place.
fn execute_order(worker: &mut Worker, order: Order, fence: u8, bounds: &Bounds) -> bool {
    if bounds.fencing && fence < worker.fence {
        return false;
    }
    let (before, after) = match order.kind {
        OrderKind::Load => (None, Some(order.adapter)),
        OrderKind::Unload => (Some(order.adapter), None),
    };
    if worker.slot != before && worker.slot != after {
        return false;
    }
    worker.fence = if bounds.fencing { fence } else { 0 };
    worker.slot = after;
    true
}

/// Adds the step in which the owner receives a listing of the worker, if that
/// changes the owner's state. The listing shows the running requests, the resident
/// adapter and the boot.
fn listing_steps(s: &State, mutation: Option<Mutation>, owner: usize, steps: &mut Steps) {
    let mut next = *s;
    let this_owner = &mut next.owners[owner];
    for adapter in 0..ADAPTER_COUNT {
        let bit = 1 << adapter;
        let idle = s.requests[adapter] != RequestState::Running
            || mutation == Some(Mutation::EvictionWithoutListing);
        if idle && this_owner.listing_wait == 0 && this_owner.pins[adapter] == 0 {
            this_owner.uncertain &= !bit;
        }
        let same_boot = this_owner.evicting_boot[adapter] == s.worker.boot
            || mutation == Some(Mutation::RestartClearsIntent);
        let absent = s.worker.slot != Some(adapter);
        let waited = this_owner.wait == 0 || mutation == Some(Mutation::IntentClearedDuringWait);
        if absent && same_boot && waited && this_owner.indistinct & bit == 0 {
            this_owner.end_eviction(adapter);
        }
    }
    if next != *s {
        steps.push((Action::List { owner }, next));
    }
}

/// Restarts the worker with an empty slot; the running requests are lost.
fn restart(s: &State) -> State {
    let mut next = *s;
    next.restarts -= 1;
    next.worker = Worker {
        slot: None,
        fence: 0,
        boot: s.worker.boot + 1,
    };
    for request in &mut next.requests {
        if *request == RequestState::Running {
            *request = RequestState::Idle;
        }
    }
    next
}
