//! Every step of the clocks, the table, the owners, the worker and the entry.

use super::owner::Owner;
use super::{
    ADAPTERS, Action, Bounds, Clock, DELIVERY, Intent, Kind, MARGIN, Mutation, NEW, OLD, Order,
    Request, State, TTL, WINDOW, Worker,
};

type Steps = Vec<(Action, State)>;

pub(super) fn next(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> Steps {
    let mut steps = Steps::new();
    tick_steps(s, mutation, &mut steps);
    table_steps(s, mutation, bounds, &mut steps);
    for adapter in 0..ADAPTERS {
        request_steps(s, mutation, bounds, adapter, &mut steps);
    }
    for owner in [OLD, NEW] {
        order_steps(s, mutation, bounds, owner, &mut steps);
        answer_steps(s, bounds, owner, &mut steps);
        list_steps(s, mutation, owner, &mut steps);
    }
    if s.restarts > 0 {
        steps.push((Action::Restart, restart(s)));
    }
    for (_, t) in &mut steps {
        forget_ended(t);
    }
    steps
}

/// Drops what can't matter any more, so that states which behave alike are
/// one state.
fn forget_ended(t: &mut State) {
    if t.table == NEW && t.owners[OLD].has_ended() {
        t.owners[OLD] = Owner::default();
        t.intent = None;
    }
}

fn tick_steps(s: &State, mutation: Option<Mutation>, steps: &mut Steps) {
    let mut push = |misses: Option<Clock>| {
        let mut t = *s;
        for owner in [OLD, NEW] {
            if misses != Some(Clock::Owner(owner)) {
                t.owners[owner].tick(mutation);
            }
        }
        if misses != Some(Clock::Entry) {
            t.requests.iter_mut().for_each(|r| *r = age(*r, mutation));
        }
        if misses.is_some() {
            t.slow_ticks -= 1;
        }
        steps.push((Action::Tick { misses }, t));
    };
    push(None);
    if s.slow_ticks > 0 {
        [Clock::Owner(OLD), Clock::Owner(NEW), Clock::Entry]
            .into_iter()
            .for_each(|clock| push(Some(clock)));
    }
}

/// One tick of the entry's clock. A permit whose window ends is given up, and
/// a request that doesn't arrive in time never arrives.
fn age(request: Request, mutation: Option<Mutation>) -> Request {
    let unbounded = mutation == Some(Mutation::LateRequestArrives);
    match request {
        Request::Granted { age } if age + 1 < WINDOW => Request::Granted { age: age + 1 },
        Request::Granted { .. } if mutation == Some(Mutation::WindowFromGrant) => request,
        Request::Granted { .. } => Request::Idle,
        Request::Sent { age } if age + 1 < WINDOW + DELIVERY => Request::Sent { age: age + 1 },
        Request::Sent { .. } if !unbounded => Request::Idle,
        other => other,
    }
}

fn table_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, steps: &mut Steps) {
    if s.table == OLD {
        let mut t = *s;
        t.owners[OLD].lease = TTL;
        t.owners[OLD].grace = bounds.grace;
        steps.push((Action::Renew, t));
        steps.push((Action::Claim, claim(s, mutation, bounds)));
    }
    let quiet = s.orders[OLD].is_none() && s.owners[OLD].evicting == 0;
    if bounds.handover && s.table == OLD && s.owners[OLD].lease > 0 && quiet {
        let mut t = claim(s, mutation, bounds);
        t.owners[OLD].handed_over = true;
        t.handover = Some((s.owners[OLD].pins, s.owners[OLD].uncertain));
        if mutation == Some(Mutation::HandoverWithoutMessage) {
            t.owners[NEW].wait = 0;
            t.owners[NEW].uncertain = 0;
        }
        steps.push((Action::SendHandover, t));
    }
    if let Some((pins, uncertain)) = s.handover {
        steps.push((
            Action::ReceiveHandover,
            receive_handover(s, mutation, pins, uncertain),
        ));
    }
}

fn claim(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> State {
    let mut t = *s;
    let intent = s
        .intent
        .filter(|_| !bounds.fencing && mutation != Some(Mutation::NoIntent));
    t.table = NEW;
    t.owners[NEW].claim(intent, mutation, bounds);
    t
}

/// With the old owner's word that it has stopped, the new one needs no wait.
/// A handover that comes after the wait knows nothing of what the new owner has
/// granted since, and is dropped.
fn receive_handover(
    s: &State,
    mutation: Option<Mutation>,
    pins: [u8; ADAPTERS],
    uncertain: u8,
) -> State {
    let mut t = *s;
    let new = &mut t.owners[NEW];
    t.handover = None;
    if new.wait == 0 && mutation != Some(Mutation::LateHandoverTaken) {
        return t;
    }
    new.wait = 0;
    new.listing_wait = 0;
    if mutation == Some(Mutation::HandoverWithoutPins) {
        new.uncertain = 0;
        return t;
    }
    new.uncertain = uncertain;
    for (mine, theirs) in new.pins.iter_mut().zip(pins) {
        let moved = if theirs > 0 { theirs + MARGIN } else { 0 };
        *mine = moved.max(*mine);
    }
    t
}

fn request_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    adapter: usize,
    steps: &mut Steps,
) {
    let becomes = |request| {
        let mut t = *s;
        t.requests[adapter] = request;
        t
    };
    match s.requests[adapter] {
        Request::Idle => {
            for owner in [OLD, NEW] {
                if s.owners[owner].may_grant(owner, adapter, mutation, bounds) {
                    let mut t = becomes(Request::Granted { age: 0 });
                    t.owners[owner].pin(adapter, mutation);
                    steps.push((Action::Grant { owner, adapter }, t));
                }
            }
        }
        Request::Granted { age } => {
            steps.push((Action::Dispatch { adapter }, becomes(Request::Sent { age })));
        }
        Request::Sent { .. } if s.worker.slot == Some(adapter) => {
            steps.push((
                Action::RequestArrives { adapter },
                becomes(Request::Running),
            ));
        }
        // A refusal ends the request as the end of its run does.
        Request::Sent { .. } | Request::Running => {
            let mut t = becomes(Request::Idle);
            steps.push((Action::EndReleaseLost { adapter }, t));
            t.owners.iter_mut().for_each(|o| o.pins[adapter] = 0);
            steps.push((Action::EndAndRelease { adapter }, t));
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
    let me = &s.owners[owner];
    if s.orders[owner].is_some() || !me.may_order(owner) {
        return;
    }
    for adapter in 0..ADAPTERS {
        let mut t = *s;
        t.orders[owner] = Some(Order {
            kind: Kind::Load,
            adapter,
            handled: None,
        });
        steps.push((
            Action::SendOrder {
                owner,
                kind: Kind::Load,
                adapter,
            },
            t,
        ));
    }
    let Some(adapter) = s.worker.slot else {
        return;
    };
    let intent = Intent {
        adapter,
        boot: s.worker.boot,
    };
    let needs_intent = owner == OLD && !bounds.fencing && mutation != Some(Mutation::NoIntent);
    if needs_intent && s.intent.is_none() && s.table == OLD {
        steps.push((
            Action::WriteIntent { adapter },
            State {
                intent: Some(intent),
                ..*s
            },
        ));
    }
    let recorded = !needs_intent || s.intent == Some(intent);
    let ordered = owner == OLD && me.evicting & 1 << adapter != 0;
    if me.is_unused(adapter, mutation) && recorded && !ordered {
        let t = send_unload(s, mutation, owner, adapter);
        steps.push((
            Action::SendOrder {
                owner,
                kind: Kind::Unload,
                adapter,
            },
            t,
        ));
    }
}

fn send_unload(s: &State, mutation: Option<Mutation>, owner: usize, adapter: usize) -> State {
    let mut t = *s;
    let me = &mut t.owners[owner];
    let inherited = me.evicting & 1 << adapter != 0;
    if !inherited {
        me.start_eviction(
            Intent {
                adapter,
                boot: s.worker.boot,
            },
            mutation,
        );
    } else if mutation != Some(Mutation::OwnEvictionClearsIntent) {
        me.indistinct |= 1 << adapter;
    }
    t.orders[owner] = Some(Order {
        kind: Kind::Unload,
        adapter,
        handled: None,
    });
    t
}

/// The order reaches the worker, and its answer the owner.
fn answer_steps(s: &State, bounds: &Bounds, owner: usize, steps: &mut Steps) {
    let Some(order) = s.orders[owner] else {
        return;
    };
    let mut t = *s;
    let Some(effect) = order.handled else {
        let effect = handle(&mut t.worker, order, owner as u8 + 1, bounds);
        t.orders[owner] = Some(Order {
            handled: Some(effect),
            ..order
        });
        steps.push((Action::OrderArrives { owner }, t));
        return;
    };
    t.orders[owner] = None;
    steps.push((Action::OrderAnswerLost { owner }, t));
    let me = &mut t.owners[owner];
    me.fence_raised |= effect && bounds.fencing;
    let own = me.indistinct & 1 << order.adapter == 0;
    if order.kind == Kind::Unload && own {
        me.end_eviction(order.adapter);
    }
    if order.kind == Kind::Unload && owner == OLD && s.table == OLD {
        t.intent = None;
    }
    steps.push((Action::OrderAnswered { owner }, t));
}

/// Whether the order took effect.
fn handle(worker: &mut Worker, order: Order, fence: u8, bounds: &Bounds) -> bool {
    if bounds.fencing && fence < worker.fence {
        return false;
    }
    let (before, after) = match order.kind {
        Kind::Load => (None, Some(order.adapter)),
        Kind::Unload => (Some(order.adapter), None),
    };
    if worker.slot != before && worker.slot != after {
        return false;
    }
    worker.fence = if bounds.fencing { fence } else { 0 };
    worker.slot = after;
    true
}

/// Clears doubts by the worker's listing: what runs, what is resident, and
/// since which start.
fn list_steps(s: &State, mutation: Option<Mutation>, owner: usize, steps: &mut Steps) {
    let mut t = *s;
    let me = &mut t.owners[owner];
    for adapter in 0..ADAPTERS {
        let bit = 1 << adapter;
        let idle = s.requests[adapter] != Request::Running
            || mutation == Some(Mutation::EvictionWithoutListing);
        if idle && me.listing_wait == 0 && me.pins[adapter] == 0 {
            me.uncertain &= !bit;
        }
        let same_boot = me.evicting_boot[adapter] == s.worker.boot
            || mutation == Some(Mutation::RestartClearsIntent);
        let absent = s.worker.slot != Some(adapter);
        let waited = me.wait == 0 || mutation == Some(Mutation::IntentClearedDuringWait);
        if absent && same_boot && waited && me.indistinct & bit == 0 {
            me.end_eviction(adapter);
        }
    }
    if t != *s {
        steps.push((Action::List { owner }, t));
    }
}

/// The worker starts again, empty; what ran is lost.
fn restart(s: &State) -> State {
    let mut t = *s;
    t.restarts -= 1;
    t.worker = Worker {
        slot: None,
        fence: 0,
        boot: s.worker.boot + 1,
    };
    for request in &mut t.requests {
        if *request == Request::Running {
            *request = Request::Idle;
        }
    }
    t
}
