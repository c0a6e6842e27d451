//! Every step of the store, the clocks and the instances.

use super::instance::{Read, Swap};
use super::{Action, Bounds, Instance, MARGIN, Mutation, PROMISE_LIMIT, State, TTL};

type Steps = Vec<(Action, State)>;

pub(super) fn next(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> Steps {
    let mut steps = Steps::new();
    tick_steps(s, mutation, bounds, &mut steps);
    for n in 0..bounds.instances {
        if !s.table.is_member(n) {
            let mut t = *s;
            t.table.joined[n] = s.table.epoch;
            steps.push((Action::Join(n), t));
            continue;
        }
        read_steps(s, mutation, bounds, n, &mut steps);
        swap_steps(s, mutation, bounds, n, &mut steps);
        promise_steps(s, mutation, bounds, n, &mut steps);
        claim_steps(s, mutation, bounds, n, &mut steps);
    }
    steps
}

fn with<FC>(s: &State, n: usize, change: FC) -> State
where
    FC: FnOnce(&mut Instance),
{
    let mut t = *s;
    change(&mut t.instances[n]);
    t
}

fn tick_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, steps: &mut Steps) {
    let mut push = |misses: Option<usize>| {
        let mut t = *s;
        for n in (0..bounds.instances).filter(|&n| Some(n) != misses) {
            t.instances[n].tick(mutation);
        }
        if misses.is_some() {
            t.slow_ticks -= 1;
        }
        steps.push((Action::Tick { misses }, t));
    };
    push(None);
    if s.slow_ticks > 0 {
        (0..bounds.instances).for_each(|n| push(Some(n)));
    }
}

fn read_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, n: usize, steps: &mut Steps) {
    let me = &s.instances[n];
    let concerned = me.epoch > 0 || me.swap != Swap::None;
    let reads = concerned && bounds.readers & 1 << n != 0;
    let answered = |age, table| {
        with(s, n, |i| {
            i.read = Some(Read {
                age,
                shown: Some(table),
            })
        })
    };
    match me.read {
        None if reads => {
            let t = with(s, n, |i| {
                i.read = Some(Read {
                    age: 0,
                    shown: None,
                })
            });
            steps.push((Action::SendRead(n), t));
        }
        None => {}
        Some(Read { age, shown: None }) => {
            steps.push((Action::ServeRead(n), answered(age, s.table)));
            if let Some(before) = s.before {
                steps.push((Action::ServeStaleRead(n), answered(age, before)));
            }
            for from in (0..bounds.instances).filter(|&m| m != n) {
                let Some(Read {
                    age: its_age,
                    shown: Some(table),
                }) = s.instances[from].read
                else {
                    continue;
                };
                let without_age = mutation == Some(Mutation::RelayWithoutAge);
                let sum = if without_age { age } else { age + its_age };
                if sum < TTL {
                    steps.push((Action::RelayRead { from, to: n }, answered(sum, table)));
                }
            }
        }
        Some(Read { shown: Some(_), .. }) => {
            let t = with(s, n, |i| i.receive_read(n, mutation));
            steps.push((Action::ReceiveRead(n), t));
        }
    }
}

fn swap_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds, n: usize, steps: &mut Steps) {
    let me = &s.instances[n];
    let may_claim = me.epoch == 0 && bounds.claimants & 1 << n != 0;
    match me.swap {
        Swap::None if may_claim && s.table.epoch < bounds.epochs => {
            let t = with(s, n, |i| {
                i.swap = Swap::Sent;
                if mutation == Some(Mutation::WaitFromSwapSent) {
                    i.wait = TTL + MARGIN;
                }
            });
            steps.push((Action::SendSwap(n), t));
        }
        Swap::None => {}
        Swap::Sent => steps.push((Action::LandSwap(n), land_swap(s, mutation, bounds, n))),
        Swap::Landed(table) => {
            let t = with(s, n, |i| {
                i.swap = Swap::None;
                i.start_claim(n, &table, mutation);
            });
            steps.push((Action::AnswerSwap(n), t));
        }
        Swap::Rejected => {
            steps.push((Action::AnswerSwap(n), with(s, n, |i| i.swap = Swap::None)));
        }
    }
}

/// The swap takes effect at some time, also after its sender has given up
/// waiting for the answer.
fn land_swap(s: &State, mutation: Option<Mutation>, bounds: &Bounds, n: usize) -> State {
    let mut t = *s;
    if usize::from(s.table.owner) == n || s.table.epoch >= bounds.epochs {
        t.instances[n].swap = Swap::Rejected;
        return t;
    }
    if mutation == Some(Mutation::StaleRead) {
        t.before = Some(s.table);
    }
    t.table.owner = n as u8;
    t.table.epoch += 1;
    t.instances[n].swap = Swap::Landed(t.table);
    t
}

fn promise_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    n: usize,
    steps: &mut Steps,
) {
    let me = &s.instances[n];
    let unlimited = mutation == Some(Mutation::PromisesWithoutLimit);
    let recent = me.unread < PROMISE_LIMIT || unlimited;
    let may_ask = me.epoch > 0 && recent && bounds.askers & 1 << n != 0;
    let Some(ask) = me.ask else {
        if may_ask && me.members & !(1 << n) != 0 {
            steps.push((Action::AskPromises(n), with(s, n, |i| i.ask_promises(n))));
        }
        return;
    };
    for from in 0..bounds.instances {
        let open = ask.needed & !ask.promised & 1 << from != 0;
        let knows_higher = s.instances[from].seen > me.epoch;
        if open && (!knows_higher || mutation == Some(Mutation::PromiseToLowerEpoch)) {
            let t = with(s, n, |i| i.receive_promise(from, mutation));
            steps.push((Action::Promise { from, to: n }, t));
        }
    }
}

/// Acknowledgements for a claim that needs one, and the end of its wait.
fn claim_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    n: usize,
    steps: &mut Steps,
) {
    let me = &s.instances[n];
    if me.epoch == 0 {
        return;
    }
    let current = usize::from(s.table.owner) == n && s.table.epoch == me.epoch;
    if me.wait == 0 && current && s.table.settled < me.epoch {
        let mut t = *s;
        t.table.settled = me.epoch;
        steps.push((Action::Settle(n), t));
    }
    for from in (0..bounds.instances).filter(|&m| m != n) {
        let any = mutation == Some(Mutation::AcknowledgementFromAnyMember);
        let older = s.table.is_older(from, me.replaced) || any && s.table.is_member(from);
        if me.wait > 0 && older && s.instances[from].seen <= me.epoch {
            let t = acknowledge(s, mutation, from, n);
            steps.push((Action::Acknowledge { from, to: n }, t));
        }
    }
}

fn acknowledge(s: &State, mutation: Option<Mutation>, from: usize, to: usize) -> State {
    let epoch = s.instances[to].epoch;
    let mut t = *s;
    if mutation == Some(Mutation::AcknowledgementWithoutResigning) {
        t.instances[from].seen = epoch;
    } else {
        t.instances[from].learn_epoch(epoch);
    }
    let left = match mutation {
        Some(Mutation::WaitNotCountedFromAcknowledgement) => 0,
        _ => TTL + MARGIN,
    };
    t.instances[to].wait = t.instances[to].wait.min(left);
    t
}
