//! Writes the files of a deployment of a chosen size for `scripts/site.sh`.

use super::stored::rules_text;
use eyre::{Result, WrapErr as _};
use std::fmt::Write as _;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// Number of availability zones.
const ZONES: u16 = 2;
/// First port of the engines, relative to the platform's port.
const ENGINE_PORTS: u16 = 100;
/// First port of the entry instances for callers, relative to the platform's.
const CALLER_PORTS: u16 = 200;
/// First port of the entry instances for peers, relative to the platform's.
const PEER_PORTS: u16 = 300;
/// First port of the entry instances for operators, relative to the platform's.
const OPERATOR_PORTS: u16 = 400;
/// Number of adapters that requests name. They fit the slots of one engine, so
/// a run loads no adapter after its warm-up.
const REQUESTED_ADAPTERS: usize = 8;
/// Operator token of the entry instances.
const TOKEN: &str = "token-of-the-slopes";

/// Size and ports of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Number of entry instances.
    pub entries: u16,
    /// Number of model engines.
    pub engines: u16,
    /// Number of adapters in the rules.
    pub adapters: usize,
    /// Port of the platform; all other ports are relative to it.
    pub port: u16,
}

impl Layout {
    /// Writes the files into `dir`, which is created if necessary.
    ///
    /// # Errors
    /// When the directory can't be created or a file can't be written.
    pub fn write(&self, dir: &Path) -> Result<()> {
        fs::create_dir_all(dir).wrap_err_with(|| format!("creating {}", dir.display()))?;
        let write = |name: &str, text: &str| {
            let path = dir.join(name);
            fs::write(&path, text).wrap_err_with(|| format!("writing {}", path.display()))
        };
        write("rules.txt", &rules_text(self.adapters, 1))?;
        write("platform.yaml", &self.platform())?;
        write("load.yaml", &self.load())?;
        for entry in 0..self.entries {
            write(&format!("entry-{entry:02}.yaml"), &self.entry(entry))?;
        }
        Ok(())
    }

    fn platform(&self) -> String {
        let mut text = format!("control: {}\nzones:\n", self.address(0));
        for zone in 0..ZONES {
            push_line(
                &mut text,
                format_args!("  zone-{zone}: {}", self.address(1 + zone)),
            );
        }
        text.push_str("lag_ms: 2000\ninstances:\n");
        for engine in 0..self.engines {
            let address = self.address(ENGINE_PORTS + engine);
            let zone = engine % ZONES;
            push_line(
                &mut text,
                format_args!(
                    "  - {{id: engine-{engine:02}, group: model-0, kind: engine, zone: zone-{zone}, \
                     address: '{address}', state: live, checks_fence: true}}"
                ),
            );
        }
        text
    }

    fn entry(&self, entry: u16) -> String {
        let zone = entry % ZONES;
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
        format!(
            "instance: entry-{entry:02}\nzone: zone-{zone}\nzones: [{}]\ncallers: {}\npeers: {}\n\
             operators: {}\noperator_token: {TOKEN}\nplatform: [{}]\n",
            zones.join(", "),
            self.address(CALLER_PORTS + entry),
            self.address(PEER_PORTS + entry),
            self.address(OPERATOR_PORTS + entry),
            self.address(1 + zone),
        )
    }

    fn load(&self) -> String {
        let mut text =
            "name: slopes\nseed: 1\nnames:\n  rules: rules.txt\nspread: zone\nentries:\n"
                .to_owned();
        for entry in 0..self.entries {
            let (address, zone) = (self.address(CALLER_PORTS + entry), entry % ZONES);
            push_line(
                &mut text,
                format_args!("  - {{ address: \"{address}\", zone: zone-{zone} }}"),
            );
        }
        text.push_str("engines:\n");
        for engine in 0..self.engines {
            push_line(
                &mut text,
                format_args!("  - \"{}\"", self.address(ENGINE_PORTS + engine)),
            );
        }
        push_line(
            &mut text,
            format_args!(
                "limits: {{ slots: {}, per_s: 3, load_ms: 250, in_flight: 8 }}",
                self.engines * 8
            ),
        );
        push_line(
            &mut text,
            format_args!(
                "workload:\n  duration_s: 30\n  warmup_s: 10\n  rate: 8\n  adapters: {REQUESTED_ADAPTERS}\n  \
                 zipf_exponent: 1.0\n  churn_per_hour: 0\n  classes:\n    - name: lookup\n      \
                 class: lookup\n      share: 1.0\n      \
                 tokens: {{ median: 24, sigma: 0.5, min: 8, max: 96 }}\n      stream: true\n      \
                 deadline_ms: 20000\n      repeatable: true"
            ),
        );
        text
    }

    fn address(&self, offset: u16) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.port + offset).into()
    }
}

fn push_line(text: &mut String, args: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{args}");
}
