//! `reedford-slopes`: measures the costs of control operations, on which the
//! capacity page of the documentation is based.

use eyre::{Result, WrapErr as _};
use reedford_standins::slopes::layout::Layout;
use reedford_standins::slopes::meter::Measurement;
use reedford_standins::slopes::{exchange, schedule, stored};
use std::io::Write as _;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures what the capacity page is worked out from.
        cmd reedford-slopes {
            /// Summaries between peers, the view, the choice of the broker.
            cmd exchange {}
            /// Permits, placement, the order of loads.
            cmd schedule {}
            /// Rules, zone tables, the list of instances.
            cmd stored {}
            /// Writes a deployment for scripts/site.sh.
            cmd layout {
                /// Directory to write to.
                required dir: PathBuf
                /// Entry instances.
                required --entries count: u16
                /// Model engines.
                required --engines count: u16
                /// Adapters in the rules. Default: 100.
                optional --adapters count: usize
                /// Port of the platform; the others follow. Default: 17000.
                optional --port port: u16
            }
        }
    }
}

/// Default number of adapters in the rules of a layout.
const ADAPTERS: usize = 100;
/// Default port of the platform of a layout.
const PORT: u16 = 17_000;

fn main() -> Result<()> {
    match flags::ReedfordSlopes::from_env_or_exit().subcommand {
        flags::ReedfordSlopesCmd::Exchange(_) => print(&exchange::measure()?),
        flags::ReedfordSlopesCmd::Schedule(_) => print(&schedule::measure()),
        flags::ReedfordSlopesCmd::Stored(_) => print(&stored::measure()?),
        flags::ReedfordSlopesCmd::Layout(flags) => {
            let layout = Layout {
                entries: flags.entries,
                engines: flags.engines,
                adapters: flags.adapters.unwrap_or(ADAPTERS),
                port: flags.port.unwrap_or(PORT),
            };
            layout.write(&flags.dir)
        }
    }
}

fn print(measurements: &[Measurement]) -> Result<()> {
    let mut out = std::io::stdout().lock();
    for measurement in measurements {
        writeln!(out, "{measurement}").wrap_err("printing")?;
    }
    Ok(())
}
