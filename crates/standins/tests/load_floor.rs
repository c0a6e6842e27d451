//! The lower bound (floor) of stalls and loads that the load tool computes,
//! checked on cases worked out by hand.

use reedford_rules::Class;
use reedford_standins::load::floor::{FloorEviction, LoadLimits, floor};
use reedford_standins::load::workload::{Arrival, ClassMix, Tokens, Workload};
use std::time::Duration;
use test_case::test_case;

const BELADY: FloorEviction = FloorEviction::FurthestNextUse;
const LRU: FloorEviction = FloorEviction::Lru;

struct Case {
    eviction: FloorEviction,
    slots: usize,
    in_flight: usize,
    /// Maximum number of loads started per second.
    per_s: f64,
    deadline_ms: u64,
    warmup_s: f64,
    /// Arrival time in milliseconds and adapter of each request.
    uses: &'static [(u64, usize)],
    /// Number of served requests that stalled.
    stalled: u64,
    /// Longest stall in milliseconds.
    longest_ms: f64,
    refused: u64,
    loads: u64,
    evictions: u64,
}

const BASE: Case = Case {
    eviction: BELADY,
    slots: 2,
    in_flight: 8,
    per_s: 2.0,
    deadline_ms: 10_000,
    warmup_s: 0.0,
    uses: &[],
    stalled: 0,
    longest_ms: 0.0,
    refused: 0,
    loads: 0,
    evictions: 0,
};

/// Adapter 0 is used again before adapter 1. The load of adapter 2 evicts adapter 1
/// with knowledge of the future, and adapter 0 with LRU.
const REUSE: &[(u64, usize)] = &[
    (0, 0),
    (1_000, 1),
    (2_000, 2),
    (3_000, 0),
    (4_000, 2),
    (5_000, 1),
];

#[test_case(Case { uses: &[(0, 0), (1_000, 0)], stalled: 1, longest_ms: 250.0, loads: 1, ..BASE }; "a resident adapter does not stall")]
#[test_case(Case { uses: &[(0, 0), (100, 0)], stalled: 2, longest_ms: 250.0, loads: 1, ..BASE }; "requests share a running load")]
#[test_case(Case { uses: &[(0, 0), (100, 1), (200, 1)], stalled: 3, longest_ms: 650.0, loads: 2, ..BASE }; "loads start no closer than the rate, and waiting requests share one")]
#[test_case(Case { per_s: 100.0, in_flight: 1, uses: &[(0, 0), (0, 1)], stalled: 2, longest_ms: 500.0, loads: 2, ..BASE }; "loads wait while the limit of running loads is reached")]
#[test_case(Case { per_s: 100.0, slots: 1, uses: &[(0, 0), (0, 1)], stalled: 2, longest_ms: 500.0, loads: 2, evictions: 1, ..BASE }; "a running load keeps its slot")]
#[test_case(Case { uses: REUSE, stalled: 4, longest_ms: 250.0, loads: 4, evictions: 2, ..BASE }; "future knowledge evicts the furthest next use")]
#[test_case(Case { eviction: LRU, uses: REUSE, stalled: 5, longest_ms: 250.0, loads: 5, evictions: 3, ..BASE }; "lru evicts the least recently used")]
#[test_case(Case { deadline_ms: 300, uses: &[(0, 0), (0, 1), (600, 1)], stalled: 2, longest_ms: 250.0, refused: 1, loads: 2, ..BASE }; "a load that ends too late is refused and not made")]
#[test_case(Case { warmup_s: 1.0, uses: &[(0, 0), (1_500, 0), (1_600, 1)], stalled: 1, longest_ms: 250.0, loads: 1, ..BASE }; "the warm up fills slots but is not counted")]
fn worked_by_hand(case: Case) {
    let workload = workload(&case);
    let limits = LoadLimits {
        slots: case.slots,
        per_s: case.per_s,
        load_ms: 250,
        in_flight: case.in_flight,
    };
    let arrivals: Vec<_> = case
        .uses
        .iter()
        .map(|(at, adapter)| arrival(*at, *adapter))
        .collect();
    let floor = floor(&workload, &arrivals, limits, case.eviction);
    let counted = case
        .uses
        .iter()
        .filter(|(at, _)| *at as f64 >= case.warmup_s * 1e3);
    assert_eq!(floor.served, counted.count() as u64 - case.refused);
    assert_eq!(floor.refused, case.refused);
    assert_eq!(floor.loads, case.loads);
    assert_eq!(floor.evictions, case.evictions);
    let stalled = floor.stall.share_stalled * floor.served as f64;
    assert_eq!(stalled.round() as u64, case.stalled);
    let error = (floor.stall.time.max_ms - case.longest_ms).abs();
    assert!(error <= case.longest_ms / 500.0, "{:?}", floor.stall);
}

fn workload(case: &Case) -> Workload {
    Workload {
        duration_s: 10.0,
        warmup_s: case.warmup_s,
        rate: 1.0,
        adapters: 3,
        zipf_exponent: 1.0,
        churn_per_hour: 0.0,
        swap: None,
        classes: vec![ClassMix {
            name: "all".into(),
            class: Class::Standard,
            share: 1.0,
            tokens: Tokens::default(),
            stream: false,
            deadline_ms: case.deadline_ms,
            repeatable: true,
            plain: None,
        }],
    }
}

const fn arrival(at_ms: u64, adapter: usize) -> Arrival {
    Arrival {
        at: Duration::from_millis(at_ms),
        adapter,
        class: 0,
        tokens: 1,
    }
}

#[test]
fn future_knowledge_never_loads_more_than_lru() {
    let workload = Workload {
        duration_s: 600.0,
        rate: 20.0,
        adapters: 300,
        zipf_exponent: 1.1,
        ..workload(&BASE)
    };
    let limits = LoadLimits {
        slots: 60,
        per_s: 3.0,
        load_ms: 250,
        in_flight: 8,
    };
    for seed in 0..5 {
        let arrivals = workload.arrivals(seed).unwrap();
        let best = floor(&workload, &arrivals, limits, BELADY);
        let lru = floor(&workload, &arrivals, limits, LRU);
        assert!(best.loads < lru.loads, "seed {seed}: {best:?} {lru:?}");
        assert!(
            best.stall.share_stalled < lru.stall.share_stalled,
            "seed {seed}"
        );
    }
}
