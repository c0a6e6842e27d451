//! The scheduler's invariants, checked in random runs from a fixed seed.

use super::simulation::Simulation;
use super::steps::{policy, step};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use std::cell::Cell;

const RUNS: u32 = 96;
const STEPS: usize = 500;

#[test]
fn invariants_hold_in_random_runs() {
    let cfg = Config {
        cases: RUNS,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let (granted, evictions) = (Cell::new(0), Cell::new(0));
    let run = runner.run(&(policy(), vec(step(), 1..STEPS)), |(policy, steps)| {
        let mut simulation = Simulation::new(policy);
        for step in &steps {
            simulation.run_step(step);
        }
        granted.set(granted.get() + simulation.granted());
        evictions.set(evictions.get() + simulation.evictions());
        Ok(())
    });
    match run {
        Ok(()) => {}
        Err(TestError::Abort(reason)) => panic!("{reason}"),
        Err(TestError::Fail(reason, (policy, steps))) => {
            let steps: Vec<String> = steps.iter().map(|step| format!("{step:?}")).collect();
            panic!("{reason}\n{policy:?}\n{}", steps.join("\n"));
        }
    }
    assert!(granted.get() > RUNS * 10, "{} permits", granted.get());
    assert!(evictions.get() > RUNS, "{} evictions", evictions.get());
}
