//! `reedford-load`: sends generated requests to entry instances and reports
//! the figures.

use eyre::{Result, WrapErr as _};
use reedford_standins::load::experiment::{Experiment, Overrides};
use reedford_standins::load::report::Report;
use reedford_standins::load::runner::{floors, run};
use reedford_standins::load::table::Table;
use std::io::Write as _;
use std::path::Path;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Sends generated requests to entry instances and reports.
        cmd reedford-load {
            /// Runs an experiment and prints its figures beside the floor.
            cmd run {
                /// The experiment file.
                required --experiment file: PathBuf
                /// Writes the figures there as JSON.
                optional --json file: PathBuf
                /// Seed of the arrivals.
                optional --seed seed: u64
                /// Mean arrivals per second.
                optional --rate rate: f64
                /// Exponent of the popularity of adapters.
                optional --zipf exponent: f64
                /// Seconds during which requests arrive.
                optional --duration seconds: f64
                /// Seconds at the start that are not counted.
                optional --warmup seconds: f64
                /// Lets refused callers come back at the time they are told.
                optional --come-back
            }
            /// Prints the floor of an experiment, without sending anything.
            cmd floor {
                /// The experiment file.
                required --experiment file: PathBuf
                /// Seed of the arrivals.
                optional --seed seed: u64
                /// Mean arrivals per second.
                optional --rate rate: f64
                /// Exponent of the popularity of adapters.
                optional --zipf exponent: f64
                /// Seconds during which requests arrive.
                optional --duration seconds: f64
                /// Seconds at the start that are not counted.
                optional --warmup seconds: f64
            }
            /// Prints the JSON figures of several runs side by side.
            cmd compare {
                /// The JSON files.
                repeated files: PathBuf
            }
        }
    }
}

fn main() -> Result<()> {
    match flags::ReedfordLoad::from_env_or_exit().subcommand {
        flags::ReedfordLoadCmd::Run(flags) => run_experiment(&flags),
        flags::ReedfordLoadCmd::Floor(flags) => print_floor(&flags),
        flags::ReedfordLoadCmd::Compare(flags) => compare(&flags),
    }
}

fn run_experiment(flags: &flags::Run) -> Result<()> {
    let overrides = Overrides {
        seed: flags.seed,
        rate: flags.rate,
        zipf_exponent: flags.zipf,
        duration_s: flags.duration,
        warmup_s: flags.warmup,
    };
    let mut experiment = Experiment::read(&flags.experiment, overrides)?;
    experiment.come_back |= flags.come_back;
    let runtime = tokio::runtime::Runtime::new().wrap_err("starting the runtime")?;
    let report = runtime.block_on(run(&experiment))?;
    if let Some(path) = &flags.json {
        write_json(path, &report)?;
    }
    print(&[
        Table::of_run(&report),
        Table::of_timeline(&report),
        Table::of_whole_run(&report),
    ])
}

fn print_floor(flags: &flags::Floor) -> Result<()> {
    let overrides = Overrides {
        seed: flags.seed,
        rate: flags.rate,
        zipf_exponent: flags.zipf,
        duration_s: flags.duration,
        warmup_s: flags.warmup,
    };
    let experiment = Experiment::read(&flags.experiment, overrides)?;
    let (floor, lru_floor) = floors(&experiment)?;
    print(&[Table::of_floors(&floor, &lru_floor)])
}

fn compare(flags: &flags::Compare) -> Result<()> {
    let reports = flags.files.iter().map(|path| read_json(path));
    let reports: Vec<_> = reports.collect::<Result<_>>()?;
    print(&[Table::of_runs(&reports)])
}

fn print(tables: &[Table]) -> Result<()> {
    let mut out = std::io::stdout().lock();
    for table in tables {
        writeln!(out, "{table}").wrap_err("printing")?;
    }
    Ok(())
}

fn write_json(path: &Path, report: &Report) -> Result<()> {
    let text = serde_json::to_string_pretty(report)?;
    std::fs::write(path, text).wrap_err_with(|| format!("writing {}", path.display()))
}

/// Reads the report of a run, which is named after its file.
fn read_json(path: &Path) -> Result<(Box<str>, Report)> {
    let context = || format!("reading {}", path.display());
    let text = std::fs::read_to_string(path).wrap_err_with(context)?;
    let report = serde_json::from_str(&text).wrap_err_with(context)?;
    let name = path.file_stem().unwrap_or(path.as_os_str());
    Ok((name.to_string_lossy().into(), report))
}
