//! Steps of the clocks, the store, the nodes, the operator and the instance.

use super::node::{Lease, Node, check_knowledge, wait_ticks};
use super::{
    Action, Bounds, ClaimId, INVARIANTS, Key, LEASE_TICKS, LastOrder, LateClaim, Mutation,
    NODE_COUNT, STORE_LEASE_TICKS, State,
};

type Steps = Vec<(Action, State)>;

/// Returns every enabled step with the state that it leads to.
pub(super) fn enabled_steps(s: &State, mutation: Option<Mutation>, bounds: &Bounds) -> Steps {
    let mut steps = Steps::new();
    store_steps(s, &mut steps);
    if bounds.claims > 0 {
        tick_steps(s, &mut steps);
    } else {
        writer_steps(s, bounds, &mut steps);
    }
    for node in 0..NODE_COUNT {
        if bounds.claims > 0 {
            role_steps(s, mutation, node, &mut steps);
        }
        knowledge_steps(s, mutation, bounds, node, &mut steps);
    }
    steps
}

fn tick_steps(s: &State, steps: &mut Steps) {
    let mut push = |misses: Option<usize>| {
        let mut next = *s;
        for (_, node) in (0..)
            .zip(&mut next.nodes)
            .filter(|(i, _)| misses != Some(*i))
        {
            node.tick();
        }
        if let Some(key) = &mut next.store.key {
            key.lease = key.lease.saturating_sub(1);
        }
        for claim in next.late_claims.iter_mut().flatten() {
            claim.lease = claim.lease.saturating_sub(1);
        }
        if misses.is_some() {
            next.slow_ticks -= 1;
        }
        steps.push((Action::Tick { misses }, next));
    };
    push(None);
    if s.slow_ticks > 0 {
        (0..NODE_COUNT).for_each(|node| push(Some(node)));
    }
}

fn store_steps(s: &State, steps: &mut Steps) {
    if s.restores > 0 {
        let mut next = *s;
        next.backup = s.store;
        steps.push((Action::Backup, next));
        let mut next = *s;
        next.restores -= 1;
        next.era += 1;
        next.store = s.backup;
        // Whether a key is lost with its lease is open: without a lease it may be
        // removed at any time.
        if let Some(key) = &mut next.store.key {
            key.lease = 0;
        }
        steps.push((Action::Restore, next));
    }
    if s.store.key.is_some_and(|key| key.lease == 0) {
        let mut next = *s;
        next.store.key = None;
        steps.push((Action::LeaseEnds, next));
    }
    for node in 0..NODE_COUNT {
        if let Some(claim) = s.late_claims[node] {
            let mut next = *s;
            next.late_claims[node] = None;
            land_claim(&mut next, node, claim);
            steps.push((Action::LateClaimArrives { node }, next));
        }
    }
}

/// Lets a claim take effect at the store if there is no key. In its own era it
/// needs its lease. In a later one, another lease may have the same id.
fn land_claim(next: &mut State, node: usize, claim: LateClaim) {
    let is_own_era = claim.id.era == next.era;
    let lease_ended = is_own_era && claim.lease == 0;
    if lease_ended || next.store.key.is_some() {
        return;
    }
    next.store.revision += 1;
    next.store.key = Some(Key {
        node,
        revision: next.store.revision,
        claim: claim.id,
        lease: if is_own_era { claim.lease } else { 0 },
    });
}

fn role_steps(s: &State, mutation: Option<Mutation>, node: usize, steps: &mut Steps) {
    claim_steps(s, mutation, node, steps);
    if let Some(lease) = s.nodes[node].lease
        && lease.revision.is_some()
    {
        let mut next = *s;
        renew(&mut next, node, lease, mutation);
        steps.push((Action::Renew { node }, next));
    }
    if let Some(token) = s.nodes[node].order_token(mutation) {
        let mut next = *s;
        let is_highest = s.last_order.is_none_or(|last| token >= last.token);
        let is_shared = s
            .last_order
            .is_some_and(|last| token == last.token && node != last.node);
        next.broken = if s.nodes[node].has_outdated_lease() {
            Some(INVARIANTS[2])
        } else if is_shared {
            Some(INVARIANTS[0])
        } else {
            (!is_highest).then_some(INVARIANTS[1])
        };
        next.last_order = Some(LastOrder { token, node });
        steps.push((Action::Order { node }, next));
    }
}

fn claim_steps(s: &State, mutation: Option<Mutation>, node: usize, steps: &mut Steps) {
    if s.claims == 0 {
        return;
    }
    let mut sent = *s;
    sent.claims -= 1;
    sent.store.leases += 1;
    sent.nodes[node].on_era(s.era, mutation);
    let id = ClaimId {
        era: s.era,
        lease: s.store.leases,
    };
    sent.nodes[node].lease = Some(Lease {
        id,
        ticks: LEASE_TICKS,
        revision: None,
    });
    let claim = LateClaim {
        id,
        lease: STORE_LEASE_TICKS,
    };
    let mut next = sent;
    land_claim(&mut next, node, claim);
    next.nodes[node].on_key(next.store.key, node, mutation);
    if next.nodes[node].lease.is_some_and(|l| l.revision.is_none()) {
        next.nodes[node].lease = None;
    }
    steps.push((Action::Claim { node }, next));
    if s.late_claims[node].is_none() {
        sent.late_claims[node] = Some(claim);
        steps.push((Action::ClaimAnswerLost { node }, sent));
    }
}

/// Renews the lease of the role, if the store still has it.
fn renew(next: &mut State, node: usize, lease: Lease, mutation: Option<Mutation>) {
    next.nodes[node].on_era(next.era, mutation);
    let is_held = next
        .store
        .key
        .is_some_and(|key| key.claim == lease.id && Some(key.revision) == lease.revision);
    let across_eras = mutation == Some(Mutation::LeaseRenewedAcrossEras);
    if lease.id.era == next.era && is_held || lease.id.era < next.era && across_eras {
        next.nodes[node].lease = Some(Lease {
            ticks: LEASE_TICKS,
            ..lease
        });
        if let Some(key) = next.store.key.as_mut().filter(|_| is_held) {
            key.lease = STORE_LEASE_TICKS;
        }
    } else if mutation != Some(Mutation::LeaseKept) {
        next.nodes[node].lease = None;
    }
}

fn knowledge_steps(
    s: &State,
    mutation: Option<Mutation>,
    bounds: &Bounds,
    node: usize,
    steps: &mut Steps,
) {
    let mut push = |action: Action, mut next: State| {
        check_knowledge(s, &mut next, node);
        if next != *s {
            steps.push((action, next));
        }
    };
    push(
        Action::ReadStore { node },
        read_store(s, mutation, bounds, node),
    );
    for from in (0..NODE_COUNT).filter(|&from| from != node) {
        let mut next = *s;
        let sender = s.nodes[from];
        let receiver = &mut next.nodes[node];
        if let Some(era) = sender.era {
            receiver.on_era(era, mutation);
            receiver.on_feed(sender.place, mutation);
            receiver.on_configuration(sender.configuration, None);
            receiver.on_instance(sender.instance);
        }
        push(Action::Feed { from, to: node }, next);
    }
    let mut next = *s;
    next.nodes[node].on_instance(s.instance);
    push(Action::InstanceAnswers { node }, next);
    if s.restarts > 0 {
        let mut next = *s;
        next.restarts -= 1;
        next.nodes[node] = Node::started();
        if mutation == Some(Mutation::WaitCountedFromStart) {
            next.nodes[node].wait = wait_ticks(mutation);
        }
        steps.push((Action::Restart { node }, next));
    }
}

fn read_store(s: &State, mutation: Option<Mutation>, bounds: &Bounds, node: usize) -> State {
    let mut next = *s;
    let reader = &mut next.nodes[node];
    let knows_earlier_era = reader.era.is_some_and(|era| era < s.era);
    reader.on_era(s.era, mutation);
    reader.on_key(s.store.key, node, mutation);
    if bounds.claims == 0 {
        reader.place = (s.era, s.store.revision);
    }
    reader.on_configuration(s.store.configuration, mutation);
    let instance = s.store.instance;
    match mutation {
        Some(Mutation::LeavingForgotten)
            if knows_earlier_era && instance.incarnation == reader.instance.incarnation =>
        {
            reader.instance = instance;
        }
        Some(Mutation::EarlierIncarnationBelieved)
            if instance.incarnation < reader.instance.incarnation =>
        {
            reader.instance = instance;
        }
        _ => reader.on_instance(instance),
    }
    next
}

/// Steps of those that write to the store again what it has lost.
fn writer_steps(s: &State, bounds: &Bounds, steps: &mut Steps) {
    let mut push_version = |version: u8| {
        let mut next = *s;
        next.configuration = version;
        next.store.configuration = version;
        next.store.revision += 1;
        steps.push((Action::OperatorWrites { version }, next));
    };
    if s.store.configuration < s.configuration {
        push_version(s.configuration);
    }
    if s.configuration < bounds.configurations {
        push_version(s.configuration + 1);
    }
    let mut push = |action: Action, next: State| {
        if next != *s {
            steps.push((action, next));
        }
    };
    let mut next = *s;
    next.instance.leaving = true;
    push(Action::InstanceLeaves, next);
    let mut next = *s;
    if s.store.instance != s.instance {
        next.store.instance = s.instance;
        next.store.revision += 1;
    }
    push(Action::InstanceWrites, next);
    if s.instance.incarnation < bounds.incarnations {
        let mut next = *s;
        next.instance.incarnation += 1;
        next.instance.leaving = false;
        push(Action::InstanceRestarts, next);
    }
}
