//! Costs of summaries between peers, of the cluster view built from them, and
//! of the choice of the broker, the instance that orders the loads.

use super::fleet;
use super::meter::{Measurement, time_per_step};
use eyre::Result;
use reedford_core::messages::Summary;
use reedford_core::placement::{ClusterView, WorkerView};
use reedford_core::rendezvous;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Summary sizes measured: workers, and adapters resident on each.
const SUMMARIES: [(usize, usize); 7] = [(0, 0), (1, 0), (1, 8), (1, 16), (2, 8), (4, 8), (8, 8)];
/// Fleet sizes measured, in workers.
const WORKERS: [usize; 4] = [50, 150, 300, 600];
/// Numbers of resident adapters per worker measured.
const RESIDENTS: [usize; 2] = [8, 16];
/// Fleet sizes measured, in entry instances.
const INSTANCES: [usize; 5] = [8, 50, 105, 210, 420];

/// Measures all figures of this module.
///
/// # Errors
/// When a summary can't be encoded.
pub fn measure() -> Result<Vec<Measurement>> {
    let mut measurements = Vec::new();
    for (workers, residents) in SUMMARIES {
        measurements.extend(measure_summary(workers, residents)?);
    }
    for workers in WORKERS {
        for residents in RESIDENTS {
            measurements.push(measure_view(workers, residents));
        }
    }
    measurements.extend(INSTANCES.map(measure_broker));
    Ok(measurements)
}

fn measure_summary(workers: usize, residents: usize) -> Result<[Measurement; 3]> {
    let size = || format!("{workers} workers of {residents} residents");
    let summary = fleet::summary(7, 0, workers, residents);
    let text = serde_json::to_vec(&summary)?;
    let encode = time_per_step(|| serde_json::to_vec(&summary));
    let mut received = BTreeMap::new();
    let decode = time_per_step(|| {
        let read: Option<Summary> = serde_json::from_slice(&text).ok();
        read.and_then(|summary| received.insert(summary.instance.clone(), summary))
    });
    Ok([
        Measurement::bytes("summary", size(), text.len() as u64),
        Measurement::time("summary: encode", size(), encode),
        Measurement::time("summary: decode and keep", size(), decode),
    ])
}

/// Builds the view in the way of the control thread, which copies every worker.
fn measure_view(workers: usize, residents: usize) -> Measurement {
    let view = view(workers, residents);
    let summaries: Vec<WorkerView> = view.workers.into_values().collect();
    let build = time_per_step(|| {
        let mut view = ClusterView::default();
        for worker in &summaries {
            let existing = view.workers.get(&worker.summary.worker);
            if existing.is_none() {
                view.workers
                    .insert(worker.summary.worker.clone(), worker.clone());
            }
        }
        Arc::new(view)
    });
    Measurement::time(
        "view: build and drop",
        format!("{workers} workers of {residents} residents"),
        build,
    )
}

/// Chooses the broker in the way of the control thread, which for each decision
/// copies and hashes the names of all reachable instances.
fn measure_broker(instances: usize) -> Measurement {
    let peers: BTreeMap<_, _> = (0..instances)
        .map(|number| (fleet::instance(number), fleet::zone(number)))
        .collect();
    let choose = time_per_step(|| {
        let reachable: BTreeMap<_, _> = peers
            .iter()
            .map(|(id, zone)| (id.clone(), zone.clone()))
            .collect();
        rendezvous::first("broker", reachable.keys().map(|id| &**id)).map(Box::<str>::from)
    });
    Measurement::time("broker: choose", format!("{instances} instances"), choose)
}

/// Returns a view of a synthetic fleet.
pub(super) fn view(workers: usize, residents: usize) -> ClusterView {
    let mut view = ClusterView::default();
    for number in 0..workers {
        let worker = WorkerView {
            owner: fleet::instance(number),
            owner_address: fleet::address(),
            zone: fleet::zone(number),
            summary: fleet::worker_summary(number, residents),
        };
        view.workers.insert(fleet::worker(number), worker);
    }
    view
}
