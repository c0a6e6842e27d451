//! Guards against deployments of `reedford-slopes` that a component cannot read,
//! or whose files contradict each other.

use reedford_settings::Settings;
use reedford_standins::load::experiment::{Experiment, Overrides};
use reedford_standins::platform::PlatformConfig;
use reedford_standins::slopes::layout::Layout;
use reedford_standins::slopes::stored::rules_text;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use test_case::test_case;

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test_case(2, 4; "small")]
#[test_case(24, 12; "most instances")]
#[test_case(4, 32; "most engines")]
fn a_layout_can_be_read(entries: u16, engines: u16) {
    let layout = Layout {
        entries,
        engines,
        adapters: 20,
        port: 17_000,
    };
    let dir = directory(&format!("layout-{entries}-{engines}"));
    layout.write(&dir).expect("written");

    let text = std::fs::read_to_string(dir.join("platform.yaml")).expect("written");
    let platform: PlatformConfig = serde_saphyr::from_str(&text).expect("settings of the platform");
    assert_eq!(platform.instances.len(), usize::from(engines));
    let experiment = Experiment::read(&dir.join("load.yaml"), Overrides::default());
    let experiment = experiment.expect("an experiment");
    assert_eq!(experiment.entries.len(), usize::from(entries));
    assert_eq!(experiment.engines.len(), usize::from(engines));

    let mut addresses: BTreeSet<_> = experiment.engines.iter().copied().collect();
    addresses.extend(platform.zones.values());
    addresses.insert(platform.control);
    for entry in 0..entries {
        let file = dir.join(format!("entry-{entry:02}.yaml"));
        let settings = Settings::load(&file).expect("settings");
        assert_eq!(settings.platform, [platform.zones[&settings.zone]]);
        addresses.extend([settings.callers, settings.peers, settings.operators]);
    }
    let listener_count = 3 + usize::from(engines) + 3 * usize::from(entries);
    assert_eq!(
        addresses.len(),
        listener_count,
        "no two listen at one address"
    );
}

#[test_case(3; "few")]
#[test_case(3_000; "many")]
fn the_rules_contain_the_requested_adapters(adapters: usize) {
    let rules = reedford_rules::parse(&rules_text(adapters, 5)).expect("good rules");
    assert_eq!((rules.adapters.len(), rules.groups.len()), (adapters, 5));
}
