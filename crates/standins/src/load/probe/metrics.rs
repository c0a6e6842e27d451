//! Parser of counters in the Prometheus text format.

use std::collections::{BTreeMap, BTreeSet};

/// Counters by name, summed over their labels.
pub type Counters = BTreeMap<Box<str>, f64>;

/// Returns the counters of a metrics page. Other kinds of metrics and lines
/// that can't be parsed are left out.
#[must_use]
pub fn parse_counters(page: &str) -> Counters {
    let mut names = BTreeSet::new();
    let mut counters = Counters::new();
    for line in page.lines() {
        if let Some(name) = declared_counter(line) {
            names.insert(name);
        } else if let Some((name, value)) = sample(line).filter(|(name, _)| names.contains(name)) {
            *counters.entry(name.into()).or_default() += value;
        }
    }
    counters
}

fn declared_counter(line: &str) -> Option<&str> {
    line.strip_prefix("# TYPE ")?.strip_suffix(" counter")
}

fn sample(line: &str) -> Option<(&str, f64)> {
    let (series, value) = line.rsplit_once(' ')?;
    let name = series.split('{').next()?;
    Some((name, value.parse().ok()?))
}
