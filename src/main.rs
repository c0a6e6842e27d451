//! The `reedford` program: `reedford serve` runs an entry instance,
//! `reedford gateway` a node on the users' platform; the other commands are for
//! operators.
//!
//! Exit codes are those of [`outcome::Outcome`].

mod commands;
mod flags;
mod input;
mod outcome;
mod platform;
mod rollout;

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
