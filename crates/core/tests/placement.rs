//! The order of candidate workers for a request.

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

/// A worker of the group `llm` in zone `z1`, with a batch limit of 8.
fn worker(residents: &[&str], running: u32) -> WorkerView {
    WorkerView {
        summary: WorkerSummary {
            worker: "set by cluster_view".into(),
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

fn cluster_view<I>(workers: I) -> ClusterView
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

/// A [`PlacementRequest`] that owns its fields.
struct OwnedRequest {
    target: AdapterVersion,
    group: GroupName,
    zone: ZoneId,
    objective: Objective,
    placement: Placement,
    frequency: u32,
    random: u64,
}

impl OwnedRequest {
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

    fn candidates(&self, view: &ClusterView) -> Candidates {
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

fn other_zone(running: u32) -> WorkerView {
    let mut w = worker(&["a"], running);
    w.zone = "z2".into();
    w
}

/// Two workers that hold the adapter; the second is the better one.
#[test_case([full(), worker(&["a"], 7)], Objective::LoadStalls; "free capacity first")]
#[test_case([full(), worker(&["a"], 7)], Objective::BatchEfficiency; "free capacity first for batches")]
#[test_case([worker(&["a"], 5), worker(&["a"], 2)], Objective::LoadStalls; "the emptier batch")]
#[test_case([worker(&["a"], 2), worker(&["a"], 5)], Objective::BatchEfficiency; "the fuller batch")]
#[test_case([queued(), full()], Objective::BatchEfficiency; "the shorter queue of two full batches")]
#[test_case([other_zone(2), worker(&["a"], 2)], Objective::LoadStalls; "the own zone")]
#[test_case([full(), other_zone(2)], Objective::LoadStalls; "another zone when the own is full")]
fn the_better_resident_worker_comes_first(workers: [WorkerView; 2], objective: Objective) {
    let mut req = OwnedRequest::new("a");
    req.objective = objective;
    for random in 0..20 {
        req.random = random;
        let order = req.candidates(&cluster_view(workers.clone())).resident;
        assert_eq!(order, ["w1".into(), WorkerId::from("w0")]);
    }
}

#[test]
fn equal_resident_workers_are_ordered_at_random() {
    let equal = cluster_view([worker(&["a"], 1), worker(&["a"], 1)]);
    let mut req = OwnedRequest::new("a");
    let first: BTreeSet<WorkerId> = (0..20)
        .map(|random| {
            req.random = random;
            req.candidates(&equal).resident[0].clone()
        })
        .collect();
    assert_eq!(first.len(), 2);
}

#[test]
fn only_open_workers_of_the_group_with_the_version_are_resident_candidates() {
    let mut closed = worker(&["a"], 0);
    closed.summary.open = false;
    let mut other_group = worker(&["a"], 0);
    other_group.summary.group = "other".into();
    let mut other_version = worker(&[], 0);
    other_version.summary.residents = [AdapterVersion::new("a", "2")].into();
    let found =
        OwnedRequest::new("a").candidates(&cluster_view([closed, other_group, other_version]));
    assert_eq!(found.resident, []);
    assert_eq!(found.others, ["w2".into()]);
}

#[test]
fn all_instances_compute_the_same_homes_for_any_load() {
    let one = cluster_view((0..6).map(|n| worker(&[], n)));
    let other = cluster_view((0..6).map(|n| worker(&["b"], 6 - n)));
    for n in 0..ADAPTERS {
        let mut req = OwnedRequest::new(&format!("a-{n}"));
        let others = req.candidates(&one).others;
        req.zone = "z2".into();
        req.random = 2;
        assert_eq!(req.candidates(&other).others, others);
    }
}

#[test]
fn removing_a_worker_moves_only_its_own_adapters() {
    let all = cluster_view((0..6).map(|_| worker(&[], 0)));
    let mut fewer = all.clone();
    fewer.workers.remove("w3");
    let mut moved = 0;
    for n in 0..ADAPTERS {
        let req = OwnedRequest::new(&format!("a-{n}"));
        let before = req.candidates(&all).others;
        let kept: Vec<WorkerId> = before.iter().filter(|w| &***w != "w3").cloned().collect();
        assert_eq!(
            req.candidates(&fewer).others,
            kept,
            "the order of the others stays"
        );
        moved += usize::from(&*before[0] == "w3");
    }
    assert!(
        (ADAPTERS / 12..ADAPTERS / 3).contains(&moved),
        "{moved} moved"
    );
}

/// The load goes to the home with the lowest slot cost, the first one of equal
/// costs. The adapter's homes are the first three of six workers.
#[test]
fn a_load_goes_to_the_home_with_the_lowest_slot_cost() {
    let equal = cluster_view((0..6).map(|_| worker(&[], 0)));
    let req = OwnedRequest::new("a");
    let order = req.candidates(&equal).others;
    for (costs, expected) in [([5, 5, 5], 0), ([5, 3, 4], 1), ([5, 4, 3], 2)] {
        let mut workers = equal.clone();
        for (home, cost) in order.iter().zip(costs) {
            workers.workers.get_mut(home).unwrap().summary.slot_cost = cost;
        }
        assert_eq!(
            req.candidates(&workers).others[0],
            order[expected],
            "{costs:?}"
        );
    }
}

/// For batch efficiency, all adapters have the same order of workers. An adapter
/// goes to the first worker on which it displaces one requested at most half as
/// often, otherwise to the one with the lowest slot cost.
#[test_case(100, 0; "displaces an adapter on the first worker")]
#[test_case(60, 1; "displaces one only on the second")]
#[test_case(1, 2; "displaces none, so goes to the lowest cost")]
fn frequent_adapters_are_packed_on_the_first_workers(frequency: u32, expected: usize) {
    let mut workers = cluster_view((0..3).map(|_| worker(&[], 0)));
    let mut req = OwnedRequest::new("a");
    req.objective = Objective::BatchEfficiency;
    req.frequency = u32::MAX;
    let order = req.candidates(&workers).others;
    for (home, cost) in order.iter().zip([50, 30, 10]) {
        workers.workers.get_mut(home).unwrap().summary.slot_cost = cost;
    }
    for name in ["a", "b"] {
        req.target = av(name);
        req.frequency = frequency;
        assert_eq!(req.candidates(&workers).others[0], order[expected]);
    }
}

#[test]
fn workers_that_load_the_adapter_are_listed_separately() {
    let mut loading = worker(&[], 0);
    loading.summary.loading = [av("a")].into();
    let found = OwnedRequest::new("a").candidates(&cluster_view([
        worker(&[], 0),
        loading,
        worker(&["a"], 0),
    ]));
    assert_eq!(found.resident, ["w2".into()]);
    assert_eq!(found.loading, ["w1".into()]);
    assert_eq!(found.others, ["w0".into()]);
}

#[test]
fn random_placement_ignores_residents() {
    let workers = cluster_view([worker(&["a"], 0), worker(&[], 0), worker(&[], 0)]);
    let mut req = OwnedRequest::new("a");
    req.placement = Placement::Random;
    let mut first = BTreeSet::new();
    for random in 0..30 {
        req.random = random;
        let found = req.candidates(&workers);
        assert_eq!((found.resident.len(), found.others.len()), (0, 3));
        first.insert(found.others[0].clone());
    }
    assert_eq!(first.len(), 3);
}
