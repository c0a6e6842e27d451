//! Finds the place of one sending, and tells its coordinator what becomes of it.

use super::{Gateway, NO_INSTANCE_RETRY};
use crate::call::Call;
use crate::places::Placed;
use crate::ports::Dialect;
use reedford_fleet::InstanceId;
use reedford_fleet::scheduler::{CallId, Grant, Progress, Refusal, RefusalReason, Rejection};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// A granted sending; its end is told when it is dropped.
#[derive(Debug)]
pub(crate) struct Sending<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    pub(crate) grant: Grant,
    coordinator: Option<SocketAddr>,
    plain: bool,
    started: bool,
    ended: bool,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Finds a place for one more sending.
    pub(crate) async fn place(
        self: &Arc<Self>,
        call: &Call,
        tried: &BTreeSet<InstanceId>,
    ) -> Result<Sending<D>, Refusal> {
        let asked = self.shared.now();
        let placed = if call.engine {
            self.place_engine(call, tried.clone()).await?
        } else {
            let sending = sending_id(call);
            self.places
                .plain(call, sending.clone(), tried)
                .ok_or(Refusal {
                    call: sending,
                    reason: RefusalReason::NoEngine,
                    retry_after: NO_INSTANCE_RETRY,
                })?
        };
        let waited = self.shared.now().saturating_sub(asked);
        self.metrics.place_wait(&call.route.name, waited);
        tracing::info!(event = "placed", id = %call.id, instance = %placed.grant.instance,
            version = ?placed.grant.version, waited_ms = waited.as_millis() as u64);
        Ok(Sending::new(Arc::clone(self), placed, call.engine))
    }

    /// Finds an engine. A coordinator cut off from the store may not know that
    /// the one it names is leaving.
    async fn place_engine(
        self: &Arc<Self>,
        call: &Call,
        mut avoid: BTreeSet<InstanceId>,
    ) -> Result<Placed, Refusal> {
        loop {
            let sending = sending_id(call);
            let placed = self.places.engine(call, sending.clone(), &avoid).await?;
            let instance = placed.grant.instance.clone();
            if !self.shared.lock().directory.has_left(&instance) {
                return Ok(placed);
            }
            tracing::info!(event = "place_left", id = %call.id, %instance);
            if let Some(coordinator) = placed.coordinator {
                let step = Progress::Rejected(Rejection::Unreachable);
                self.progress.tell(coordinator, sending, step);
            }
            avoid.insert(instance);
        }
    }
}

impl<D> Sending<D>
where
    D: Dialect,
{
    fn new(gateway: Arc<Gateway<D>>, placed: Placed, engine: bool) -> Self {
        if !engine {
            gateway.shared.lock().spread.on_sent(&placed.grant.instance);
        }
        Self {
            gateway,
            grant: placed.grant,
            coordinator: placed.coordinator,
            plain: !engine,
            started: false,
            ended: false,
        }
    }

    /// The first event came.
    pub(crate) fn started(&mut self) {
        if !self.started {
            self.started = true;
            self.tell(Progress::Started);
        }
    }

    /// The instance did not run the call.
    pub(crate) fn rejected(&mut self, rejection: Rejection) {
        self.finish(Progress::Rejected(rejection));
    }

    /// The sending is over.
    pub(crate) fn end(&mut self) {
        self.finish(Progress::Ended);
    }

    fn finish(&mut self, step: Progress) {
        if self.ended {
            return;
        }
        self.ended = true;
        if self.plain {
            let mut state = self.gateway.shared.lock();
            state.spread.on_ended(&self.grant.instance);
        }
        self.tell(step);
    }

    fn tell(&self, step: Progress) {
        if let Some(coordinator) = self.coordinator {
            self.gateway
                .progress
                .tell(coordinator, self.grant.call.clone(), step);
        }
    }
}

impl<D> Drop for Sending<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        self.end();
    }
}

/// A new id for one sending of a call.
fn sending_id(call: &Call) -> CallId {
    format!("{}/{:08x}", call.id, rand::random::<u32>()).into()
}
