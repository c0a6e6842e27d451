//! A site with two zones, and runs of the `reedford` program.

use reedford_settings::{Bounds, Timeouts};
use reedford_standins::engine::EngineConfig;
use reedford_standins::platform::PlatformConfig;
use reedford_standins::site::{Site, SiteConfig};
use std::path::{Path, PathBuf};
use std::process::Command;

pub(crate) const ZONES: [&str; 2] = ["zone-a", "zone-b"];
pub(crate) const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
pub(crate) const RULES: &str = "\
group engines kind=engine base=base-7b # asked by Ada
adapter costing group=engines versions=1 repeatable=yes # asked by Ada
";

pub(crate) struct CommandOutput {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

pub(crate) async fn reedford(args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_reedford"));
    command.args(args);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("not cancelled").expect("the program runs");
    CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

pub(crate) fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable directory");
    path
}

/// Starts an entry instance and an engine in each of two zones.
pub(crate) async fn start_site() -> Site {
    let engine = |zone: &str| EngineConfig {
        id: format!("engine-{zone}").into(),
        group: "engines".into(),
        zone: zone.into(),
        base: "base-7b".into(),
        ..EngineConfig::default()
    };
    let cfg = SiteConfig {
        zones: ZONES.map(Into::into).to_vec(),
        engines: ZONES.map(engine).to_vec(),
        plains: Vec::new(),
        timeouts: Timeouts::default(),
        bounds: Bounds::default(),
        platform: PlatformConfig::default(),
        rules: RULES.into(),
    };
    let mut site = Site::start(cfg).await.expect("a site");
    for (entry, zone) in ENTRIES.iter().zip(ZONES) {
        site.start_entry(entry, zone).await.expect("an entry");
    }
    site.wait_until_open(ZONES.len())
        .await
        .expect("open workers");
    site
}

/// Returns the operators' addresses of both entry instances, separated by commas.
pub(crate) fn operators(site: &Site) -> String {
    let addresses = ENTRIES.map(|name| site.entries[name].operators().to_string());
    addresses.join(",")
}
