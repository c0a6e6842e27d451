//! What must always hold, over random runs from a fixed seed.

use super::steps::{policy, step};
use super::world::World;
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use std::cell::Cell;

const RUNS: u32 = 96;
const STEPS: usize = 500;

#[test]
fn what_must_hold_holds_in_random_runs() {
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
        let mut world = World::new(policy);
        for step in &steps {
            world.take(step);
        }
        granted.set(granted.get() + world.granted());
        evictions.set(evictions.get() + world.evictions());
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
