//! Placement: the order in which an entry instance requests permits from
//! workers.
//!
//! A worker holds few adapters and loads are limited, so a request goes to a
//! worker on which its adapter is resident, in any reachable zone. Otherwise it
//! goes to one of the adapter's homes, the first workers by rendezvous hashing.
//! There are few homes, so that instances with summaries of different age
//! choose the same one and a single load serves them all. There is more than
//! one, so that a worker full of busy adapters does not evict them while
//! another home holds idle ones.

use crate::ids::{AdapterVersion, GroupName, InstanceId, WorkerId, ZoneId};
use crate::messages::WorkerSummary;
use crate::rendezvous;
use reedford_rules::{Objective, Placement};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A worker is preferred for an adapter that is requested at least this many
/// times as often as the one that it would evict.
const DISPLACE_RATIO: u32 = 2;
/// Number of homes of an adapter. It is loaded on the home with the lowest slot
/// cost.
const HOME_CHOICES: usize = 3;

/// Reachable workers, as last reported by their owners.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The workers.
    pub workers: BTreeMap<WorkerId, WorkerView>,
}

/// A worker and its owner.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Latest summary from the owner.
    pub summary: WorkerSummary,
    /// The owning instance.
    pub owner: InstanceId,
    /// Address at which peers reach the owner.
    pub owner_address: SocketAddr,
    /// Zone of the worker and its owner.
    pub zone: ZoneId,
}

/// The inputs of a placement, besides the workers. Each instance places its own
/// requests, so this is not sent to peers.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Group that serves the adapter.
    pub group: &'a GroupName,
    /// The adapter version to run.
    pub target: &'a AdapterVersion,
    /// Zone of the requesting instance.
    pub zone: &'a ZoneId,
    /// Objective of the group.
    pub objective: Objective,
    /// How a worker is chosen.
    pub placement: Placement,
    /// Decayed request count of the adapter, in the unit of
    /// [`WorkerSummary::slot_cost`].
    pub frequency: u32,
    /// A random number that spreads requests over equally ranked workers, so
    /// that instances with the same stale summaries don't all choose the same
    /// one.
    pub random: u64,
}

/// Candidate workers for a request, best first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidates {
    /// Workers on which the adapter is resident; empty with random placement.
    pub resident: Vec<WorkerId>,
    /// Workers on which the adapter is being loaded, or waits for a load turn;
    /// empty with random placement.
    pub loading: Vec<WorkerId>,
    /// The other workers: the adapter's homes first if the objective is
    /// [`Objective::LoadStalls`], and all workers with random placement.
    pub others: Vec<WorkerId>,
}

/// Returns the candidate workers for a request.
#[must_use]
pub fn candidates(view: &ClusterView, req: &PlacementRequest<'_>) -> Candidates {
    let open = || {
        let workers = view.workers.iter();
        workers.filter(|(_, w)| w.summary.open && w.summary.group == *req.group)
    };
    if req.placement == Placement::Random {
        let others = shuffled(open().map(|(id, _)| &**id), req.random);
        return Candidates {
            resident: Vec::new(),
            loading: Vec::new(),
            others,
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
    let others = match req.objective {
        Objective::LoadStalls => order_by_homes(view, req, others),
        Objective::BatchEfficiency => order_for_packing(view, req, others),
    };
    Candidates {
        resident: resident.into_iter().map(|(id, _)| id.clone()).collect(),
        loading: loading.into_iter().map(|(id, _)| id.clone()).collect(),
        others: others.into_iter().map(Into::into).collect(),
    }
}

/// Returns the workers in the adapter's rendezvous order, with its homes sorted
/// by slot cost.
fn order_by_homes<'a, I>(view: &ClusterView, req: &PlacementRequest<'_>, workers: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut order = rendezvous::order(&req.target.adapter, workers);
    let choices = order.len().min(HOME_CHOICES);
    order[..choices].sort_by_key(|id| slot_cost(view, id));
    order
}

/// Returns the workers in one order for all adapters of the group: first those
/// on which this adapter would displace a less requested one, then the others,
/// lowest slot cost first. This concentrates the most requested adapters on the
/// first workers, whose batches fill up, and the rarely requested ones on the
/// last.
fn order_for_packing<'a, I>(
    view: &ClusterView,
    req: &PlacementRequest<'_>,
    workers: I,
) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let order = rendezvous::order(req.group, workers);
    let (mut preferred, mut others): (Vec<&str>, Vec<&str>) = order
        .into_iter()
        .partition(|id| slot_cost(view, id) <= req.frequency / DISPLACE_RATIO);
    others.sort_by_key(|id| slot_cost(view, id));
    preferred.append(&mut others);
    preferred
}

fn slot_cost(view: &ClusterView, worker: &str) -> u32 {
    view.workers[worker].summary.slot_cost
}

/// Sort key of a worker that holds the adapter; lower is better. Workers with
/// free batch capacity come first, then the occupancy that the objective
/// prefers, then the instance's own zone, then random order.
fn resident_rank(
    id: &WorkerId,
    w: &WorkerView,
    req: &PlacementRequest<'_>,
) -> (bool, u32, bool, u64) {
    let used = w.summary.running + w.summary.waiting;
    let full = used >= w.summary.batch_limit;
    let occupancy = match req.objective {
        Objective::LoadStalls => used,
        Objective::BatchEfficiency if full => used,
        Objective::BatchEfficiency => w.summary.batch_limit - used,
    };
    let other_zone = w.zone != *req.zone;
    (
        full,
        occupancy,
        other_zone,
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
