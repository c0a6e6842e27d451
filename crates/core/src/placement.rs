//! Which worker an entry instance asks first for a request.
//!
//! Adapters are few to a worker and loads are scarce, so a request goes where
//! its adapter is resident, in any zone that can be reached. Otherwise it goes
//! to the adapter's home: the first worker by rendezvous hashing, so that all
//! instances choose the same one and one load serves them all.

use crate::ids::{AdapterVersion, GroupName, InstanceId, WorkerId, ZoneId};
use crate::messages::WorkerSummary;
use crate::rendezvous;
use reedford_rules::{Objective, Placement};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Workers that can be reached, as their owners last described them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The workers.
    pub workers: BTreeMap<WorkerId, WorkerView>,
}

/// One worker and its owner.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// What the owner said.
    pub summary: WorkerSummary,
    /// The owner.
    pub owner: InstanceId,
    /// Where the owner is reached.
    pub owner_address: SocketAddr,
    /// Zone of worker and owner.
    pub zone: ZoneId,
}

/// What a placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Group that serves the adapter.
    pub group: &'a GroupName,
    /// What will run.
    pub target: &'a AdapterVersion,
    /// Zone of the asking instance.
    pub zone: &'a ZoneId,
    /// What the group favours.
    pub objective: Objective,
    /// How a worker is chosen.
    pub placement: Placement,
    /// A random number; it spreads requests over equal workers, so that
    /// instances with the same old summaries don't all choose the same one.
    pub random: u64,
}

/// The workers to ask, best first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidates {
    /// Workers on which the adapter is resident or on its way.
    pub resident: Vec<WorkerId>,
    /// The others, the adapter's home first.
    pub homes: Vec<WorkerId>,
}

/// Orders the workers for a request.
#[must_use]
pub fn candidates(view: &View, req: &PlacementRequest<'_>) -> Candidates {
    let open = || {
        let workers = view.workers.iter();
        workers.filter(|(_, w)| w.summary.open && w.summary.group == *req.group)
    };
    if req.placement == Placement::Random {
        let homes = shuffled(open().map(|(id, _)| &**id), req.random);
        return Candidates {
            resident: Vec::new(),
            homes,
        };
    }
    let is_resident = |w: &WorkerView| w.summary.residents.contains(req.target);
    let mut resident: Vec<(&WorkerId, &WorkerView)> =
        open().filter(|(_, w)| is_resident(w)).collect();
    resident.sort_by_key(|(id, w)| resident_rank(id, w, req));
    let others = open().filter(|(_, w)| !is_resident(w)).map(|(id, _)| &**id);
    let homes = rendezvous::order(&req.target.adapter, others);
    Candidates {
        resident: resident.into_iter().map(|(id, _)| id.clone()).collect(),
        homes: homes.into_iter().map(Into::into).collect(),
    }
}

/// Lower is better: room first, then what the objective asks for, then the
/// own zone, then at random.
fn resident_rank(
    id: &WorkerId,
    w: &WorkerView,
    req: &PlacementRequest<'_>,
) -> (bool, u32, bool, u64) {
    let used = w.summary.running + w.summary.waiting;
    let full = used >= w.summary.batch_limit;
    let load = match req.objective {
        Objective::LoadStalls => used,
        Objective::BatchEfficiency if full => used,
        Objective::BatchEfficiency => w.summary.batch_limit - used,
    };
    let foreign = w.zone != *req.zone;
    (
        full,
        load,
        foreign,
        rendezvous::weight(id, &req.random.to_string()),
    )
}

fn shuffled<'a, I>(workers: I, random: u64) -> Vec<WorkerId>
where
    I: Iterator<Item = &'a str>,
{
    let order = rendezvous::order(&random.to_string(), workers);
    order.into_iter().map(Into::into).collect()
}
