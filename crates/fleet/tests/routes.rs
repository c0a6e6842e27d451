//! Selection of the route, the service and the instance of a call.

use reedford_fleet::Now;
use reedford_fleet::balancer::{Balancer, Candidate, ReportedLoad};
use reedford_fleet::config::{CallKind, CallerLimits, Configuration, Route, RouteTable};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: CallKind::Once,
        services: vec![("s".into(), 90), ("t".into(), 10)],
        attempts: 1,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        max_gap: None,
        max_silence: None,
        priority: 0,
        public: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(Configuration {
        version: 1,
        routes: vec![
            route("short", "h.example", "/a/"),
            route("long", "h.example", "/a/b/"),
            route("other", "i.example", "/a/"),
        ],
        services: BTreeMap::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        workspaces: None,
    })
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[test_case(RouteCase { host: "h.example", path: "/a/x", route: Some("short") }; "prefix")]
#[test_case(RouteCase { host: "h.example", path: "/a/b/x", route: Some("long") }; "longest prefix")]
#[test_case(RouteCase { host: "h.example", path: "/a/bx", route: Some("short") }; "whole segments")]
#[test_case(RouteCase { host: "H.Example:80", path: "/a/", route: Some("short") }; "host with port")]
#[test_case(RouteCase { host: "i.example", path: "/a/b/x", route: Some("other") }; "by host")]
#[test_case(RouteCase { host: "h.example", path: "/a", route: None }; "prefix without its slash")]
#[test_case(RouteCase { host: "j.example", path: "/a/", route: None }; "unknown host")]
fn a_call_is_routed_by_host_and_longest_prefix(case: RouteCase) {
    let table = table();
    let found = table.find(case.host, case.path).map(|r| &*r.name);
    assert_eq!(found, case.route);
}

#[test]
fn calls_are_distributed_by_weight() {
    let table = table();
    let route = table.find("h.example", "/a/").expect("there is one");
    let to_t = (0..1_000).filter(|n| table.service(route, *n).is_some_and(|s| &**s == "t"));
    assert_eq!(to_t.count(), 100);
}

struct BalancerCase {
    /// Calls of this node at the instance in its own zone.
    near: u32,
    /// Calls of this node at the instance in another zone.
    far: u32,
    chosen: &'static str,
}

#[test_case(BalancerCase { near: 0, far: 0, chosen: "near" }; "near when idle")]
#[test_case(BalancerCase { near: 2, far: 0, chosen: "near" }; "near when slightly busier")]
#[test_case(BalancerCase { near: 4, far: 0, chosen: "far" }; "far when much less busy")]
fn the_least_loaded_instance_is_chosen(case: BalancerCase) {
    let mut balancer = Balancer::default();
    (0..case.near).for_each(|_| balancer.on_sent("near"));
    (0..case.far).for_each(|_| balancer.on_sent("far"));
    let candidate = |id, same_zone| Candidate {
        id,
        same_zone,
        slots: 6,
    };
    let candidates = [candidate("far", false), candidate("near", true)];
    let chosen = balancer.choose(&candidates, 1, Now::ZERO);
    assert_eq!(chosen, Some(case.chosen));
}

#[test]
fn calls_of_other_nodes_count_while_the_report_is_recent() {
    let mut balancer = Balancer::default();
    let load = ReportedLoad {
        running: 6,
        waiting: 3,
        slots: 6,
        slowdown: None,
    };
    balancer.on_load_report("a", load, Now::ZERO);
    let candidate = |id| Candidate {
        id,
        same_zone: true,
        slots: 6,
    };
    let both = [candidate("a"), candidate("b")];
    assert_eq!(balancer.choose(&both, 0, Now::ZERO), Some("b"));
    assert_eq!(balancer.choose(&both, 0, Duration::from_secs(3)), Some("a"));
}
