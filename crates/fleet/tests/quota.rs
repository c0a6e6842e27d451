//! Limits of workspaces over a fleet whose zones and nodes may be cut off from each other.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_fleet::Now;
use reedford_fleet::quota::{
    ChargeOutcome, NodeQuotas, NodeRefusal, QuotaTolerance, Usage, ZoneQuotas,
};
use reedford_fleet::workspaces::{CallLimit, Charge, LimitUnit, Workspace};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

/// Window in which a limit has to be kept.
const WINDOW: Duration = Duration::from_secs(8);
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    overshoot: 0.1,
    slack: 17_000.0,
};
const NAME: &str = "w";
const ZONES: usize = 3;
/// Units of a plain call.
const PLAIN_UNITS: u64 = 200;
/// Interval between two reports of a node.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn workspace(per_s: f64) -> Workspace {
    Workspace {
        name: NAME.into(),
        keys: BTreeSet::new(),
        priority: None,
        limit: Some(CallLimit {
            per_s,
            burst: per_s,
            unit: LimitUnit::Tokens {
                unnamed: PLAIN_UNITS as u32,
            },
        }),
    }
}

fn charge(units: u64) -> Charge {
    Charge {
        workspace: NAME.into(),
        units,
    }
}

/// Nodes and zones with their parts of one limit.
struct Fleet {
    per_s: f64,
    zones: Vec<ZoneQuotas>,
    nodes: Vec<NodeQuotas>,
    /// Zones that reach no other zone.
    cut_zones: BTreeSet<usize>,
    /// Nodes that reach no coordinator.
    cut_nodes: BTreeSet<usize>,
    next_report: Now,
    /// Admitted calls.
    admitted: Vec<(Now, u64)>,
    /// Charges asked of other zones, and reports of nodes.
    messages: usize,
}

impl Fleet {
    fn new(nodes: usize, per_s: f64) -> Self {
        let mut fleet = Self {
            per_s,
            zones: vec![ZoneQuotas::new(ZONES, TOLERANCE); ZONES],
            nodes: vec![NodeQuotas::new(TOLERANCE); nodes],
            cut_zones: BTreeSet::new(),
            cut_nodes: BTreeSet::new(),
            next_report: Now::ZERO,
            admitted: Vec::new(),
            messages: 0,
        };
        fleet.configure(per_s, Now::ZERO);
        for node in &mut fleet.nodes {
            node.set_node_count(nodes, Now::ZERO);
        }
        fleet
    }

    fn configure(&mut self, per_s: f64, now: Now) {
        self.per_s = per_s;
        for zone in &mut self.zones {
            zone.configure(&[workspace(per_s)], now);
        }
        for node in &mut self.nodes {
            node.configure(&[workspace(per_s)], now);
        }
    }

    /// A new coordinator takes a zone over.
    fn replace_coordinator(&mut self, zone: usize, now: Now) {
        self.zones[zone] = ZoneQuotas::new(ZONES, TOLERANCE);
        self.zones[zone].configure(&[workspace(self.per_s)], now);
    }

    fn zone_of(node: usize) -> usize {
        node % ZONES
    }

    /// Makes a model call at a node; returns whether it is admitted.
    fn model_call(&mut self, node: usize, units: u64, now: Now) -> bool {
        let charge = charge(units);
        let admitted = if self.cut_nodes.contains(&node) {
            self.nodes[node].take_reserve(&charge, now).is_ok()
        } else {
            self.charge_at_zones(Self::zone_of(node), &charge, now)
        };
        if admitted {
            self.admitted.push((now, units));
        }
        admitted
    }

    fn charge_at_zones(&mut self, own: usize, charge: &Charge, now: Now) -> bool {
        if self.zones[own].charge(charge, now) == ChargeOutcome::Charged {
            return true;
        }
        for zone in (0..ZONES).filter(|zone| *zone != own) {
            let name = format!("z{zone}");
            let reachable = !self.cut_zones.contains(&own) && !self.cut_zones.contains(&zone);
            if !reachable || !self.zones[own].may_charge_at(NAME, &name, now) {
                continue;
            }
            self.messages += 1;
            match self.zones[zone].charge(charge, now) {
                ChargeOutcome::Charged => return true,
                ChargeOutcome::Short { wait } => {
                    self.zones[own].on_short_elsewhere(NAME, &name, wait, now);
                }
            }
        }
        false
    }

    /// Makes a plain call at a node; returns whether it is admitted.
    fn plain_call(&mut self, node: usize, now: Now) -> bool {
        let admitted = self.nodes[node].admit(&charge(PLAIN_UNITS), now).is_ok();
        if admitted {
            self.admitted.push((now, PLAIN_UNITS));
        }
        admitted
    }

    /// Lets the nodes report their plain calls if they are due.
    fn report(&mut self, now: Now) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        for (n, node) in self.nodes.iter_mut().enumerate() {
            if !node.has_unreported() {
                continue;
            }
            let usage = node.take_usage();
            if self.cut_nodes.contains(&n) {
                node.on_unreported(usage);
                continue;
            }
            self.messages += 1;
            let zone = &mut self.zones[Self::zone_of(n)];
            for used in &usage.used {
                zone.record_used(used, now);
            }
            let refused = zone.refuse_plain_for(NAME, now);
            node.on_reported([(NAME.into(), refused)], now);
        }
    }

    /// Checks that no window has more than the limit and what is tolerated beyond it.
    fn assert_kept(&self) {
        let window = self.per_s * WINDOW.as_secs_f64() + self.per_s;
        let most = window * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack;
        let mut first = 0;
        let mut sum = 0;
        for (at, units) in &self.admitted {
            sum += units;
            while self.admitted[first].0 + WINDOW < *at {
                sum -= self.admitted[first].1;
                first += 1;
            }
            assert!(sum as f64 <= most, "{sum} of {most} units up to {at:?}");
        }
    }
}

/// A load on one workspace.
struct Load {
    nodes: usize,
    /// The limit, in tokens per second.
    per_s: f64,
    /// Tokens asked for per second, as a multiple of the limit.
    demand: f64,
    /// Share of the calls that arrive in one zone, which changes every three seconds.
    focus: f64,
}

/// Draws the tokens of a model call: a mean of 2,400 with a long tail.
fn draw_units(rng: &mut StdRng) -> u64 {
    let units = rng.random_range(600..3_000);
    if rng.random_bool(0.1) {
        units * 3
    } else {
        units
    }
}

fn draw_node(load: &Load, rng: &mut StdRng, now: Now) -> usize {
    let focus = (now.as_secs() / 3) as usize % ZONES;
    let node = rng.random_range(0..load.nodes);
    if rng.random_bool(load.focus) {
        node - node % ZONES + focus
    } else {
        node
    }
    .min(load.nodes - 1)
}

/// Runs a load for `seconds`; `disturb` is called every 100 ms. Returns the units asked.
fn run<F>(fleet: &mut Fleet, load: &Load, seconds: u64, mut disturb: F) -> u64
where
    F: FnMut(&mut Fleet, Now),
{
    let mut rng = StdRng::seed_from_u64(11);
    let mut asked = 0;
    let mut debt = 0.0;
    for step in 0..seconds * 100 {
        let now = ms(step * 10);
        if step % 10 == 0 {
            disturb(fleet, now);
        }
        fleet.report(now);
        debt += load.per_s * load.demand / 100.0;
        while debt > 0.0 {
            let node = draw_node(load, &mut rng, now);
            if rng.random_bool(0.4) {
                debt -= PLAIN_UNITS as f64;
                asked += PLAIN_UNITS;
                fleet.plain_call(node, now);
            } else {
                let units = draw_units(&mut rng);
                debt -= units as f64;
                asked += units;
                fleet.model_call(node, units, now);
            }
        }
    }
    asked
}

#[test_case(Load { nodes: 7, per_s: 300_000.0, demand: 8.0, focus: 0.5 }; "7 nodes")]
#[test_case(Load { nodes: 62, per_s: 300_000.0, demand: 8.0, focus: 0.9 }; "62 nodes")]
#[test_case(Load { nodes: 195, per_s: 40_000.0, demand: 8.0, focus: 0.5 }; "195 nodes")]
#[test_case(Load { nodes: 420, per_s: 1_000_000.0, demand: 8.0, focus: 0.5 }; "420 nodes")]
#[test_case(Load { nodes: 62, per_s: 4_200.0, demand: 8.0, focus: 0.5 }; "small workspace")]
fn a_flood_stays_within_the_limit(load: Load) {
    let mut fleet = Fleet::new(load.nodes, load.per_s);
    run(&mut fleet, &load, 30, |_, _| {});
    fleet.assert_kept();
    let admitted: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    let owed = load.per_s * 30.0;
    assert!(admitted as f64 >= 0.97 * owed, "{admitted} of {owed} owed");
}

/// Zones and nodes that are cut off, and coordinators that are replaced, one after the
/// other and together.
#[test_case(Load { nodes: 7, per_s: 300_000.0, demand: 8.0, focus: 0.5 }; "7 nodes")]
#[test_case(Load { nodes: 62, per_s: 300_000.0, demand: 8.0, focus: 0.5 }; "62 nodes")]
#[test_case(Load { nodes: 195, per_s: 40_000.0, demand: 8.0, focus: 0.5 }; "195 nodes")]
#[test_case(Load { nodes: 420, per_s: 1_000_000.0, demand: 8.0, focus: 0.5 }; "420 nodes")]
#[test_case(Load { nodes: 62, per_s: 4_200.0, demand: 8.0, focus: 0.5 }; "small workspace")]
fn a_flood_stays_within_the_limit_while_parts_are_cut_off(load: Load) {
    let mut fleet = Fleet::new(load.nodes, load.per_s);
    run(&mut fleet, &load, 40, |fleet, now| match now.as_millis() {
        8_000 => fleet.cut_zones = BTreeSet::from([0]),
        12_000 => fleet.cut_nodes = (0..load.nodes).filter(|n| n % 2 == 0).collect(),
        14_000 => fleet.replace_coordinator(1, now),
        18_000 => fleet.cut_nodes = (0..load.nodes).collect(),
        23_000 => fleet.cut_zones.clear(),
        26_000 => fleet.cut_nodes.clear(),
        28_000 | 30_000 | 32_000 => {
            for zone in 0..ZONES {
                fleet.replace_coordinator(zone, now);
            }
        }
        _ => {}
    });
    fleet.assert_kept();
}

/// Demand below the limit that moves between zones and nodes.
#[test_case(Load { nodes: 7, per_s: 300_000.0, demand: 0.8, focus: 0.5 }; "7 nodes")]
#[test_case(Load { nodes: 62, per_s: 300_000.0, demand: 0.8, focus: 0.8 }; "62 nodes")]
#[test_case(Load { nodes: 195, per_s: 40_000.0, demand: 0.55, focus: 0.8 }; "195 nodes")]
#[test_case(Load { nodes: 420, per_s: 1_000_000.0, demand: 0.8, focus: 0.8 }; "420 nodes")]
#[test_case(Load { nodes: 62, per_s: 100_000.0, demand: 0.8, focus: 1.0 }; "all in one zone")]
fn what_stays_within_the_limit_is_admitted(load: Load) {
    let mut fleet = Fleet::new(load.nodes, load.per_s);
    let asked = run(&mut fleet, &load, 30, |_, _| {});
    fleet.assert_kept();
    let admitted: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    let share = admitted as f64 / asked as f64;
    assert!(share >= 0.97, "{share:.3} of what was asked");
}

/// The messages of a flood come with the calls and reports, however many nodes share
/// the limit.
#[test]
fn a_flood_causes_few_messages() {
    for nodes in [7, 62, 420] {
        let load = Load {
            nodes,
            per_s: 100_000.0,
            demand: 8.0,
            focus: 0.5,
        };
        let mut fleet = Fleet::new(nodes, load.per_s);
        run(&mut fleet, &load, 10, |_, _| {});
        let reports = nodes * 10 * 5;
        let calls = (load.per_s * 10.0 / 1_200.0) as usize * ZONES;
        assert!(fleet.messages <= reports + calls, "{}", fleet.messages);
    }
}

#[test]
fn a_lowered_limit_binds_at_once_and_a_raised_one_helps() {
    let mut zone = ZoneQuotas::new(1, QuotaTolerance::default());
    zone.configure(&[workspace(10_000.0)], Now::ZERO);
    assert_eq!(
        zone.charge(&charge(10_000), ms(1_000)),
        ChargeOutcome::Charged
    );
    zone.configure(&[workspace(1_000.0)], ms(1_000));
    let short = zone.charge(&charge(1_000), ms(1_500));
    assert_eq!(short, ChargeOutcome::Short { wait: ms(500) });
    zone.configure(&[workspace(10_000.0)], ms(1_500));
    assert_eq!(
        zone.charge(&charge(1_000), ms(1_560)),
        ChargeOutcome::Charged
    );
}

#[test]
fn a_workspace_without_a_limit_is_never_short() {
    let mut zone = ZoneQuotas::new(3, TOLERANCE);
    let unlimited = Workspace {
        limit: None,
        ..workspace(1.0)
    };
    zone.configure(&[unlimited], Now::ZERO);
    for _ in 0..100 {
        assert_eq!(
            zone.charge(&charge(u64::MAX), Now::ZERO),
            ChargeOutcome::Charged
        );
    }
}

#[test]
fn a_charge_that_is_put_back_can_be_used_once_more() {
    let mut zone = ZoneQuotas::new(1, QuotaTolerance::default());
    zone.configure(&[workspace(1_000.0)], Now::ZERO);
    let now = ms(1_000);
    assert_eq!(zone.charge(&charge(1_000), now), ChargeOutcome::Charged);
    zone.put_back(&charge(1_000), now);
    assert_eq!(zone.charge(&charge(1_000), now), ChargeOutcome::Charged);
    assert_ne!(zone.charge(&charge(1), now), ChargeOutcome::Charged);
}

/// A refused caller that comes back when it was told to finds room, also behind others
/// that were refused before it.
#[test]
fn a_refused_call_is_told_when_there_is_room() {
    let mut zone = ZoneQuotas::new(1, QuotaTolerance::default());
    zone.configure(&[workspace(1_000.0)], Now::ZERO);
    let mut now = ms(1_000);
    assert_eq!(zone.charge(&charge(1_000), now), ChargeOutcome::Charged);
    let mut returns = Vec::new();
    for _ in 0..4 {
        let ChargeOutcome::Short { wait } = zone.charge(&charge(500), now) else {
            panic!("the limit is used up");
        };
        returns.push(now + zone.on_refused(&charge(500), wait, now));
    }
    for at in returns {
        assert!(at > now, "one after the other");
        now = at;
        assert_eq!(zone.charge(&charge(500), now), ChargeOutcome::Charged);
    }
}

#[test]
fn a_report_that_is_not_confirmed_is_charged_later_and_returned_never_twice() {
    let mut node = NodeQuotas::new(TOLERANCE);
    node.configure(&[workspace(1_000.0)], Now::ZERO);
    node.admit(&charge(200), Now::ZERO).expect("admitted");
    node.put_back(&charge(700));
    let usage = node.take_usage();
    assert_eq!(
        usage,
        Usage {
            used: vec![charge(200)],
            returned: vec![charge(700)]
        }
    );
    node.on_unreported(usage);
    let again = node.take_usage();
    assert_eq!((again.used, again.returned), (vec![charge(200)], vec![]));
    assert!(!node.has_unreported());
}

/// A node that can't report its calls, such as one that is cut off, admits no more than
/// its own reserve.
#[test]
fn an_unreported_node_keeps_to_its_reserve() {
    let mut node = NodeQuotas::new(TOLERANCE);
    node.configure(&[workspace(1_000.0)], Now::ZERO);
    node.set_node_count(62, Now::ZERO);
    node.admit(&charge(200), Now::ZERO).expect("admitted");
    let later = ms(10_000);
    let mut admitted = 0;
    while node.admit(&charge(200), later).is_ok() {
        admitted += 1;
    }
    assert!(admitted <= 1, "{admitted} calls");
    let refused = node.admit(&charge(200), later);
    assert!(
        matches!(refused, Err(NodeRefusal::Unknown(_))),
        "{refused:?}"
    );
}

#[test]
fn a_node_refuses_plain_calls_for_as_long_as_the_zone_wants() {
    let mut node = NodeQuotas::new(TOLERANCE);
    node.configure(&[workspace(1_000.0)], Now::ZERO);
    node.on_reported([(NAME.into(), ms(300))], ms(1_000));
    let refused = node.admit(&charge(200), ms(1_100));
    assert_eq!(refused, Err(NodeRefusal::Limit(ms(200))));
    assert_eq!(node.admit(&charge(200), ms(1_300)), Ok(()));
}
