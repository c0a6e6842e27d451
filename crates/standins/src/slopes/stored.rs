//! Costs of the data stored at the platform: rules, zone tables, the list of
//! instances.

use super::fleet;
use super::meter::{Measurement, time_per_step};
use eyre::Result;
use reedford_core::table::{Member, Ownership, PreviousOwner, ZoneTable};
use reedford_rules::{AdapterRule, Admission, GroupRule, Rules, RulesDocument, render};
use reedford_wire::instances::{Instance, InstanceKind, InstanceList, InstanceState};
use std::collections::BTreeSet;

/// Sizes of rules files measured, in adapters.
const ADAPTERS: [usize; 3] = [3_000, 7_500, 15_000];
/// Zone sizes measured, in entry instances and workers.
const ZONES: [(usize, usize); 3] = [(3, 4), (50, 75), (105, 150)];
/// Sizes of the list of instances measured, in entry instances and workers.
const LISTS: [(usize, usize); 3] = [(8, 15), (210, 300), (420, 600)];
/// Versions of each adapter.
const VERSIONS: [&str; 2] = ["2", "3"];

/// Measures all figures of this module.
///
/// # Errors
/// When a table or list can't be encoded.
pub fn measure() -> Result<Vec<Measurement>> {
    let mut measurements = Vec::new();
    for adapters in ADAPTERS {
        measurements.extend(measure_rules(adapters));
    }
    for (instances, workers) in ZONES {
        measurements.extend(measure_table(instances, workers)?);
    }
    for (instances, workers) in LISTS {
        measurements.extend(measure_list(instances, workers)?);
    }
    Ok(measurements)
}

fn measure_rules(adapters: usize) -> [Measurement; 2] {
    let text = rules_text(adapters, fleet::GROUPS);
    let parse = time_per_step(|| RulesDocument::parse(1, &text));
    let size = || format!("{adapters} adapters");
    [
        Measurement::bytes("rules: text", size(), text.len() as u64),
        Measurement::time("rules: parse", size(), parse),
    ]
}

/// Returns the text of a rules file with `adapters` adapters, spread evenly
/// over `groups` groups.
#[must_use]
pub fn rules_text(adapters: usize, groups: usize) -> String {
    let mut rules = Rules::default();
    for number in 0..groups {
        let rule = GroupRule {
            base: format!("base-{number}").into(),
            objective: Default::default(),
            eviction: Default::default(),
            load_ordering: Default::default(),
            placement: Default::default(),
            admission: Admission::On,
        };
        rules.groups.insert(fleet::group(number), rule);
    }
    for number in 0..adapters {
        let rule = AdapterRule {
            group: fleet::group(number % groups),
            versions: VERSIONS.map(Into::into).into(),
            repeatable: number % 10 != 9,
        };
        rules.adapters.insert(fleet::target(number).adapter, rule);
    }
    render(&rules, "Urs Hunziker, platform operations")
}

fn measure_table(instances: usize, workers: usize) -> Result<[Measurement; 2]> {
    let table = zone_table(instances, workers);
    let text = serde_json::to_vec(&table)?;
    let read = time_per_step(|| serde_json::from_slice::<ZoneTable>(&text));
    let size = || format!("{instances} instances, {workers} workers");
    Ok([
        Measurement::bytes("zone table", size(), text.len() as u64),
        Measurement::time("zone table: decode", size(), read),
    ])
}

fn zone_table(instances: usize, workers: usize) -> ZoneTable {
    let incarnation = |number: usize| u64::MAX - number as u64;
    let members = (0..instances).map(|number| {
        let member = Member {
            incarnation: incarnation(number),
            peers: fleet::address(),
            joined: 12_345,
        };
        (fleet::instance(number), member)
    });
    let owned = (0..workers).map(|number| {
        let (owner, before) = (number % instances, (number + 1) % instances);
        let ownership = Ownership {
            owner: fleet::instance(owner),
            incarnation: incarnation(owner),
            epoch: 1_234,
            previous: [PreviousOwner {
                owner: fleet::instance(before),
                incarnation: incarnation(before),
            }]
            .into(),
        };
        (fleet::worker(number), ownership)
    });
    ZoneTable {
        sequence: 12_345,
        members: members.collect(),
        workers: owned.collect(),
    }
}

fn measure_list(instances: usize, workers: usize) -> Result<[Measurement; 2]> {
    let entries = (0..instances).map(|n| listed(fleet::instance(n), InstanceKind::Entry, n));
    let engines = (0..workers).map(|n| listed(fleet::worker(n), InstanceKind::Engine, n));
    let list = InstanceList {
        instances: entries.chain(engines).collect(),
    };
    let text = serde_json::to_vec(&list)?;
    let read = time_per_step(|| serde_json::from_slice::<InstanceList>(&text));
    let size = || format!("{instances} instances, {workers} workers");
    let ids: BTreeSet<_> = list.instances.iter().map(|instance| &instance.id).collect();
    assert_eq!(ids.len(), instances + workers, "names are unique");
    Ok([
        Measurement::bytes("list of instances", size(), text.len() as u64),
        Measurement::time("list of instances: decode", size(), read),
    ])
}

fn listed(id: Box<str>, kind: InstanceKind, number: usize) -> Instance {
    Instance {
        id,
        group: fleet::group(number),
        kind,
        zone: fleet::zone(number),
        address: fleet::address(),
        state: InstanceState::Live,
        checks_fence: true,
    }
}
