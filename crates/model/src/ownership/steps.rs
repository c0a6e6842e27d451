//! Steps of the store, the clocks and the entry instances.

use super::instance::{Read, Swap};
use super::{
    Action, Bounds, Instance, LEASE_TICKS, MARGIN_TICKS, Mutation, PROMISE_LIMIT_TICKS, State,
};

type Steps = Vec<(Action, State)>;

/// Returns every enabled step with the state that it leads to.
pub(super) fn enabled_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> Steps {
    let mut steps = Steps::new();
    tick_steps(s, mutation, bounds, &mut steps);
    for n in 0..bounds.instances {
        if !s.table.is_member(n) {
            let mut next = *s;
            next.table.joined[n] = s.table.epoch;
            steps.push((Action::Join(n), next));
            continue;
        }
        read_steps(s, mutation, bounds, n, &mut steps);
        swap_steps(s, mutation, bounds, n, &mut steps);
        promise_steps(s, mutation, bounds, n, &mut steps);
        claim_steps(s, mutation, bounds, n, &mut steps);
    }
    steps
}

fn with_instance<FC>(s: &State, n: usize, change: FC) -> State
where
    FC: FnOnce(&mut Instance),
{
    let mut next = *s;
    change(&mut next.instances[n]);
    next
}

fn tick_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, steps: &mut Steps) {
    let mut push = |misses: Option<usize>| {
        let mut next = *s;
        for n in (0..bounds.instances).filter(|&n| Some(n) != misses) {
            next.instances[n].tick(mutation);
        }
        if misses.is_some() {
            next.slow_ticks -= 1;
        }
        steps.push((Action::Tick { misses }, next));
    };
    push(None);
    if s.slow_ticks > 0 {
        (0..bounds.instances).for_each(|n| push(Some(n)));
    }
}

fn read_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, n: usize, steps: &mut Steps) {
    let instance = &s.instances[n];
    let has_ownership_or_swap = instance.epoch > 0 || instance.swap != Swap::None;
    let reads = has_ownership_or_swap && bounds.readers & 1 << n != 0;
    let with_response = |age, table| {
        with_instance(s, n, |i| {
            i.read = Some(Read {
                age,
                shown: Some(table),
            })
        })
    };
    match instance.read {
        None if reads => {
            let next = with_instance(s, n, |i| {
                i.read = Some(Read {
                    age: 0,
                    shown: None,
                })
            });
            steps.push((Action::SendRead(n), next));
        }
        None => {}
        Some(Read { age, shown: None }) => {
            steps.push((Action::ServeRead(n), with_response(age, s.table)));
            if let Some(before) = s.before {
                steps.push((Action::ServeStaleRead(n), with_response(age, before)));
            }
            for from in (0..bounds.instances).filter(|&m| m != n) {
                let Some(Read {
                    age: peer_age,
                    shown: Some(table),
                }) = s.instances[from].read
                else {
                    continue;
                };
                let without_age = mutation == Some(Mutation::RelayWithoutAge);
                let total_age = if without_age { age } else { age + peer_age };
                if total_age < LEASE_TICKS {
                    steps.push((
                        Action::RelayRead { from, to: n },
                        with_response(total_age, table),
                    ));
                }
            }
        }
        Some(Read { shown: Some(_), .. }) => {
            let next = with_instance(s, n, |i| i.receive_read(n, mutation));
            steps.push((Action::ReceiveRead(n), next));
        }
    }
}

fn swap_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, n: usize, steps: &mut Steps) {
    let instance = &s.instances[n];
    let may_claim = instance.epoch == 0 && bounds.claimants & 1 << n != 0;
    match instance.swap {
        Swap::None if may_claim && s.table.epoch < bounds.epochs => {
            let next = with_instance(s, n, |i| {
                i.swap = Swap::Sent;
                if mutation == Some(Mutation::WaitFromSwapSent) {
                    i.wait = LEASE_TICKS + MARGIN_TICKS;
                }
            });
            steps.push((Action::SendSwap(n), next));
        }
        Swap::None => {}
        Swap::Sent => steps.push((Action::LandSwap(n), apply_swap(s, mutation, bounds, n))),
        Swap::Landed(table) => {
            let next = with_instance(s, n, |i| {
                i.swap = Swap::None;
                i.start_claim(n, &table, mutation);
            });
            steps.push((Action::AnswerSwap(n), next));
        }
        Swap::Rejected => {
            steps.push((
                Action::AnswerSwap(n),
                with_instance(s, n, |i| i.swap = Swap::None),
            ));
        }
    }
}

/// Applies the compare-and-swap of `n` at the store. This may happen at any
/// time, also after `n` has stopped waiting for the response. The comparison is
/// left out: the swap fails only if `n` is the owner already or the search's
/// highest epoch is reached.
fn apply_swap(s: &State, mutation: Option<Mutation>, bounds: &Bounds, n: usize) -> State {
    let mut next = *s;
    if usize::from(s.table.owner) == n || s.table.epoch >= bounds.epochs {
        next.instances[n].swap = Swap::Rejected;
        return next;
    }
    if mutation == Some(Mutation::StaleRead) {
        next.before = Some(s.table);
    }
    next.table.owner = n as u8;
    next.table.epoch += 1;
    next.instances[n].swap = Swap::Landed(next.table);
    next
}

fn promise_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    n: usize,
    steps: &mut Steps,
) {
    let instance = &s.instances[n];
    let unlimited = mutation == Some(Mutation::PromisesWithoutLimit);
    let recent = instance.unread < PROMISE_LIMIT_TICKS || unlimited;
    let may_request = instance.epoch > 0 && recent && bounds.promise_requesters & 1 << n != 0;
    let Some(ask) = instance.ask else {
        if may_request && instance.members & !(1 << n) != 0 {
            steps.push((
                Action::AskPromises(n),
                with_instance(s, n, |i| i.request_promises(n)),
            ));
        }
        return;
    };
    for from in 0..bounds.instances {
        let outstanding = ask.needed & !ask.promised & 1 << from != 0;
        let knows_higher_epoch = s.instances[from].seen > instance.epoch;
        if outstanding && (!knows_higher_epoch || mutation == Some(Mutation::PromiseToLowerEpoch)) {
            let next = with_instance(s, n, |i| i.receive_promise(from, mutation));
            steps.push((Action::Promise { from, to: n }, next));
        }
    }
}

/// Adds the steps in which another member acknowledges the claim of instance `n`,
/// which only members that joined before the epoch that the claim replaces may do,
/// and the step that records in the table that the claim's wait has ended.
fn claim_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    n: usize,
    steps: &mut Steps,
) {
    let instance = &s.instances[n];
    if instance.epoch == 0 {
        return;
    }
    let is_listed_owner = usize::from(s.table.owner) == n && s.table.epoch == instance.epoch;
    if instance.wait == 0 && is_listed_owner && s.table.settled < instance.epoch {
        let mut next = *s;
        next.table.settled = instance.epoch;
        steps.push((Action::Settle(n), next));
    }
    for from in (0..bounds.instances).filter(|&m| m != n) {
        let any_member = mutation == Some(Mutation::AcknowledgementFromAnyMember);
        let may_acknowledge =
            s.table.joined_before(from, instance.replaced) || any_member && s.table.is_member(from);
        if instance.wait > 0 && may_acknowledge && s.instances[from].seen <= instance.epoch {
            let next = acknowledge(s, mutation, from, n);
            steps.push((Action::Acknowledge { from, to: n }, next));
        }
    }
}

fn acknowledge(s: &State, mutation: Option<Mutation>, from: usize, to: usize) -> State {
    let epoch = s.instances[to].epoch;
    let mut next = *s;
    if mutation == Some(Mutation::AcknowledgementWithoutResigning) {
        next.instances[from].seen = epoch;
    } else {
        next.instances[from].learn_epoch(epoch);
    }
    let remaining = match mutation {
        Some(Mutation::WaitNotCountedFromAcknowledgement) => 0,
        _ => LEASE_TICKS + MARGIN_TICKS,
    };
    next.instances[to].wait = next.instances[to].wait.min(remaining);
    next
}
