//! One attempt of a call at an instance: finds the instance, and reports the
//! attempt's progress to the coordinator that granted it.

use super::Gateway;
use crate::call::Call;
use crate::dialect::Dialect;
use crate::placer::Placement;
use crate::state::LocalCall;
use crate::stop;
use reedford_fleet::quarantine::BLAME_TIME;
use reedford_fleet::scheduler::{Grant, Observation, PlacementId, Progress, Refusal, Rejection};
use reedford_fleet::{InstanceId, Now, SoftwareVersion, ZoneId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// A granted attempt. Dropping it reports its end.
#[derive(Debug)]
pub(crate) struct Attempt<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    pub(crate) grant: Grant,
    /// Availability zone of the engine.
    zone: ZoneId,
    /// Version of the instance's software at the time of the placement, if the
    /// instance was known.
    pub(crate) software: Option<SoftwareVersion>,
    /// The coordinator that granted the attempt, if one did.
    granted_by: Option<SocketAddr>,
    /// Whether the instance belongs to a plain service, whose calls the balancer
    /// counts.
    plain: bool,
    placed_at: Now,
    /// When the first event of the response came.
    pub(crate) first_event_at: Option<Now>,
    /// Whether it was recorded that the instance answers the call.
    answer_recorded: bool,
    ended: bool,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Finds an instance for the next attempt, unless this node stops before it could end.
    pub(crate) async fn find_instance(
        self: &Arc<Self>,
        call: &Call,
        tried: &BTreeSet<InstanceId>,
    ) -> Result<Attempt<D>, Refusal> {
        tokio::select! {
            biased;
            () = self.shared.last_sending(call) => Err(stop::refusal(call.id.clone())),
            found = self.search_instance(call, tried) => found,
        }
    }

    async fn search_instance(
        self: &Arc<Self>,
        call: &Call,
        tried: &BTreeSet<InstanceId>,
    ) -> Result<Attempt<D>, Refusal> {
        let requested = self.shared.now();
        if let Some(refusal) = self.shared.standing_refusal(call, requested) {
            return Err(refusal);
        }
        let placement = if call.is_model_call {
            self.find_engine(call, tried.clone()).await?
        } else {
            self.shared.charge_at_node(call, requested)?;
            let placement_id = new_placement_id(call);
            let placement = self
                .placer
                .wait_for_plain(call, placement_id, tried)
                .await?;
            if let Some(refusal) = self.shared.standing_refusal(call, self.shared.now()) {
                return Err(refusal);
            }
            placement
        };
        let waited = self.shared.now().saturating_sub(requested);
        self.metrics.placement_wait(&call.route.name, waited);
        let attempt = Attempt::new(Arc::clone(self), placement, call);
        tracing::info!(event = "placed", id = %call.id, instance = %attempt.grant.instance,
            addr = %attempt.grant.addr,
            software = ?attempt.software, version = ?attempt.grant.version,
            waited_ms = waited.as_millis() as u64);
        Ok(attempt)
    }

    /// Requests an engine from the coordinator. It may grant an engine that is
    /// leaving or has been restarted with another software version, if it is cut
    /// off from the store, or one that asked this node to wait; such a grant is
    /// given back and another engine is requested. So is the grant of a call that was
    /// quarantined while it waited; that call is refused.
    async fn find_engine(
        self: &Arc<Self>,
        call: &Call,
        mut avoid: BTreeSet<InstanceId>,
    ) -> Result<Placement, Refusal> {
        loop {
            let placement_id = new_placement_id(call);
            let mut placement = self
                .placer
                .request_engine(call, placement_id.clone(), &avoid)
                .await?;
            // A coordinator that is cut off from the store may know an earlier address.
            if let Some(known) = self.shared.lock().directory.get(&placement.grant.instance) {
                placement.grant.addr = known.addr;
            }
            let instance = placement.grant.instance.clone();
            if let Some(refusal) = self.shared.standing_refusal(call, self.shared.now()) {
                if let Some(coordinator) = placement.coordinator {
                    let call = placement_id;
                    self.progress.report(coordinator, call, Progress::Ended);
                }
                return Err(refusal);
            }
            let Some(rejection) = self.unusable(call, &placement.grant) else {
                return Ok(placement);
            };
            tracing::info!(event = "place_left", id = %call.id, %instance, why = ?rejection);
            if let Some(coordinator) = placement.coordinator {
                let progress = Progress::Rejected(rejection);
                self.progress.report(coordinator, placement_id, progress);
            }
            avoid.insert(instance);
        }
    }

    /// Returns why a granted engine can't be used by this node now.
    fn unusable(&self, call: &Call, grant: &Grant) -> Option<Rejection> {
        let now = self.shared.now();
        let state = self.shared.lock();
        let known = state.directory.get(&grant.instance);
        // A new instance may be unknown to this node, but not its version, if the
        // call requires one.
        let accepted = known.map_or(call.required_software.is_none(), |i| call.accepts(i));
        if !accepted || state.directory.is_leaving_or_removed(&grant.instance) {
            return Some(Rejection::Unreachable);
        }
        let available_at = state
            .pushback
            .available_at(&grant.instance, grant.born, now);
        let limits = &state.rate_limits;
        let available_at =
            available_at.max(limits.rejected_until(&grant.instance, grant.born, now));
        (available_at > now).then_some(Rejection::Full)
    }
}

impl<D> Attempt<D>
where
    D: Dialect,
{
    fn new(gateway: Arc<Gateway<D>>, placement: Placement, call: &Call) -> Self {
        let grant = placement.grant;
        let mut state = gateway.shared.lock();
        let now = gateway.shared.now();
        state.pushback.on_sent(&grant.instance, now);
        if placement.coordinator.is_none() {
            state.rate_limits.on_sent(&grant.instance, now);
        }
        let instance = state.directory.get(&grant.instance);
        let zone = instance.map_or_else(|| state.zone.clone(), |i| i.zone.clone());
        let software = instance.map(|i| i.software.clone());
        if call.is_model_call {
            let local = LocalCall {
                instance: grant.instance.clone(),
                key: call.adapter(),
                prompt_tokens: call.head.prompt_tokens,
                max_output_tokens: call.head.max_output_tokens,
                started: false,
                deadline: call.deadline,
            };
            state.running.insert(grant.call.clone(), local);
        } else {
            state.balancer.on_sent(&grant.instance);
        }
        drop(state);
        Self {
            gateway,
            grant,
            zone,
            software,
            granted_by: placement.coordinator,
            plain: !call.is_model_call,
            placed_at: now,
            first_event_at: None,
            answer_recorded: false,
            ended: false,
        }
    }

    /// Records that the call has run to its end.
    pub(crate) fn record_run_time(&self, call: &Call) {
        let took = self.gateway.shared.now().saturating_sub(self.placed_at);
        let mut state = self.gateway.shared.lock();
        state.run_times.record(&call.route.name, took);
    }

    /// Reports how much longer work takes on the engine's machine than usually, if it
    /// states that in the head of its response.
    pub(crate) fn report_slowdown(&self, slowdown: Option<f64>) {
        if slowdown.is_some() {
            self.report_observation(slowdown, None);
        }
    }

    /// Reports whether the stream, which came from this engine, exceeded its gap.
    pub(crate) fn report_gap(&self, exceeded: bool) {
        self.report_observation(None, Some(exceeded));
    }

    fn report_observation(&self, slowdown: Option<f64>, exceeded_gap: Option<bool>) {
        if self.plain {
            return;
        }
        if let Some(coordinator) = self.coordinator() {
            let observed = Observation {
                instance: self.grant.instance.clone(),
                slowdown,
                exceeded_gap,
            };
            let progress = &self.gateway.progress;
            progress.report_observation(coordinator, observed);
        }
    }

    /// Reports the first event of the response.
    fn report_started(&mut self) {
        if self.first_event_at.is_none() {
            self.first_event_at = Some(self.gateway.shared.now());
            if let Some(local) = self.gateway.shared.lock().running.get_mut(&self.grant.call) {
                local.started = true;
            }
            self.report(Progress::Started);
        }
    }

    /// Records that the instance answers the call, once it has done so for a while.
    pub(crate) fn on_event(&mut self, call: &Call) {
        self.report_started();
        let now = self.gateway.shared.now();
        if self.first_event_at.is_some_and(|at| now >= at + BLAME_TIME) {
            self.on_answered(call);
        }
    }

    /// Records that the instance has answered the call, if any event came.
    pub(crate) fn on_answered(&mut self, call: &Call) {
        if !self.answer_recorded && self.first_event_at.is_some() {
            self.answer_recorded = true;
            self.gateway.shared.on_answered(call);
        }
    }

    /// Reports that the instance did not run the call.
    pub(crate) fn report_rejected(&mut self, rejection: Rejection) {
        self.finish(Progress::Rejected(rejection));
    }

    /// Reports the end of the attempt.
    pub(crate) fn end(&mut self) {
        self.finish(Progress::Ended);
    }

    fn finish(&mut self, progress: Progress) {
        if self.ended {
            return;
        }
        self.ended = true;
        let mut state = self.gateway.shared.lock();
        if self.plain {
            state.balancer.on_ended(&self.grant.instance);
        } else {
            state.running.remove(&self.grant.call);
        }
        drop(state);
        self.report(progress);
    }

    /// Reports progress to the coordinator of the engine's zone, which may have
    /// changed since the grant.
    fn report(&self, progress: Progress) {
        if self.plain {
            return;
        }
        if let Some(coordinator) = self.coordinator() {
            self.gateway
                .progress
                .report(coordinator, self.grant.call.clone(), progress);
        }
    }

    /// Returns the coordinator of the engine's zone, which may have changed since the grant.
    fn coordinator(&self) -> Option<SocketAddr> {
        let state = self.gateway.shared.lock();
        let current = state.coordinator(&self.zone).map(|holder| holder.addr);
        current.or(self.granted_by)
    }
}

impl<D> Drop for Attempt<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a new id for one attempt of a call.
fn new_placement_id(call: &Call) -> PlacementId {
    format!("{}/{:08x}", call.id, rand::random::<u32>()).into()
}
