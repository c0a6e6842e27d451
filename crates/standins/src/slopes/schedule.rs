//! Permits at an owner, the choice of a worker, and the order of loads.

use super::exchange::view;
use super::fleet;
use super::meter::{Row, time_of};
use reedford_core::broker::{Broker, LoadKey};
use reedford_core::frequency::Frequency;
use reedford_core::lease::LeaseState;
use reedford_core::messages::{PermitRequest, Release, TurnRequest, TurnWaitEstimate};
use reedford_core::placement::{PlacementRequest, candidates};
use reedford_core::scheduler::{EngineListing, Policy, Scheduler, SchedulerContext, SlotListing};
use reedford_core::{Now, PermitId};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, LoadsRule, Objective, Placement};
use std::time::Duration;

/// Adapters resident on the worker.
const RESIDENTS: [usize; 2] = [8, 16];
/// Requests that wait at the worker.
const WAITING: [usize; 4] = [0, 16, 64, 256];
/// Requests that run on the worker at most.
const BATCH_LIMIT: u32 = 64;
/// Workers of a fleet.
const WORKERS: [usize; 4] = [50, 150, 300, 600];
/// Loads that wait for their turn.
const LOADS: [usize; 4] = [10, 50, 200, 1_000];
/// Time of all decisions.
const NOW: Now = Duration::from_secs(1_000);
/// Time that nothing here runs out of.
const LONG: Duration = Duration::from_secs(3_600);

/// All figures of this module.
#[must_use]
pub fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for residents in RESIDENTS {
        for waiting in WAITING {
            rows.extend(permit_rows(residents, waiting));
        }
    }
    rows.extend(WORKERS.map(placement_row));
    for loads in LOADS {
        rows.extend(load_rows(loads));
    }
    rows
}

fn permit_rows(residents: usize, waiting: usize) -> [Row; 2] {
    let frequency = Frequency::new(LONG);
    let cx = SchedulerContext {
        now: NOW,
        lease: LeaseState::Held,
        frequency: &frequency,
        turn_wait: TurnWaitEstimate::default(),
    };
    let mut scheduler = scheduler(residents, waiting, &cx);
    let mut serial = u64::MAX / 2;
    let permit = time_of(|| {
        serial += 1;
        scheduler.request(&request(serial, residents), &cx);
        scheduler.release(&release(serial), &cx);
        scheduler.take_actions()
    });
    let tick = time_of(|| {
        scheduler.on_tick(&cx);
        scheduler.take_actions()
    });
    let size = || format!("{residents} residents, {waiting} waiting");
    [
        Row::time("permit: request and release", size(), permit),
        Row::time("worker: tick", size(), tick),
    ]
}

/// A worker with `waiting` requests behind a full batch; with none, a batch
/// that is full but for one.
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
    let facts = EngineListing {
        boot_id: "boot".into(),
        slots: residents as u32,
        batch_limit: BATCH_LIMIT,
        leaving: false,
        residents: (0..residents).map(|n| (fleet::target(n), slot)).collect(),
    };
    scheduler.on_listing(&facts, NOW, cx);
    let batch = BATCH_LIMIT as usize;
    let asked = if waiting == 0 {
        batch - 1
    } else {
        batch + waiting
    };
    for serial in 0..asked as u64 {
        scheduler.request(&request(serial, residents), cx);
    }
    scheduler.take_actions();
    assert_eq!(
        scheduler.waiting() as usize,
        waiting,
        "the queue is as asked"
    );
    scheduler
}

fn request(serial: u64, residents: usize) -> PermitRequest {
    PermitRequest {
        id: permit_id(serial),
        worker: fleet::worker(0),
        target: fleet::target(serial as usize % residents),
        class: Class::Lookup,
        remaining: LONG,
        expected: None,
        patience: LONG,
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

fn placement_row(workers: usize) -> Row {
    let view = view(workers, RESIDENTS[0]);
    let group = fleet::group(0);
    let zone = fleet::zone(0);
    let mut number = 0;
    let choose = time_of(|| {
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
    Row::time("placement: candidates", size, choose)
}

fn load_rows(loads: usize) -> [Row; 3] {
    let mut broker = Broker::new(1, LoadsRule::default(), NOW);
    for number in 0..loads {
        broker.enqueue(&turn(number), NOW);
    }
    let late = time_of(|| (broker.remove_late_loads(NOW), broker.start_loads(NOW)));
    let outlook = time_of(|| broker.turn_wait(NOW));
    let ask = time_of(|| {
        let turn = turn(loads);
        broker.enqueue(&turn, NOW);
        broker.withdraw(&LoadKey::from(&turn));
    });
    let size = || format!("{loads} loads waiting");
    [
        Row::time("loads: give up late, start", size(), late),
        Row::time("loads: outlook", size(), outlook),
        Row::time("loads: ask and withdraw", size(), ask),
    ]
}

fn turn(number: usize) -> TurnRequest {
    TurnRequest {
        worker: fleet::worker(number % 600),
        target: fleet::target(number),
        value: (number % 97) as f64,
        patience: LONG,
    }
}
