//! The `reedford` program: `reedford serve` runs an entry instance,
//! `reedford gateway` a node on the users' platform; the other commands inspect and
//! change a running fleet.
//!
//! There are two platforms. Entry instances and the `rules` commands use the
//! platform's service, whose protocol is in `reedford_wire`; gateway nodes and
//! `fleet` use the users' platform, whose protocol is in `reedford_platform`.
//!
//! Exit codes are those of [`outcome::Outcome`].

mod commands;
mod flags;
mod input;
mod outcome;
mod rollout;
mod rules_store;

use outcome::Outcome;
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Reedford::from_env_or_exit();
    let outcome = commands::run(flags.subcommand).unwrap_or_else(|report| {
        eprintln!("error: {report:#}");
        Outcome::Failed
    });
    outcome.into()
}
