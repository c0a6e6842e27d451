//! Which worker an entry instance asks first for a request.
//!
//! Adapters are few to a worker and loads are scarce, so a request goes where
//! its adapter is resident, in any zone that can be reached. Otherwise it goes
//! to one of the adapter's homes, the first workers by rendezvous hashing: few,
//! so that instances with summaries of different age choose the same one and
//! one load serves them all; more than one, so that a worker full of busy
//! adapters does not evict them while another holds idle ones.

use crate::ids::{AdapterVersion, GroupName, InstanceId, WorkerId, ZoneId};
use crate::messages::WorkerSummary;
use crate::rendezvous;
use reedford_rules::{Objective, Placement};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Homes of an adapter. It is loaded at the one whose next slot costs least.
const HOME_CHOICES: usize = 3;

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
    /// Workers on which the adapter is resident.
    pub resident: Vec<WorkerId>,
    /// Workers on which it is being loaded, or waits for its turn.
    pub loading: Vec<WorkerId>,
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
            loading: Vec::new(),
            homes,
        };
    }
    let is_resident = |w: &WorkerView| w.summary.residents.contains(req.target);
    let mut resident: Vec<(&WorkerId, &WorkerView)> =
        open().filter(|(_, w)| is_resident(w)).collect();
    resident.sort_by_key(|(id, w)| resident_rank(id, w, req));
    let is_loading = |w: &WorkerView| w.summary.loading.contains(req.target);
    let (loading, others): (Vec<_>, Vec<_>) = open()
        .filter(|(_, w)| !is_resident(w))
        .partition(|(_, w)| is_loading(w));
    let others = others.into_iter().map(|(id, _)| &**id);
    let mut homes = rendezvous::order(&req.target.adapter, others);
    let choices = homes.len().min(HOME_CHOICES);
    homes[..choices].sort_by_key(|id| view.workers[*id].summary.slot_cost);
    Candidates {
        resident: resident.into_iter().map(|(id, _)| id.clone()).collect(),
        loading: loading.into_iter().map(|(id, _)| id.clone()).collect(),
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
