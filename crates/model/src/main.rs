//! Checks the specifications and their mutations, and prints the results.
//!
//! With `--mutation`, prints only the shortest counterexample of one mutation.

mod flags;

use flags::ReedfordModel;
use reedford_model::search::Outcome;
use reedford_model::spec::Spec;

fn main() -> eyre::Result<()> {
    let flags = ReedfordModel::from_env_or_exit();
    let specs = select_specs(flags.spec.as_deref())?;
    match flags.mutation {
        Some(name) => print_counterexample(&specs, &name),
        None => {
            specs.into_iter().for_each(print_spec);
            Ok(())
        }
    }
}

/// Returns the specification called `name`, or all without a name.
fn select_specs(name: Option<&str>) -> eyre::Result<Vec<Spec>> {
    let is_selected = |spec: &Spec| name.is_none_or(|name| name == format!("{spec:?}"));
    let specs: Vec<Spec> = Spec::ALL.into_iter().filter(is_selected).collect();
    eyre::ensure!(!specs.is_empty(), "no specification has that name");
    Ok(specs)
}

fn print_counterexample(specs: &[Spec], name: &str) -> eyre::Result<()> {
    let outcomes = specs
        .iter()
        .find_map(|spec| spec.check_mutation(name))
        .ok_or_else(|| eyre::eyre!("no mutation has the name {name}"))?;
    let failure = outcomes
        .last()
        .and_then(|o| o.counterexample.as_ref().map(|t| (o, t)));
    let (outcome, trace) = failure.ok_or_else(|| eyre::eyre!("{name} has no counterexample"))?;
    println!("{name}, instance: {}\n{trace}", outcome.case);
    Ok(())
}

fn print_spec(spec: Spec) {
    println!("{spec:?}");
    spec.invariants()
        .iter()
        .for_each(|i| println!("  invariant: {i}"));
    for outcome in spec.check() {
        let result = match &outcome.counterexample {
            None => "all invariants hold".to_owned(),
            Some(trace) => format!("FAILS\n{trace}"),
        };
        println!("  {}: {result}", summary(&outcome));
    }
    for name in spec.mutations() {
        let outcomes = spec.check_mutation(&name).into_iter().flatten();
        let last = outcomes.last().expect("every specification has a case");
        let result = match &last.counterexample {
            None => "no counterexample".to_owned(),
            Some(trace) => format!("{} steps, breaks: {}", trace.steps.len(), trace.invariant),
        };
        println!("  mutation {name}: {result} ({})", summary(&last));
    }
}

fn summary(outcome: &Outcome) -> String {
    let Outcome {
        case,
        states,
        transitions,
        elapsed,
        ..
    } = outcome;
    format!("{case}, {states} states, {transitions} transitions, {elapsed:.1?}")
}
