//! Steps of the engine, of orders and reports in transit, and of the coordinators.

use super::{Action, Bounds, COORDINATOR_COUNT, Mutation, Order, OrderKind, OrderOutcome, State};

type Steps = Vec<(Action, State)>;

/// Returns every enabled step with the state that it leads to.
pub(super) fn enabled_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> Steps {
    let mut steps = Steps::new();
    engine_steps(s, bounds, &mut steps);
    late_order_steps(s, mutation, bounds, &mut steps);
    for coordinator in 0..COORDINATOR_COUNT {
        if bounds.concurrent || coordinator == s.in_office {
            coordinator_steps(s, mutation, bounds, coordinator, &mut steps);
        }
    }
    if !bounds.concurrent && s.in_office == 0 {
        let mut next = s.clone();
        give_up(&mut next, 0, mutation);
        next.coordinators[1] = next.coordinators[0].successor(mutation);
        next.coordinators[0] = Default::default();
        next.in_office = 1;
        steps.push((Action::ChangeCoordinator, next));
    }
    steps
}

fn engine_steps(s: &State, bounds: &Bounds, steps: &mut Steps) {
    for adapter in 0..bounds.adapters {
        if s.engine.loading[adapter] > 0 {
            let mut next = s.clone();
            next.engine.loading[adapter] -= 1;
            next.engine.resident |= 1 << adapter;
            steps.push((Action::LoadCompletes { adapter }, next));
        }
        if s.engine.evicting & 1 << adapter != 0 {
            let mut next = s.clone();
            next.engine.evicting &= !(1 << adapter);
            next.engine.resident &= !(1 << adapter);
            steps.push((Action::EvictionCompletes { adapter }, next));
        }
    }
    if s.restarts > 0 {
        let mut next = s.clone();
        next.restarts -= 1;
        next.engine.incarnation += 1;
        next.engine.accepted = 0;
        next.engine.resident = 0;
        next.engine.evicting = 0;
        next.engine.loading = Default::default();
        steps.push((Action::Restart, next));
    }
    let mut next = s.clone();
    next.report = s.engine.report();
    if bounds.keeps_id {
        next.coordinators[s.in_office].on_report_caught_up();
    }
    steps.push((Action::ReportCatchesUp, next));
}

fn late_order_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, steps: &mut Steps) {
    for (i, &order) in s.late.iter().enumerate() {
        let mut next = s.clone();
        next.late.remove(i);
        if bounds.keeps_id {
            let mut next = next.clone();
            next.coordinators[s.in_office].on_expired(&order);
            steps.push((Action::LateOrderExpires { order }, next));
        }
        let outcome = carry_out(&mut next, order, mutation, bounds);
        let mut push = |next, counted| {
            let action = Action::LateOrderCarriedOut {
                order,
                outcome,
                counted,
            };
            steps.push((action, next));
        };
        if outcome == OrderOutcome::Accepted && !bounds.counts_late_orders {
            let mut uncounted = next.clone();
            uncounted.engine.accepted -= 1;
            push(uncounted, false);
        }
        push(next, outcome == OrderOutcome::Accepted);
    }
}

fn coordinator_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    coordinator: usize,
    steps: &mut Steps,
) {
    let c = &s.coordinators[coordinator];
    if let Some(order) = c.pending {
        let mut next = s.clone();
        let outcome = carry_out(&mut next, order, mutation, bounds);
        next.coordinators[coordinator].on_outcome(outcome, mutation);
        let action = Action::OrderAnswered {
            coordinator,
            outcome,
        };
        steps.push((action, next));
        let mut next = s.clone();
        give_up(&mut next, coordinator, mutation);
        steps.push((Action::AnswerLost { coordinator }, next));
        return;
    }
    let mut next = s.clone();
    next.coordinators[coordinator].on_report(&s.report, mutation, bounds);
    if next != *s {
        steps.push((Action::FetchReport { coordinator }, next));
    }
    if c.incarnation < s.engine.incarnation {
        let mut next = s.clone();
        next.coordinators[coordinator].on_restart(s.engine.incarnation, mutation, bounds);
        steps.push((Action::LearnRestart { coordinator }, next));
    }
    if s.orders == 0 {
        return;
    }
    for kind in [OrderKind::Load, OrderKind::Unload] {
        for adapter in 0..bounds.adapters {
            let Some(order) = c.order(kind, adapter, mutation, bounds) else {
                continue;
            };
            let mut next = s.clone();
            next.orders -= 1;
            next.coordinators[coordinator].pending = Some(order);
            let action = Action::SendOrder {
                coordinator,
                kind,
                adapter,
            };
            steps.push((action, next));
        }
    }
}

/// Ends the wait for a response. The engine may carry the order out later, which
/// includes that it has done so and its response was lost.
fn give_up(next: &mut State, coordinator: usize, mutation: Option<Mutation>) {
    if let Some(order) = next.coordinators[coordinator].give_up(mutation) {
        next.late.push(order);
        next.late.sort_unstable();
    }
}

/// Lets the engine carry out an order, and returns its response.
fn carry_out(
    next: &mut State,
    order: Order,
    mutation: Option<Mutation>,
    bounds: &Bounds,
) -> OrderOutcome {
    let engine = &mut next.engine;
    let bit = 1 << order.adapter;
    if !bounds.keeps_id && order.incarnation != engine.incarnation {
        return OrderOutcome::Refused;
    }
    let checks_count = mutation != Some(Mutation::NoPrecondition);
    if checks_count && order.after != engine.accepted || engine.evicting & bit != 0 {
        return OrderOutcome::Conflict;
    }
    let is_resident = engine.resident & bit != 0;
    match order.kind {
        OrderKind::Load if is_resident => return OrderOutcome::Done,
        OrderKind::Load => {
            engine.loading[order.adapter] += 1;
            next.overloaded |= engine.occupied_slots() > bounds.slots;
        }
        // An eviction doesn't end a load in progress.
        OrderKind::Unload if !is_resident || engine.loading[order.adapter] > 0 => {
            return OrderOutcome::Done;
        }
        OrderKind::Unload => engine.evicting |= bit,
    }
    engine.accepted += 1;
    OrderOutcome::Accepted
}
