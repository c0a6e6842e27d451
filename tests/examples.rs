//! The example deployments under `examples/` are valid and consistent.

use reedford_rules::{GroupRule, Objective, parse};
use reedford_settings::Settings;
use reedford_standins::platform::PlatformConfig;
use reedford_wire::instances::{Instance, InstanceKind};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Number of adapters of each deployment.
const ADAPTERS: usize = 3_000;
/// Number of model engines of each deployment.
const ENGINES: usize = 12;
/// Number of instances of the plain service of each deployment.
const PLAIN_INSTANCES: usize = 3;

struct Case {
    dir: &'static str,
    group: &'static str,
    objective: Objective,
    service_group: &'static str,
    zones: [&'static str; 3],
    entries: usize,
}

const CASES: [Case; 2] = [
    Case {
        dir: "waschformel",
        group: "formel-llm",
        objective: Objective::LoadStalls,
        service_group: "einkauf-app",
        zones: ["bern-a", "olten-b", "aarau-c"],
        entries: 8,
    },
    Case {
        dir: "tienvarsi",
        group: "kielimalli",
        objective: Objective::BatchEfficiency,
        service_group: "asemapalvelu",
        zones: ["oulu-a", "oulu-b", "kajaani"],
        entries: 7,
    },
];

fn example_dir(case: &Case) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(case.dir)
}

/// Asserts that the program succeeds with the arguments and the path.
fn assert_success(args: &[&str], path: &Path) {
    let output = Command::new(env!("CARGO_BIN_EXE_reedford"))
        .args(args)
        .arg(path)
        .output()
        .expect("the program runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}: {stderr}",
        path.display()
    );
}

fn entry_files(case: &Case) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(example_dir(case)).expect("a directory");
    let paths = entries.map(|entry| entry.expect("readable").path());
    let is_entry = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| name.starts_with("entry-"))
    };
    let mut paths: Vec<PathBuf> = paths.filter(is_entry).collect();
    paths.sort();
    paths
}

fn platform(case: &Case) -> PlatformConfig {
    let text = std::fs::read_to_string(example_dir(case).join("platform.yaml")).expect("readable");
    serde_saphyr::from_str(&text).expect("good settings of the stand-in")
}

fn instances_of_kind(cfg: &PlatformConfig, kind: InstanceKind) -> Vec<&Instance> {
    cfg.instances.iter().filter(|i| i.kind == kind).collect()
}

#[test]
fn the_rules_are_valid_and_have_the_expected_size() {
    for case in &CASES {
        let path = example_dir(case).join("rules.txt");
        assert_success(&["rules", "check"], &path);
        let text = std::fs::read_to_string(&path).expect("readable");
        let rules = parse(&text).expect("good rules");
        let objective = rules
            .groups
            .get(case.group)
            .map(|group: &GroupRule| group.objective);
        assert_eq!(objective, Some(case.objective), "{}", case.dir);
        assert_eq!(rules.adapters.len(), ADAPTERS, "{}", case.dir);
        assert!(
            rules
                .services
                .values()
                .all(|s| &*s.group == case.service_group)
        );
        assert!(rules.adapters.values().any(|adapter| !adapter.repeatable));
    }
}

#[test]
fn the_settings_are_valid_and_consistent_with_the_platform() {
    for case in &CASES {
        let cfg = platform(case);
        let token = std::fs::read_to_string(example_dir(case).join("operator-token"));
        let token = token.expect("readable");
        let token = token.trim_end();
        let paths = entry_files(case);
        assert_eq!(paths.len(), case.entries, "{}", case.dir);
        for path in paths {
            assert_success(&["serve", "--check", "--config"], &path);
            let settings = Settings::load(&path).expect("good settings");
            let zones: Vec<&str> = settings.zones.iter().map(|zone| &**zone).collect();
            assert_eq!(zones, case.zones);
            assert_eq!(settings.platform, [cfg.zones[&settings.zone]]);
            assert_eq!(settings.operator_token.expose(), token);
            let listed = cfg.instances.iter().find(|i| i.id == settings.instance);
            let listed = listed.expect("listed by the platform");
            assert_eq!(listed.zone, settings.zone);
            assert_eq!(listed.address, settings.callers);
        }
    }
}

#[test]
fn the_platform_lists_the_expected_targets() {
    for case in &CASES {
        let cfg = platform(case);
        let engines = instances_of_kind(&cfg, InstanceKind::Engine);
        let plain = instances_of_kind(&cfg, InstanceKind::Plain);
        assert_eq!(engines.len(), ENGINES, "{}", case.dir);
        assert_eq!(plain.len(), PLAIN_INSTANCES, "{}", case.dir);
        assert_eq!(
            instances_of_kind(&cfg, InstanceKind::Entry).len(),
            case.entries
        );
        assert!(engines.iter().all(|engine| &*engine.group == case.group));
        assert!(
            plain
                .iter()
                .all(|plain| &*plain.group == case.service_group)
        );
        assert!(engines.iter().any(|engine| !engine.checks_fence));
    }
}
