//! Which worker is asked first.

use reedford_core::messages::WorkerSummary;
use reedford_core::placement::{Candidates, ClusterView, PlacementRequest, WorkerView, candidates};
use reedford_core::{AdapterVersion, GroupName, WorkerId, ZoneId};
use reedford_rules::{Objective, Placement};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use test_case::test_case;

const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000);
const ADAPTERS: usize = 300;

fn av(name: &str) -> AdapterVersion {
    AdapterVersion::new(name, "1")
}

/// A worker of the group `llm` in zone `z1`, with room for 8.
fn worker(residents: &[&str], running: u32) -> WorkerView {
    WorkerView {
        summary: WorkerSummary {
            worker: "set by view".into(),
            group: "llm".into(),
            address: ADDRESS,
            epoch: 1,
            open: true,
            batch_limit: 8,
            running,
            waiting: 0,
            open_slots: 1,
            slot_cost: 0,
            loading: BTreeSet::new(),
            residents: residents.iter().map(|name| av(name)).collect(),
        },
        owner: "entry-1".into(),
        owner_address: ADDRESS,
        zone: "z1".into(),
    }
}

fn view<I>(workers: I) -> ClusterView
where
    I: IntoIterator<Item = WorkerView>,
{
    let named = workers.into_iter().enumerate().map(|(n, mut w)| {
        let id: WorkerId = format!("w{n}").into();
        w.summary.worker.clone_from(&id);
        (id, w)
    });
    ClusterView {
        workers: named.collect(),
    }
}

struct Ask {
    target: AdapterVersion,
    group: GroupName,
    zone: ZoneId,
    objective: Objective,
    placement: Placement,
    frequency: u32,
    random: u64,
}

impl Ask {
    fn new(name: &str) -> Self {
        Self {
            target: av(name),
            group: "llm".into(),
            zone: "z1".into(),
            objective: Objective::LoadStalls,
            placement: Placement::Home,
            frequency: 0,
            random: 1,
        }
    }

    fn of(&self, view: &ClusterView) -> Candidates {
        let req = PlacementRequest {
            group: &self.group,
            target: &self.target,
            zone: &self.zone,
            objective: self.objective,
            placement: self.placement,
            frequency: self.frequency,
            random: self.random,
        };
        candidates(view, &req)
    }
}

fn full() -> WorkerView {
    worker(&["a"], 8)
}

fn queued() -> WorkerView {
    let mut w = worker(&["a"], 5);
    w.summary.waiting = 4;
    w
}

fn foreign(running: u32) -> WorkerView {
    let mut w = worker(&["a"], running);
    w.zone = "z2".into();
    w
}

/// Two workers that hold the adapter; the second is the better one.
#[test_case([full(), worker(&["a"], 7)], Objective::LoadStalls; "room first")]
#[test_case([full(), worker(&["a"], 7)], Objective::BatchEfficiency; "room first for batches")]
#[test_case([worker(&["a"], 5), worker(&["a"], 2)], Objective::LoadStalls; "the emptier batch")]
#[test_case([worker(&["a"], 2), worker(&["a"], 5)], Objective::BatchEfficiency; "the fuller batch")]
#[test_case([queued(), full()], Objective::BatchEfficiency; "the shorter queue of full ones")]
#[test_case([foreign(2), worker(&["a"], 2)], Objective::LoadStalls; "the own zone")]
#[test_case([full(), foreign(2)], Objective::LoadStalls; "another zone when the own is full")]
fn the_better_resident_is_asked_first(workers: [WorkerView; 2], objective: Objective) {
    let mut ask = Ask::new("a");
    ask.objective = objective;
    for random in 0..20 {
        ask.random = random;
        let order = ask.of(&view(workers.clone())).resident;
        assert_eq!(order, ["w1".into(), WorkerId::from("w0")]);
    }
}

#[test]
fn equal_residents_are_chosen_at_random() {
    let equal = view([worker(&["a"], 1), worker(&["a"], 1)]);
    let mut ask = Ask::new("a");
    let first: BTreeSet<WorkerId> = (0..20)
        .map(|random| {
            ask.random = random;
            ask.of(&equal).resident[0].clone()
        })
        .collect();
    assert_eq!(first.len(), 2);
}

#[test]
fn only_open_workers_of_the_group_with_the_version_count() {
    let mut closed = worker(&["a"], 0);
    closed.summary.open = false;
    let mut other_group = worker(&["a"], 0);
    other_group.summary.group = "other".into();
    let mut other_version = worker(&[], 0);
    other_version.summary.residents = [AdapterVersion::new("a", "2")].into();
    let found = Ask::new("a").of(&view([closed, other_group, other_version]));
    assert_eq!(found.resident, []);
    assert_eq!(found.homes, ["w2".into()]);
}

#[test]
fn all_instances_agree_on_homes_whatever_the_batches() {
    let one = view((0..6).map(|n| worker(&[], n)));
    let other = view((0..6).map(|n| worker(&["b"], 6 - n)));
    for n in 0..ADAPTERS {
        let mut ask = Ask::new(&format!("a-{n}"));
        let homes = ask.of(&one).homes;
        ask.zone = "z2".into();
        ask.random = 2;
        assert_eq!(ask.of(&other).homes, homes);
    }
}

#[test]
fn a_lost_worker_moves_only_its_own_adapters() {
    let all = view((0..6).map(|_| worker(&[], 0)));
    let mut fewer = all.clone();
    fewer.workers.remove("w3");
    let mut moved = 0;
    for n in 0..ADAPTERS {
        let ask = Ask::new(&format!("a-{n}"));
        let before = ask.of(&all).homes;
        let kept: Vec<WorkerId> = before.iter().filter(|w| &***w != "w3").cloned().collect();
        assert_eq!(ask.of(&fewer).homes, kept, "the order of the others stays");
        moved += usize::from(&*before[0] == "w3");
    }
    assert!(
        (ADAPTERS / 12..ADAPTERS / 3).contains(&moved),
        "{moved} moved"
    );
}

/// Costs of the next slot of six workers; the home is one of the adapter's
/// first three, the cheapest, and the first of equals.
#[test]
fn a_load_goes_to_the_cheapest_of_three_homes() {
    let equal = view((0..6).map(|_| worker(&[], 0)));
    let ask = Ask::new("a");
    let order = ask.of(&equal).homes;
    for (costs, expected) in [([5, 5, 5], 0), ([5, 3, 4], 1), ([5, 4, 3], 2)] {
        let mut workers = equal.clone();
        for (home, cost) in order.iter().zip(costs) {
            workers.workers.get_mut(home).unwrap().summary.slot_cost = cost;
        }
        assert_eq!(ask.of(&workers).homes[0], order[expected], "{costs:?}");
    }
}

/// Under batch efficiency all adapters have one order of workers, and go to the
/// first from which they drive a clearly colder adapter, else to the cheapest.
#[test_case(100, 0; "hot enough for the first")]
#[test_case(60, 1; "only for the second")]
#[test_case(1, 2; "not for any, so to the cheapest")]
fn hot_adapters_gather_on_the_first_workers(frequency: u32, expected: usize) {
    let mut workers = view((0..3).map(|_| worker(&[], 0)));
    let mut ask = Ask::new("a");
    ask.objective = Objective::BatchEfficiency;
    ask.frequency = u32::MAX;
    let order = ask.of(&workers).homes;
    for (home, cost) in order.iter().zip([50, 30, 10]) {
        workers.workers.get_mut(home).unwrap().summary.slot_cost = cost;
    }
    for name in ["a", "b"] {
        ask.target = av(name);
        ask.frequency = frequency;
        assert_eq!(ask.of(&workers).homes[0], order[expected]);
    }
}

#[test]
fn a_load_under_way_is_told_apart() {
    let mut loading = worker(&[], 0);
    loading.summary.loading = [av("a")].into();
    let found = Ask::new("a").of(&view([worker(&[], 0), loading, worker(&["a"], 0)]));
    assert_eq!(found.resident, ["w2".into()]);
    assert_eq!(found.loading, ["w1".into()]);
    assert_eq!(found.homes, ["w0".into()]);
}

#[test]
fn random_placement_pays_no_heed_to_residents() {
    let workers = view([worker(&["a"], 0), worker(&[], 0), worker(&[], 0)]);
    let mut ask = Ask::new("a");
    ask.placement = Placement::Random;
    let mut first = BTreeSet::new();
    for random in 0..30 {
        ask.random = random;
        let found = ask.of(&workers);
        assert_eq!((found.resident.len(), found.homes.len()), (0, 3));
        first.insert(found.homes[0].clone());
    }
    assert_eq!(first.len(), 3);
}
