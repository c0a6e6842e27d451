//! Costs of summaries between peers, of the cluster view built from them, and
//! of the choice of the broker, the instance that orders the loads.

use super::fleet;
use super::meter::{Row, time_of};
use eyre::Result;
use reedford_core::messages::Summary;
use reedford_core::placement::{ClusterView, WorkerView};
use reedford_core::rendezvous;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Numbers of workers in a summary and of adapters resident on each.
const SUMMARIES: [(usize, usize); 7] = [(0, 0), (1, 0), (1, 8), (1, 16), (2, 8), (4, 8), (8, 8)];
/// Numbers of workers of a fleet.
const WORKERS: [usize; 4] = [50, 150, 300, 600];
/// Numbers of adapters resident on a worker.
const RESIDENTS: [usize; 2] = [8, 16];
/// Numbers of entry instances of a fleet.
const INSTANCES: [usize; 5] = [8, 50, 105, 210, 420];

/// Measures all figures of this module.
///
/// # Errors
/// When a summary can't be encoded.
pub fn rows() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (workers, residents) in SUMMARIES {
        rows.extend(summary_rows(workers, residents)?);
    }
    for workers in WORKERS {
        for residents in RESIDENTS {
            rows.push(view_row(workers, residents));
        }
    }
    rows.extend(INSTANCES.map(broker_row));
    Ok(rows)
}

fn summary_rows(workers: usize, residents: usize) -> Result<[Row; 3]> {
    let size = || format!("{workers} workers of {residents} residents");
    let summary = fleet::summary(7, 0, workers, residents);
    let text = serde_json::to_vec(&summary)?;
    let encode = time_of(|| serde_json::to_vec(&summary));
    let mut heard = BTreeMap::new();
    let take = time_of(|| {
        let read: Option<Summary> = serde_json::from_slice(&text).ok();
        read.and_then(|summary| heard.insert(summary.instance.clone(), summary))
    });
    Ok([
        Row::bytes("summary", size(), text.len() as u64),
        Row::time("summary: encode", size(), encode),
        Row::time("summary: decode and keep", size(), take),
    ])
}

/// Builds the view in the way of the control thread, which copies every worker.
fn view_row(workers: usize, residents: usize) -> Row {
    let view = view(workers, residents);
    let summaries: Vec<WorkerView> = view.workers.into_values().collect();
    let build = time_of(|| {
        let mut view = ClusterView::default();
        for worker in &summaries {
            let known = view.workers.get(&worker.summary.worker);
            if known.is_none() {
                view.workers
                    .insert(worker.summary.worker.clone(), worker.clone());
            }
        }
        Arc::new(view)
    });
    Row::time(
        "view: build and drop",
        format!("{workers} workers of {residents} residents"),
        build,
    )
}

/// Chooses the broker in the way of the control thread, which for each decision
/// copies and hashes the names of all reachable instances.
fn broker_row(instances: usize) -> Row {
    let heard: BTreeMap<_, _> = (0..instances)
        .map(|number| (fleet::instance(number), fleet::zone(number)))
        .collect();
    let choose = time_of(|| {
        let reachable: BTreeMap<_, _> = heard
            .iter()
            .map(|(id, zone)| (id.clone(), zone.clone()))
            .collect();
        rendezvous::first("broker", reachable.keys().map(|id| &**id)).map(Box::<str>::from)
    });
    Row::time("broker: choose", format!("{instances} instances"), choose)
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
