//! Selects the instance that a call is sent to.

use crate::call::Call;
use crate::coordinator::CommandTx;
use crate::handler::NO_INSTANCE_RETRY_AFTER;
use crate::peer::{PeerClients, PlaceRequest, PlaceResponse};
use crate::state::{Shared, State};
use crate::stop;
use reedford_fleet::WeightVersion;
use reedford_fleet::balancer::Candidate;
use reedford_fleet::directory::{Instance, InstanceState};
use reedford_fleet::ownership::Holder;
use reedford_fleet::quota::ChargeOutcome;
use reedford_fleet::scheduler::{AdapterKey, Grant, PlacementId, Refusal, RefusalReason};
use reedford_fleet::{InstanceId, Now, ServiceName};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for which a call waits for a coordinator.
const MAX_COORDINATOR_WAIT: Duration = Duration::from_millis(1_200);
/// Interval between attempts to reach a coordinator.
const COORDINATOR_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Time without a coordinator after which a call goes to the instance that last
/// ran its adapter.
const LAST_INSTANCE_DELAY: Duration = Duration::from_millis(80);
/// Retry delay sent to callers when no coordinator is known; a claim of the
/// role takes about that long.
const NO_COORDINATOR_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Longest wait for an instance that asked this node to wait, as a share of the
/// caller's remaining time.
const MAX_HOLD_SHARE: f64 = 0.5;
/// Longest retry delay sent to callers when all instances asked this node to wait;
/// a retry may reach another node.
const MAX_HELD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for which a call waits for its workspace's limit instead of being
/// refused.
const MAX_LIMIT_WAIT: Duration = Duration::from_millis(250);
/// Shortest pause before a call is charged again.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(10);
/// Timeout for a charge at another zone's coordinator.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(100);
/// Zones that are asked to charge a call.
const MAX_CHARGING_ZONES: usize = 2;

/// Retry delay sent to callers when this node is cut off; the retry may reach
/// another node.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Selects instances for calls.
#[derive(Clone, Debug)]
pub(crate) struct Placer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: CommandTx,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) own_addr: SocketAddr,
    pub(crate) zone: Box<str>,
}

/// When an instance that a call may use is available.
struct Availability {
    /// When the first one is; `now` also if there are none.
    at: Now,
    /// Instances that are not available now.
    held: BTreeSet<InstanceId>,
    /// Time in which calls that wait already use the instances before this one.
    queue: Duration,
}

/// A call that waits for an instance; counted until it is dropped.
struct Waiting<'a> {
    shared: &'a Shared,
    service: &'a ServiceName,
}

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared, service: &'a ServiceName) -> Self {
        let mut state = shared.lock();
        *state.awaiting_turn.entry(service.clone()).or_default() += 1;
        Self { shared, service }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.shared.lock().awaiting_turn.get_mut(self.service) {
            *count = count.saturating_sub(1);
        }
    }
}

/// An instance selected for a call.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) grant: Grant,
    /// The coordinator that expects progress reports, if one granted a model
    /// call.
    pub(crate) coordinator: Option<SocketAddr>,
}

impl Placer {
    /// Requests an engine for a model call from the zone's coordinator. Engines that
    /// asked this node to wait are avoided, and waited for if there are no others.
    pub(crate) async fn request_engine(
        &self,
        call: &Call,
        placement_id: PlacementId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Result<Placement, Refusal> {
        let mut started = self.shared.now();
        let mut limit_wait = Duration::ZERO;
        loop {
            let held = self
                .wait_until_available(call, &placement_id, avoid)
                .await?;
            let avoid = &(avoid | &held);
            let now = self.shared.now();
            if let Some(response) = self
                .request_placement(call, &placement_id, avoid, now)
                .await
            {
                match response {
                    PlaceResponse::Granted { grant, coordinator } => {
                        call.caller.on_charged();
                        self.record_last_instance(call, &grant);
                        return Ok(Placement {
                            grant,
                            coordinator: Some(coordinator),
                        });
                    }
                    PlaceResponse::Refused(refusal)
                        if refusal.reason == RefusalReason::Limit
                            && limit_wait + refusal.retry_after <= MAX_LIMIT_WAIT =>
                    {
                        limit_wait += refusal.retry_after.max(MIN_LIMIT_WAIT);
                        sleep(refusal.retry_after.max(MIN_LIMIT_WAIT)).await;
                        started = self.shared.now();
                        continue;
                    }
                    PlaceResponse::Refused(refusal) => return Err(refusal),
                    PlaceResponse::NotCoordinator(holder) => self.record_coordinator(holder),
                }
            } else {
                self.shared.coordinator_wanted.notify_one();
            }
            let now = self.shared.now();
            let waited = now.saturating_sub(started);
            let cut_off = self.shared.lock().cut_off(now);
            if (cut_off || waited >= LAST_INSTANCE_DELAY)
                && let Some(grant) = self.select_without_coordinator(call, &placement_id, avoid)
            {
                self.charge_without_coordinator(call, cut_off).await?;
                tracing::info!(event = "placed_without_coordinator", id = %call.id,
                    instance = %grant.instance);
                return Ok(Placement {
                    grant,
                    coordinator: None,
                });
            }
            // A node that is cut off refuses at once: the caller's retry may reach
            // a node that isn't.
            let (max_wait, retry_after) = if cut_off {
                (Duration::ZERO, CUT_OFF_RETRY_AFTER)
            } else {
                (MAX_COORDINATOR_WAIT, NO_COORDINATOR_RETRY_AFTER)
            };
            if waited >= max_wait || call.time_left(now) < COORDINATOR_RETRY_INTERVAL {
                return Err(Refusal {
                    call: placement_id,
                    reason: RefusalReason::NoEngine,
                    retry_after: retry_after.min(call.time_left(now) / 3),
                });
            }
            sleep(COORDINATOR_RETRY_INTERVAL).await;
        }
    }

    /// Charges a call for which this zone's coordinator can't be reached: to the part of
    /// another zone, or else to this node's reserve.
    async fn charge_without_coordinator(&self, call: &Call, cut_off: bool) -> Result<(), Refusal> {
        let Some(charge) = call.caller.unpaid() else {
            return Ok(());
        };
        let addrs: Vec<SocketAddr> = {
            let state = self.shared.lock();
            let others = state.other_coordinators.values().filter(|_| !cut_off);
            others.map(|h| h.addr).take(MAX_CHARGING_ZONES).collect()
        };
        for addr in addrs {
            let charge = charge.clone();
            let charged = self
                .peers
                .call(addr, CHARGE_TIMEOUT, |peer, cx| async move {
                    peer.charge(cx, charge).await
                })
                .await;
            if let Ok(Some(ChargeOutcome::Charged)) = charged {
                call.caller.on_charged();
                return Ok(());
            }
        }
        self.shared.charge_reserve(call, self.shared.now())
    }

    async fn request_placement(
        &self,
        call: &Call,
        placement_id: &PlacementId,
        avoid: &BTreeSet<InstanceId>,
        now: Now,
    ) -> Option<PlaceResponse> {
        let holder = self.shared.lock().role.holder().cloned();
        let holder = holder?;
        let req = new_place_request(call, placement_id, avoid, now)?;
        if holder.addr == self.own_addr {
            return Some(self.commands.place(req).await);
        }
        let time_left = req.patience;
        let result = self
            .peers
            .long_call(holder.addr, time_left, |peer, cx| async move {
                peer.place(cx, req).await
            })
            .await;
        match result {
            Ok(response) => {
                self.shared.lock().connectivity.on_success();
                Some(response)
            }
            Err(error) => {
                let now = self.shared.now();
                self.shared.lock().connectivity.on_failure(now);
                tracing::info!(event = "coordinator_unreachable", id = %call.id,
                    node = %holder.node, fence = holder.fence, %error);
                None
            }
        }
    }

    /// Records the coordinator that another node names, because this node may be
    /// unable to reach the store itself; if it names none, requests a look-up.
    fn record_coordinator(&self, holder: Option<Holder>) {
        match holder {
            Some(holder) => {
                self.shared.lock().role.on_peer_holder(holder);
                self.shared.holder_changed.notify_waiters();
            }
            None => self.shared.coordinator_wanted.notify_one(),
        }
    }

    fn record_last_instance(&self, call: &Call, grant: &Grant) {
        let Some(key) = call.adapter() else { return };
        let now = self.shared.now();
        self.shared.lock().record_last_instance(key, grant, now);
    }

    /// Selects an engine without the coordinator: for an adapter, the engine
    /// that last ran it or one that lists it; for the base model itself, any
    /// engine.
    fn select_without_coordinator(
        &self,
        call: &Call,
        placement_id: &PlacementId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Option<Grant> {
        let now = self.shared.now();
        let state = self.shared.lock();
        let (instance, version) = match call.adapter() {
            Some(key) => {
                let last = last_engine(&state, &key);
                last.or_else(|| listed_engine(&state, call, &key, avoid, now))?
            }
            None => (any_engine(&state, call, &self.zone, avoid, now)?, None),
        };
        let usable = !avoid.contains(&instance.id)
            && call.accepts(instance)
            && state.turn_at(instance, now) <= now
            && !state.health.is_ejected(&instance.id, now);
        usable.then(|| Grant {
            call: placement_id.clone(),
            instance: instance.id.clone(),
            addr: instance.addr,
            born: instance.born,
            version,
        })
    }

    /// Selects an instance of a plain service, or waits until one is available that
    /// asked this node to wait.
    pub(crate) async fn wait_for_plain(
        &self,
        call: &Call,
        placement_id: PlacementId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Result<Placement, Refusal> {
        let held = self
            .wait_until_available(call, &placement_id, avoid)
            .await?;
        self.select_plain(call, placement_id.clone(), &(avoid | &held))
            .ok_or(Refusal {
                call: placement_id,
                reason: RefusalReason::NoEngine,
                retry_after: NO_INSTANCE_RETRY_AFTER,
            })
    }

    /// Waits while all instances that a call may use asked this node to wait, or have
    /// no turn for it, and returns those that still do. Refuses the call if that takes
    /// too much of the caller's time.
    async fn wait_until_available(
        &self,
        call: &Call,
        placement_id: &PlacementId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Result<BTreeSet<InstanceId>, Refusal> {
        let arrived = self.shared.now();
        let latest = arrived + call.event_time_left(arrived).mul_f64(MAX_HOLD_SHARE);
        let mut waiting = None;
        loop {
            let now = self.shared.now();
            let Availability { at, held, queue } = self.availability(call, avoid, now);
            if at <= now {
                return Ok(held);
            }
            let wait = at - now;
            let expected = if waiting.is_none() {
                wait + queue
            } else {
                wait
            };
            if let Some(last) = self.shared.last_sending_at(call)
                && now + expected > last
            {
                return Err(stop::refusal(placement_id.clone()));
            }
            if now + expected > latest {
                tracing::info!(event = "held_off", id = %call.id, held = held.len(),
                    wait_ms = expected.as_millis() as u64);
                return Err(Refusal {
                    call: placement_id.clone(),
                    reason: RefusalReason::Held,
                    retry_after: expected.min(MAX_HELD_RETRY_AFTER),
                });
            }
            waiting.get_or_insert_with(|| Waiting::new(&self.shared, &call.service));
            let is_stopping = self.shared.stop_times.borrow().is_some();
            tokio::select! {
                () = sleep(wait) => {}
                // The wait may be too long for a node that stops.
                _ = self.shared.stop_begins(), if !is_stopping => {}
            }
        }
    }

    /// Returns when an instance that a call may use is available to this node.
    fn availability(&self, call: &Call, avoid: &BTreeSet<InstanceId>, now: Now) -> Availability {
        let state = self.shared.lock();
        let is_limited = !call.is_model_call && !state.rate_limits.is_empty();
        if state.pushback.is_over(now) && !is_limited {
            return Availability {
                at: now,
                held: BTreeSet::new(),
                queue: Duration::ZERO,
            };
        }
        let usable = state.directory.ready(&call.service);
        let usable = usable.filter(|i| !avoid.contains(&i.id));
        let nodes = state.budget.node_count();
        let mut earliest = None;
        // `None` if an instance names no limit.
        let mut turns_per_s = is_limited.then_some(0.0);
        let mut held = BTreeSet::new();
        for instance in usable {
            let mut at = state.available_at(instance, now);
            if is_limited {
                at = at.max(state.turn_at(instance, now));
                at = at.max(state.room_at(instance, now));
                let limits = &state.rate_limits;
                let turns = limits.turns_per_s(&instance.id, instance.born, nodes);
                let turns = turns.or_else(|| state.room_per_s(instance, call.route.objective));
                turns_per_s = turns_per_s.zip(turns).map(|(sum, turns)| sum + turns);
            }
            earliest = Some(earliest.map_or(at, |e: Now| e.min(at)));
            if at > now {
                held.insert(instance.id.clone());
            }
        }
        let waiting = state.awaiting_turn.get(&call.service).copied().unwrap_or(0);
        let queue_s = turns_per_s.map_or(0.0, |per_s| f64::from(waiting) / per_s);
        Availability {
            at: earliest.unwrap_or(now),
            held,
            queue: Duration::try_from_secs_f64(queue_s).unwrap_or(Duration::ZERO),
        }
    }

    /// Selects an instance of a plain service.
    fn select_plain(
        &self,
        call: &Call,
        placement_id: PlacementId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Option<Placement> {
        let now = self.shared.now();
        let state = self.shared.lock();
        let ready: Vec<&Instance> = state
            .directory
            .ready(&call.service)
            .filter(|i| !avoid.contains(&i.id) && call.accepts(i))
            .collect();
        let usable = state.health.usable(ready.iter().map(|i| &*i.id), now);
        let candidates: Vec<Candidate<'_>> = ready
            .iter()
            .filter(|i| usable.contains(&&*i.id))
            .map(|i| Candidate {
                id: &i.id,
                same_zone: i.zone == self.zone,
                slots: i.slots,
            })
            .collect();
        let id = state.balancer.choose(&candidates, call.id_hash(), now)?;
        let instance = state.directory.get(id)?;
        Some(Placement {
            grant: Grant {
                call: placement_id,
                instance: instance.id.clone(),
                addr: instance.addr,
                born: instance.born,
                version: None,
            },
            coordinator: None,
        })
    }
}

/// Returns the engine that last ran an adapter, unless a newer version has been
/// set since.
fn last_engine<'a>(
    state: &'a State,
    key: &AdapterKey,
) -> Option<(&'a Instance, Option<WeightVersion>)> {
    let last = state.last_instances.get(key)?;
    if state.versions.get(key).copied() > last.version {
        return None;
    }
    Some((state.ready_instance(&last.instance)?, last.version))
}

/// Returns an engine that listed an adapter in its last known entry. The engine
/// rejects the call if it has evicted the adapter since.
fn listed_engine<'a>(
    state: &'a State,
    call: &'a Call,
    key: &AdapterKey,
    avoid: &BTreeSet<InstanceId>,
    now: Now,
) -> Option<(&'a Instance, Option<WeightVersion>)> {
    let wanted = state.versions.get(key).copied();
    let ready = state.directory.ready(&call.service);
    let usable = ready.filter(|i| {
        !avoid.contains(&i.id) && call.accepts(i) && !state.health.is_ejected(&i.id, now)
    });
    let listing: Vec<_> = usable
        .filter_map(|i| {
            let model = i.models.iter().find(|m| m.name == key.model)?;
            let version = model.adapters.get(&key.adapter).copied()?;
            (Some(version) >= wanted).then_some((i, Some(version)))
        })
        .collect();
    let index = call.id_hash() as usize % listing.len().max(1);
    listing.get(index).copied()
}

fn any_engine<'a>(
    state: &'a State,
    call: &Call,
    zone: &str,
    avoid: &BTreeSet<InstanceId>,
    now: Now,
) -> Option<&'a Instance> {
    let ready = state
        .directory
        .all()
        .filter(|i| i.service == call.service && i.state == InstanceState::Ready);
    let usable: Vec<&Instance> = ready
        .filter(|i| &*i.zone == zone && !avoid.contains(&i.id) && call.accepts(i))
        .filter(|i| !state.health.is_ejected(&i.id, now))
        .collect();
    let index = call.id_hash() as usize % usable.len().max(1);
    usable.get(index).copied()
}

fn new_place_request(
    call: &Call,
    placement_id: &PlacementId,
    avoid: &BTreeSet<InstanceId>,
    now: Now,
) -> Option<PlaceRequest> {
    let (model, adapter) = call.head.model.clone()?;
    Some(PlaceRequest {
        call: placement_id.clone(),
        service: call.service.clone(),
        model,
        adapter,
        tokens: call.head.prompt_tokens,
        parts: call.head.prompt_parts.clone(),
        output: call.head.max_output_tokens,
        priority: call.route.priority,
        due_in: call.objective_at.checked_sub(now),
        first_token_in: call.event_time_left(now),
        patience: call.time_left(now),
        avoid: avoid.clone(),
        software: call.required_software.clone(),
        passed_on: false,
        workspace: call.caller.workspace().cloned(),
        workspace_priority: call.caller.priority(),
        max_gap: call.route.max_gap,
        charge: call.caller.unpaid().map(|charge| charge.units),
    })
}
