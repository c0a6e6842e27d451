//! Finds the instance that a call is sent to.

use crate::call::Call;
use crate::coordinator::CommandTx;
use crate::peer::{PeerClients, PlaceAnswer, PlaceRequest};
use crate::state::{Shared, State};
use reedford_fleet::WeightVersion;
use reedford_fleet::balancer::Candidate;
use reedford_fleet::directory::{Instance, InstanceState};
use reedford_fleet::ownership::Holder;
use reedford_fleet::scheduler::{AdapterKey, CallId, Grant, Refusal, RefusalReason};
use reedford_fleet::{InstanceId, Now};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time without a coordinator for which a call is held.
const LEADERLESS_PATIENCE: Duration = Duration::from_millis(1_200);
/// Pause between two looks for a coordinator.
const LEADERLESS_PAUSE: Duration = Duration::from_millis(40);
/// After this time without a coordinator, a call goes where its adapter ran
/// last.
const LAST_PLACE_AFTER: Duration = Duration::from_millis(80);
/// Time after which a caller is asked to come back when no coordinator is
/// known; claims take about that long.
const LEADERLESS_RETRY: Duration = Duration::from_millis(700);

/// Time after which a caller is asked to come back, to another node, when this
/// one is cut off.
const CUT_OFF_RETRY: Duration = Duration::from_millis(50);

/// Finds places for calls.
#[derive(Clone, Debug)]
pub(crate) struct Places {
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: CommandTx,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) own: SocketAddr,
    pub(crate) zone: Box<str>,
}

/// Where a call goes.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    pub(crate) grant: Grant,
    /// Who has to hear what becomes of it, for a model call.
    pub(crate) coordinator: Option<SocketAddr>,
}

impl Places {
    /// A place for a model call, from the zone's coordinator.
    pub(crate) async fn engine(
        &self,
        call: &Call,
        sending: CallId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Result<Placed, Refusal> {
        let started = self.shared.now();
        loop {
            let now = self.shared.now();
            if let Some(answer) = self.ask(call, &sending, avoid, now).await {
                match answer {
                    PlaceAnswer::Granted { grant, coordinator } => {
                        self.remember(call, &grant);
                        return Ok(Placed {
                            grant,
                            coordinator: Some(coordinator),
                        });
                    }
                    PlaceAnswer::Refused(refusal) => return Err(refusal),
                    PlaceAnswer::NotCoordinator(holder) => self.learn(holder),
                }
            } else {
                self.shared.no_coordinator.notify_one();
            }
            let now = self.shared.now();
            let waited = now.saturating_sub(started);
            let cut_off = self.shared.lock().cut_off(now);
            if (cut_off || waited >= LAST_PLACE_AFTER)
                && let Some(grant) = self.last_place(call, &sending, avoid)
            {
                tracing::info!(event = "placed_without_coordinator", id = %call.id,
                    instance = %grant.instance);
                return Ok(Placed {
                    grant,
                    coordinator: None,
                });
            }
            // Another node can place the call of a caller that comes back.
            let (patience, retry_after) = if cut_off {
                (Duration::ZERO, CUT_OFF_RETRY)
            } else {
                (LEADERLESS_PATIENCE, LEADERLESS_RETRY)
            };
            if waited >= patience || call.left(now) < LEADERLESS_PAUSE {
                return Err(Refusal {
                    call: sending,
                    reason: RefusalReason::NoEngine,
                    retry_after: retry_after.min(call.left(now) / 3),
                });
            }
            sleep(LEADERLESS_PAUSE).await;
        }
    }

    async fn ask(
        &self,
        call: &Call,
        sending: &CallId,
        avoid: &BTreeSet<InstanceId>,
        now: Now,
    ) -> Option<PlaceAnswer> {
        let holder = self.shared.lock().role.holder().cloned();
        let holder = holder?;
        let req = place_request(call, sending, avoid, now)?;
        if holder.addr == self.own {
            return Some(self.commands.place(req).await);
        }
        let patience = req.patience;
        let asked = self
            .peers
            .long_call(holder.addr, patience, |peer, cx| async move {
                peer.place(cx, req).await
            })
            .await;
        match asked {
            Ok(answer) => {
                self.shared.lock().contact.on_success();
                Some(answer)
            }
            Err(error) => {
                let now = self.shared.now();
                self.shared.lock().contact.on_failure(now);
                tracing::info!(event = "coordinator_unreachable", id = %call.id,
                    node = %holder.node, fence = holder.fence, %error);
                None
            }
        }
    }

    /// Takes another node's word on who coordinates the zone; this node may
    /// not reach the store.
    fn learn(&self, holder: Option<Holder>) {
        match holder {
            Some(holder) => self.shared.lock().role.on_peer_holder(holder),
            None => self.shared.no_coordinator.notify_one(),
        }
    }

    fn remember(&self, call: &Call, grant: &Grant) {
        let Some(key) = call.adapter() else { return };
        let now = self.shared.now();
        self.shared.lock().remember(key, grant, now);
    }

    /// Where the adapter ran last, or is listed; any engine for the base model
    /// itself.
    fn last_place(
        &self,
        call: &Call,
        sending: &CallId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Option<Grant> {
        let now = self.shared.now();
        let state = self.shared.lock();
        let (instance, version) = match call.adapter() {
            Some(key) => {
                let last = last_engine(&state, &key);
                last.or_else(|| listed_engine(&state, call, &key, avoid, now))?
            }
            None => (any_engine(&state, call, &self.zone, now)?, None),
        };
        let usable = !avoid.contains(&instance.id) && !state.health.is_ejected(&instance.id, now);
        usable.then(|| Grant {
            call: sending.clone(),
            instance: instance.id.clone(),
            addr: instance.addr,
            version,
        })
    }

    /// An instance of a plain service.
    pub(crate) fn plain(
        &self,
        call: &Call,
        sending: CallId,
        avoid: &BTreeSet<InstanceId>,
    ) -> Option<Placed> {
        let now = self.shared.now();
        let state = self.shared.lock();
        let ready: Vec<&Instance> = state
            .directory
            .ready(&call.service)
            .filter(|i| !avoid.contains(&i.id))
            .collect();
        let usable = state.health.usable(ready.iter().map(|i| &*i.id), now);
        let candidates: Vec<Candidate<'_>> = ready
            .iter()
            .filter(|i| usable.contains(&&*i.id))
            .map(|i| Candidate {
                id: &i.id,
                near: i.zone == self.zone,
                slots: i.slots,
            })
            .collect();
        let id = state.spread.choose(&candidates, call.draw(), now)?;
        let instance = state.directory.get(id)?;
        Some(Placed {
            grant: Grant {
                call: sending,
                instance: instance.id.clone(),
                addr: instance.addr,
                version: None,
            },
            coordinator: None,
        })
    }
}

/// The engine where an adapter ran last, unless a newer version was named.
fn last_engine<'a>(
    state: &'a State,
    key: &AdapterKey,
) -> Option<(&'a Instance, Option<WeightVersion>)> {
    let place = state.places.get(key)?;
    if state.versions.get(key).copied() > place.version {
        return None;
    }
    Some((state.usable(&place.instance)?, place.version))
}

/// An engine that listed an adapter when this node last heard of it. The
/// engine refuses the call if it has evicted the adapter since.
fn listed_engine<'a>(
    state: &'a State,
    call: &'a Call,
    key: &AdapterKey,
    avoid: &BTreeSet<InstanceId>,
    now: Now,
) -> Option<(&'a Instance, Option<WeightVersion>)> {
    let wanted = state.versions.get(key).copied();
    let ready = state.directory.ready(&call.service);
    let usable = ready.filter(|i| !avoid.contains(&i.id) && !state.health.is_ejected(&i.id, now));
    let listing: Vec<_> = usable
        .filter_map(|i| {
            let model = i.models.iter().find(|m| m.name == key.model)?;
            let version = model.adapters.get(&key.adapter).copied()?;
            (Some(version) >= wanted).then_some((i, Some(version)))
        })
        .collect();
    let index = call.draw() as usize % listing.len().max(1);
    listing.get(index).copied()
}

fn any_engine<'a>(state: &'a State, call: &Call, zone: &str, now: Now) -> Option<&'a Instance> {
    let near = state
        .directory
        .all()
        .filter(|i| i.service == call.service && i.state == InstanceState::Ready);
    let usable: Vec<&Instance> = near
        .filter(|i| &*i.zone == zone && !state.health.is_ejected(&i.id, now))
        .collect();
    let index = call.draw() as usize % usable.len().max(1);
    usable.get(index).copied()
}

fn place_request(
    call: &Call,
    sending: &CallId,
    avoid: &BTreeSet<InstanceId>,
    now: Now,
) -> Option<PlaceRequest> {
    let (model, adapter) = call.head.model.clone()?;
    Some(PlaceRequest {
        call: sending.clone(),
        service: call.service.clone(),
        model,
        adapter,
        tokens: call.head.prompt_tokens,
        output: call.head.output_tokens,
        priority: call.route.priority,
        due_in: call.due.checked_sub(now),
        patience: call.left(now),
        avoid: avoid.clone(),
        passed_on: false,
    })
}
