//! Synthetic fleets: names, workers and summaries of a chosen size.

use reedford_core::messages::{Summary, WorkerSummary};
use reedford_core::{AdapterVersion, InstanceId, WorkerId};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// Number of availability zones.
const ZONES: usize = 4;
/// Number of worker groups, one for each base model.
pub(super) const GROUPS: usize = 5;
/// Number of adapters.
const ADAPTERS: usize = 15_000;
/// Difference between the adapter numbers of two neighbouring slots; prime, so
/// that the slots of a fleet hold different adapters.
const ADAPTER_STEP: usize = 7_919;

/// Returns the name of an entry instance.
pub(super) fn instance(number: usize) -> InstanceId {
    format!("entry-{}-{number:03}", zone(number)).into()
}

/// Returns the name of a worker.
pub(super) fn worker(number: usize) -> WorkerId {
    format!("engine-{}-{number:03}", zone(number)).into()
}

/// Returns the name of a zone.
pub(super) fn zone(number: usize) -> Box<str> {
    format!("zone-{}", number % ZONES).into()
}

/// Returns the name of a group.
pub(super) fn group(number: usize) -> Box<str> {
    format!("model-{}", number % GROUPS).into()
}

/// Returns an adapter version.
pub(super) fn target(number: usize) -> AdapterVersion {
    AdapterVersion::new(&format!("adapter-{:05}", number % ADAPTERS), "3")
}

/// Returns a placeholder address of a realistic length.
pub(super) fn address() -> SocketAddr {
    (Ipv4Addr::new(127, 10, 20, 30), 17_101).into()
}

/// Returns an owner's summary of a worker with `residents` resident adapters.
pub(super) fn worker_summary(number: usize, residents: usize) -> WorkerSummary {
    let slots = (0..residents).map(|slot| target((number * residents + slot) * ADAPTER_STEP));
    WorkerSummary {
        worker: worker(number),
        group: group(number),
        address: address(),
        epoch: 1_234,
        open: true,
        batch_limit: 64,
        running: (number % 64) as u32,
        waiting: 2,
        open_slots: 3,
        slot_cost: 1_234,
        loading: BTreeSet::new(),
        residents: slots.collect::<BTreeSet<_>>(),
    }
}

/// Returns the summary of an instance that owns the workers
/// `first..first + workers`.
pub(super) fn summary(number: usize, first: usize, workers: usize, residents: usize) -> Summary {
    let workers = (first..first + workers).map(|worker| worker_summary(worker, residents));
    Summary {
        instance: instance(number),
        incarnation: u64::MAX - number as u64,
        zone: zone(number),
        peers: address(),
        serial: 1_234_567,
        table: 12_345,
        revision: 1_440,
        stopping: false,
        workers: workers.collect(),
        recent: Vec::new(),
        load_outlook: None,
    }
}
