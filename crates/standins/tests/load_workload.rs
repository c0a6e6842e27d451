//! The sequence of arrivals that the load tool generates.

use reedford_rules::Class;
use reedford_standins::load::experiment::{Model, Names, NamesError};
use reedford_standins::load::workload::{Arrival, ClassMix, PlainCall, Swap, Tokens, Workload};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use test_case::test_case;

const SEED: u64 = 7;

fn class(name: &str, share: f64) -> ClassMix {
    ClassMix {
        name: name.into(),
        class: Class::Lookup,
        share,
        tokens: Tokens {
            median: 50.0,
            sigma: 1.0,
            min: 10,
            max: 200,
        },
        stream: true,
        deadline_ms: 1_000,
        repeatable: true,
        plain: None,
    }
}

fn workload() -> Workload {
    Workload {
        duration_s: 500.0,
        warmup_s: 0.0,
        rate: 100.0,
        adapters: 1_000,
        zipf_exponent: 1.1,
        churn_per_hour: 0.0,
        swap: None,
        classes: vec![class("a", 3.0), class("b", 1.0)],
    }
}

fn model(name: &str, repeatable: bool) -> Model {
    Model {
        name: name.into(),
        repeatable,
    }
}

fn arrivals(workload: &Workload, seed: u64) -> Vec<Arrival> {
    workload.arrivals(seed).unwrap()
}

/// Returns the `count` adapters with the most arrivals, the most popular first.
fn most_popular(arrivals: &[Arrival], count: usize) -> Vec<usize> {
    let mut by_adapter = BTreeMap::<usize, usize>::new();
    for arrival in arrivals {
        *by_adapter.entry(arrival.adapter).or_default() += 1;
    }
    let mut adapters: Vec<_> = by_adapter.into_iter().collect();
    adapters.sort_by_key(|(_, uses)| std::cmp::Reverse(*uses));
    adapters
        .into_iter()
        .take(count)
        .map(|(adapter, _)| adapter)
        .collect()
}

fn is_near(measured: f64, expected: f64, tolerance: f64) -> bool {
    (measured - expected).abs() <= tolerance * expected
}

#[test]
fn equal_seeds_give_equal_arrivals() {
    let workload = workload();
    assert_eq!(arrivals(&workload, SEED), arrivals(&workload, SEED));
    assert_ne!(arrivals(&workload, SEED), arrivals(&workload, SEED + 1));
}

#[test]
fn arrivals_have_the_rate_the_mix_and_the_bounds() {
    let arrivals = arrivals(&workload(), SEED);
    let len = arrivals.len() as f64;
    assert!(is_near(len, 50_000.0, 0.02), "{len}");
    let in_first_class = arrivals.iter().filter(|arrival| arrival.class == 0).count();
    assert!(
        is_near(in_first_class as f64 / len, 0.75, 0.02),
        "{in_first_class}"
    );
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!(
        arrivals
            .iter()
            .all(|arrival| (10..=200).contains(&arrival.tokens))
    );
    assert!(arrivals.iter().all(|arrival| arrival.adapter < 1_000));
}

struct ZipfCase {
    exponent: f64,
    top: usize,
}

#[test_case(ZipfCase { exponent: 0.0, top: 100 }; "all equally popular")]
#[test_case(ZipfCase { exponent: 0.8, top: 10 }; "mild")]
#[test_case(ZipfCase { exponent: 1.1, top: 10 }; "sharp")]
fn the_most_popular_adapters_have_their_share(case: ZipfCase) {
    let workload = Workload {
        zipf_exponent: case.exponent,
        ..workload()
    };
    let arrivals = arrivals(&workload, SEED);
    let popular: BTreeSet<_> = most_popular(&arrivals, case.top).into_iter().collect();
    let uses = arrivals
        .iter()
        .filter(|arrival| popular.contains(&arrival.adapter));
    let measured = uses.count() as f64 / arrivals.len() as f64;
    let weight = |rank: usize| (rank as f64).powf(-case.exponent);
    let all: f64 = (1..=workload.adapters).map(weight).sum();
    let expected = (1..=case.top).map(weight).sum::<f64>() / all;
    // Even among equally popular adapters, the largest counts exceed the mean.
    let tolerance = if case.exponent == 0.0 { 0.35 } else { 0.05 };
    assert!(
        is_near(measured, expected, tolerance),
        "{measured} {expected}"
    );
}

#[test]
fn a_swap_replaces_only_the_most_popular_adapters() {
    let workload = Workload {
        swap: Some(Swap {
            at_s: 250.0,
            top: 5,
        }),
        ..workload()
    };
    let arrivals = arrivals(&workload, SEED);
    let split = arrivals.partition_point(|arrival| arrival.at.as_secs_f64() < 250.0);
    let before = most_popular(&arrivals[..split], 5);
    let after = most_popular(&arrivals[split..], 5);
    let kept = before
        .iter()
        .filter(|adapter| after.contains(adapter))
        .count();
    assert_eq!(kept, 0, "{before:?} {after:?}");
    let next_before = most_popular(&arrivals[..split], 8);
    let next_after = most_popular(&arrivals[split..], 8);
    let stayed = next_before[5..]
        .iter()
        .filter(|adapter| next_after.contains(adapter));
    assert!(stayed.count() >= 2, "{next_before:?} {next_after:?}");
}

#[test]
fn a_quarter_of_the_adapters_changes_in_an_hour() {
    let workload = Workload {
        duration_s: 3_600.0,
        rate: 500.0,
        adapters: 200,
        churn_per_hour: 0.27,
        ..workload()
    };
    let arrivals = arrivals(&workload, SEED);
    let counts = |from: f64, to: f64| {
        let mut counts = vec![0_f64; workload.adapters];
        let in_time = |arrival: &&Arrival| (from..to).contains(&arrival.at.as_secs_f64());
        for arrival in arrivals.iter().filter(in_time) {
            counts[arrival.adapter] += 1.0;
        }
        counts
    };
    let (first, last) = (counts(0.0, 120.0), counts(3_480.0, 3_600.0));
    // Five standard deviations of the difference of two Poisson counts.
    let differs = |(a, b): &(&f64, &f64)| (*a - *b).abs() > 5.0 * (*a + *b).sqrt();
    let changed = first.iter().zip(&last).filter(differs).count();
    // 54 of 200 exchange their ranks; an exchange of near ranks is not detected.
    assert!((25..=60).contains(&changed), "{changed}");
}

type Change = fn(&mut Workload);

#[test_case(|w| w.rate = 0.0, "workload.rate: must be above 0")]
#[test_case(|w| w.rate = f64::NAN, "workload.rate: must be above 0")]
#[test_case(|w| w.duration_s = -1.0, "workload.duration_s: must be above 0")]
#[test_case(|w| w.warmup_s = 500.0, "workload.warmup_s: must be below duration_s")]
#[test_case(|w| w.adapters = 0, "workload.adapters: must be above 0")]
#[test_case(|w| w.classes.clear(), "workload.classes: must not be empty")]
#[test_case(|w| w.classes[0].tokens.min = 0, "workload.classes.tokens.min: must be above 0")]
#[test_case(|w| w.classes[0].deadline_ms = 0, "workload.classes.deadline_ms: must be above 0")]
#[test_case(
    |w| w.swap = Some(Swap { at_s: 1.0, top: 501 }),
    "workload.swap.top: must be at most half of the adapters"
)]
fn impossible_values_are_refused(change: Change, message: &str) {
    let mut workload = workload();
    change(&mut workload);
    let error = workload.arrivals(SEED).unwrap_err();
    assert_eq!(error.to_string(), message);
}

#[test]
fn names_follow_the_pattern() {
    let names = Names::Pattern("rezept-{}@3".into());
    let models = names.models(2).unwrap();
    assert_eq!(
        models,
        ["rezept-0000@3", "rezept-0001@3"].map(|name| model(name, true))
    );
    assert!(Names::Pattern("rezept@3".into()).models(1).is_err());
    assert!(Names::Pattern("rezept-{}".into()).models(1).is_err());
}

const RULES: &str = "\
group g kind=engine base=b # asked by Ada
adapter tint group=g versions=4,2 repeatable=yes # asked by Ada
adapter rust group=g versions=1 repeatable=no # asked by Ada
";

#[test]
fn names_come_from_a_rules_file() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(dir.join("load-names.txt"), RULES).unwrap();
    std::fs::write(dir.join("load-faults.txt"), "nonsense").unwrap();
    let names = |file: &str| {
        let mut names = Names::Rules(file.into());
        names.resolve(dir);
        names
    };
    let models = names("load-names.txt").models(2).unwrap();
    assert_eq!(models, [model("rust@1", false), model("tint@2", true)]);
    let error = names("load-names.txt").models(3).unwrap_err();
    assert!(
        matches!(error, NamesError::TooFew { found: 2, .. }),
        "{error}"
    );
    let error = names("load-faults.txt").models(1).unwrap_err();
    assert!(matches!(error, NamesError::Faults { .. }), "{error}");
    let error = names("load-absent.txt").models(1).unwrap_err();
    assert!(matches!(error, NamesError::Read { .. }), "{error}");
}

#[test]
fn plain_calls_keep_their_path() {
    let mut mix = class("orders", 1.0);
    mix.plain = Some(PlainCall {
        service: "einkauf".into(),
        path: "orders".into(),
    });
    let text = serde_json::to_string(&mix).unwrap();
    assert_eq!(serde_json::from_str::<ClassMix>(&text).unwrap(), mix);
}
