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

/// An adapter is clearly colder than another that is asked for this many times
/// as often.
const COLDER: u32 = 2;
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
    /// How often the adapter is asked for, in the unit of
    /// [`WorkerSummary::slot_cost`].
    pub heat: u32,
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
    let homes = match req.objective {
        Objective::LoadStalls => cheapest_homes(view, req, others),
        Objective::BatchEfficiency => packed_homes(view, req, others),
    };
    Candidates {
        resident: resident.into_iter().map(|(id, _)| id.clone()).collect(),
        loading: loading.into_iter().map(|(id, _)| id.clone()).collect(),
        homes: homes.into_iter().map(Into::into).collect(),
    }
}

/// The adapter's own homes, the one whose next slot costs least first.
fn cheapest_homes<'a, I>(view: &View, req: &PlacementRequest<'_>, workers: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut homes = rendezvous::order(&req.target.adapter, workers);
    let choices = homes.len().min(HOME_CHOICES);
    homes[..choices].sort_by_key(|id| slot_cost(view, id));
    homes
}

/// The workers in one order for all adapters of the group, those first from
/// which this adapter would drive a clearly colder one; then the others, the
/// cheapest first. The hottest adapters so gather on the first workers, whose
/// batches fill, and the cold ones on the last.
fn packed_homes<'a, I>(view: &View, req: &PlacementRequest<'_>, workers: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let order = rendezvous::order(req.group, workers);
    let (mut homes, mut others): (Vec<&str>, Vec<&str>) = order
        .into_iter()
        .partition(|id| slot_cost(view, id) <= req.heat / COLDER);
    others.sort_by_key(|id| slot_cost(view, id));
    homes.append(&mut others);
    homes
}

fn slot_cost(view: &View, worker: &str) -> u32 {
    view.workers[worker].summary.slot_cost
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
