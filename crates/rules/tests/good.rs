//! Parsing of valid files, and round trips through the canonical form.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use reedford_rules::{
    AdapterRule, Admission, Class, Eviction, GroupRule, LimitRule, LimitScope, LoadOrdering,
    LoadsRule, Objective, Placement, Rules, ServiceRule, parse, parse_bytes, parse_lines, render,
};

const FILE: &str = "\
# Rules of the annex. Prose lines need no name.

adapter tensid-mix group=formel-llm versions=3,4 repeatable=yes  # asked by Beat Widmer, Waschformel
\tgroup formel-llm kind=engine base=formel-7b objective=batch-efficiency admission=off # asked by Ä. Öz
loads rate=2.5/s in-flight=8   # ticket 12, asked by Ada (since autumn)
service einkauf group=einkauf-app repeatable-paths=/prices,/stock/today  # asked by Ada
limit adapter=tensid-mix rate=20/s burst=40 # asked by Ada
limit each-adapter rate=5/s burst=10 # asked by Ada
limit class=writing rate=7/s burst=1 # asked by Ada
";

fn names(list: &[&str]) -> std::collections::BTreeSet<Box<str>> {
    list.iter().map(|name| (*name).into()).collect()
}

fn expected() -> Rules {
    let mut rules = Rules::default();
    let adapter = AdapterRule {
        group: "formel-llm".into(),
        versions: names(&["3", "4"]),
        repeatable: true,
    };
    rules.adapters.insert("tensid-mix".into(), adapter);
    let group = GroupRule {
        base: "formel-7b".into(),
        objective: Objective::BatchEfficiency,
        eviction: Eviction::Frequency,
        load_ordering: LoadOrdering::Value,
        placement: Placement::Home,
        admission: Admission::Off,
    };
    rules.groups.insert("formel-llm".into(), group);
    rules.loads = LoadsRule {
        per_1000_s: 2_500,
        in_flight: 8,
    };
    let service = ServiceRule {
        group: "einkauf-app".into(),
        repeatable_paths: names(&["/prices", "/stock/today"]),
    };
    rules.services.insert("einkauf".into(), service);
    let limits = [
        (LimitScope::Adapter("tensid-mix".into()), 20, 40),
        (LimitScope::EachAdapter, 5, 10),
        (LimitScope::Class(Class::Writing), 7, 1),
    ];
    for (scope, rate, burst) in limits {
        rules.limits.insert(scope, LimitRule { rate, burst });
    }
    rules
}

#[test]
fn a_valid_file_yields_its_rules() {
    assert_eq!(parse(FILE), Ok(expected()));
    let windows = FILE.replace('\n', "\r\n");
    assert_eq!(parse(&windows), Ok(expected()));
}

#[test]
fn comments_and_line_numbers_are_kept() {
    let lines = parse_lines(FILE).expect("good file");
    assert_eq!(lines[1].number, 4);
    assert_eq!(&*lines[1].comment, "asked by Ä. Öz");
    assert_eq!(lines.len(), 7);
}

#[test]
fn an_empty_file_yields_the_default_load_limits() {
    assert_eq!(parse(""), Ok(Rules::default()));
}

fn name() -> impl Strategy<Value = Box<str>> {
    "[a-z0-9][a-z0-9._-]{0,62}".prop_map(Into::into)
}

fn group() -> impl Strategy<Value = GroupRule> {
    let choices = (any::<[bool; 5]>(), name());
    choices.prop_map(|(bits, base)| {
        let [load_stalls, frequency, value, home, on] = bits;
        GroupRule {
            base,
            objective: choose(
                load_stalls,
                Objective::LoadStalls,
                Objective::BatchEfficiency,
            ),
            eviction: choose(frequency, Eviction::Frequency, Eviction::Lru),
            load_ordering: choose(value, LoadOrdering::Value, LoadOrdering::Fifo),
            placement: choose(home, Placement::Home, Placement::Random),
            admission: choose(on, Admission::On, Admission::Off),
        }
    })
}

const fn choose<T>(first: bool, yes: T, no: T) -> T
where
    T: Copy,
{
    if first { yes } else { no }
}

fn adapter(groups: Vec<Box<str>>) -> impl Strategy<Value = AdapterRule> {
    let versions = prop::collection::btree_set(name(), 1..5);
    let fields = (prop::sample::select(groups), versions, any::<bool>());
    fields.prop_map(|(group, versions, repeatable)| AdapterRule {
        group,
        versions,
        repeatable,
    })
}

fn service() -> impl Strategy<Value = ServiceRule> {
    let path = "(/[A-Za-z0-9_~-]{1,9}){1,3}".prop_map(Into::into);
    let paths = prop::collection::btree_set(path, 0..4);
    (name(), paths).prop_map(|(group, repeatable_paths)| ServiceRule {
        group,
        repeatable_paths,
    })
}

fn limit() -> impl Strategy<Value = LimitRule> {
    (1..=u32::MAX, 1..=u32::MAX).prop_map(|(rate, burst)| LimitRule { rate, burst })
}

fn rules() -> impl Strategy<Value = Rules> {
    let groups = prop::collection::btree_map(name(), group(), 1..4);
    groups.prop_flat_map(|groups| {
        let names: Vec<Box<str>> = groups.keys().cloned().collect();
        let adapters = prop::collection::btree_map(name(), adapter(names), 0..5);
        let services = prop::collection::btree_map(name(), service(), 0..3);
        let loads = (1..=u32::MAX, 1..=u32::MAX);
        let limits = prop::collection::vec(limit(), 5);
        (Just(groups), adapters, services, loads, limits).prop_map(
            |(groups, adapters, mut services, (per_1000_s, in_flight), limits)| {
                services.retain(|_, service| !groups.contains_key(&service.group));
                let mut scopes = vec![
                    LimitScope::EachAdapter,
                    LimitScope::Class(Class::Lookup),
                    LimitScope::Class(Class::Standard),
                    LimitScope::Class(Class::Writing),
                ];
                scopes.extend(adapters.keys().take(1).cloned().map(LimitScope::Adapter));
                Rules {
                    groups,
                    adapters,
                    services,
                    loads: LoadsRule {
                        per_1000_s,
                        in_flight,
                    },
                    limits: scopes.into_iter().zip(limits).collect(),
                }
            },
        )
    })
}

fn config() -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn rendered_rules_parse_to_the_same_rules(rules in rules()) {
        let text = render(&rules, "Ada");
        prop_assert_eq!(parse(&text), Ok(rules));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_parser(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _outcome = parse_bytes(&bytes);
    }

    #[test]
    fn fragments_of_rules_do_not_panic_the_parser(
        text in "((adapter|group|limit|loads|service|a=|=|rate=|#|asked by|,|/s|\n|\t| |é|\u{0}|[0-9]{1,12}|versions=|group=)){0,40}"
    ) {
        if let Err(faults) = parse(&text) {
            let lines = text.lines().count();
            for f in faults.as_slice() {
                prop_assert!(f.line >= 1 && f.line <= lines);
                prop_assert!(f.column >= 1);
            }
        }
    }
}
