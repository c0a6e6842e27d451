//! Costs of permits at a worker's owner, of the choice of a worker, and of the
//! order of loads.

use super::exchange::view;
use super::fleet;
use super::meter::{Measurement, time_per_step};
use reedford_core::broker::{Broker, LoadKey};
use reedford_core::frequency::Frequency;
use reedford_core::lease::LeaseState;
use reedford_core::messages::{PermitRequest, Release, TurnRequest, TurnWaitEstimate};
use reedford_core::placement::{PlacementRequest, candidates};
use reedford_core::scheduler::{EngineListing, Policy, Scheduler, SchedulerContext, SlotListing};
use reedford_core::{Now, PermitId};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, LoadsRule, Objective, Placement};
use std::time::Duration;

/// Numbers of resident adapters per worker measured.
const RESIDENTS: [usize; 2] = [8, 16];
/// Queue lengths measured, in requests that wait at the worker.
const WAITING: [usize; 4] = [0, 16, 64, 256];
/// Maximum number of requests that run on the worker.
const BATCH_LIMIT: u32 = 64;
/// Fleet sizes measured, in workers.
const WORKERS: [usize; 4] = [50, 150, 300, 600];
/// Queue lengths measured, in loads that wait for their turn.
const LOADS: [usize; 4] = [10, 50, 200, 1_000];
/// Time of all decisions.
const NOW: Now = Duration::from_secs(1_000);
/// Time limit that never expires during a measurement.
const AMPLE_TIME: Duration = Duration::from_secs(3_600);

/// Measures all figures of this module.
#[must_use]
pub fn measure() -> Vec<Measurement> {
    let mut measurements = Vec::new();
    for residents in RESIDENTS {
        for waiting in WAITING {
            measurements.extend(measure_permits(residents, waiting));
        }
    }
    measurements.extend(WORKERS.map(measure_placement));
    for loads in LOADS {
        measurements.extend(measure_load_order(loads));
    }
    measurements
}

fn measure_permits(residents: usize, waiting: usize) -> [Measurement; 2] {
    let frequency = Frequency::new(AMPLE_TIME);
    let cx = SchedulerContext {
        now: NOW,
        lease: LeaseState::Held,
        frequency: &frequency,
        turn_wait: TurnWaitEstimate::default(),
    };
    let mut scheduler = scheduler(residents, waiting, &cx);
    let mut serial = u64::MAX / 2;
    let permit = time_per_step(|| {
        serial += 1;
        scheduler.request(&request(serial, residents), &cx);
        scheduler.release(&release(serial), &cx);
        scheduler.take_actions()
    });
    let tick = time_per_step(|| {
        scheduler.on_tick(&cx);
        scheduler.take_actions()
    });
    let size = || format!("{residents} residents, {waiting} waiting");
    [
        Measurement::time("permit: request and release", size(), permit),
        Measurement::time("worker: tick", size(), tick),
    ]
}

/// Returns the scheduler of a worker with a full batch and `waiting` waiting
/// requests. If `waiting` is 0, the batch has room for one more request.
fn scheduler(residents: usize, waiting: usize, cx: &SchedulerContext<'_>) -> Scheduler {
    let policy = Policy {
        objective: Objective::LoadStalls,
        eviction: Eviction::Frequency,
        load_ordering: LoadOrdering::Value,
        admission: Admission::Off,
    };
    let mut scheduler = Scheduler::new(policy, 1, Duration::ZERO, Duration::ZERO);
    let slot = SlotListing {
        loading: false,
        running: 0,
    };
    let listing = EngineListing {
        boot_id: "boot".into(),
        slots: residents as u32,
        batch_limit: BATCH_LIMIT,
        leaving: false,
        residents: (0..residents).map(|n| (fleet::target(n), slot)).collect(),
    };
    scheduler.on_listing(&listing, NOW, cx);
    let batch = BATCH_LIMIT as usize;
    let requests = if waiting == 0 {
        batch - 1
    } else {
        batch + waiting
    };
    for serial in 0..requests as u64 {
        scheduler.request(&request(serial, residents), cx);
    }
    scheduler.take_actions();
    assert_eq!(
        scheduler.waiting() as usize,
        waiting,
        "the queue has the requested length"
    );
    scheduler
}

fn request(serial: u64, residents: usize) -> PermitRequest {
    PermitRequest {
        id: permit_id(serial),
        worker: fleet::worker(0),
        target: fleet::target(serial as usize % residents),
        class: Class::Lookup,
        remaining: AMPLE_TIME,
        expected: None,
        patience: AMPLE_TIME,
    }
}

fn release(serial: u64) -> Release {
    Release {
        id: permit_id(serial),
        worker: fleet::worker(0),
        ended: true,
    }
}

fn permit_id(serial: u64) -> PermitId {
    PermitId {
        instance: fleet::instance(serial as usize % 420),
        incarnation: 1,
        serial,
    }
}

fn measure_placement(workers: usize) -> Measurement {
    let view = view(workers, RESIDENTS[0]);
    let group = fleet::group(0);
    let zone = fleet::zone(0);
    let mut number = 0;
    let choose = time_per_step(|| {
        number += 1;
        let target = fleet::target(number);
        candidates(
            &view,
            &PlacementRequest {
                group: &group,
                target: &target,
                zone: &zone,
                objective: Objective::LoadStalls,
                placement: Placement::Home,
                frequency: 1_234,
                random: number as u64,
            },
        )
    });
    let size = format!("{workers} workers in {} groups", fleet::GROUPS);
    Measurement::time("placement: candidates", size, choose)
}

fn measure_load_order(loads: usize) -> [Measurement; 3] {
    let mut broker = Broker::new(1, LoadsRule::default(), NOW);
    for number in 0..loads {
        broker.enqueue(&turn(number), NOW);
    }
    let late = time_per_step(|| (broker.remove_late_loads(NOW), broker.start_loads(NOW)));
    let outlook = time_per_step(|| broker.turn_wait(NOW));
    let enqueue_and_withdraw = time_per_step(|| {
        let turn = turn(loads);
        broker.enqueue(&turn, NOW);
        broker.withdraw(&LoadKey::from(&turn));
    });
    let size = || format!("{loads} loads waiting");
    [
        Measurement::time("loads: give up late, start", size(), late),
        Measurement::time("loads: outlook", size(), outlook),
        Measurement::time("loads: ask and withdraw", size(), enqueue_and_withdraw),
    ]
}

fn turn(number: usize) -> TurnRequest {
    TurnRequest {
        worker: fleet::worker(number % 600),
        target: fleet::target(number),
        value: (number % 97) as f64,
        patience: AMPLE_TIME,
    }
}
