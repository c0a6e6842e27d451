//! `reedford rules`: the commands for the rules file.

mod apply;
mod check;
mod diff;
mod show;

use super::block_on;
use crate::flags::RulesCmd;
use crate::outcome::Outcome;

pub(crate) fn run(command: RulesCmd) -> eyre::Result<Outcome> {
    match command {
        RulesCmd::Apply(flags) => block_on(apply::run(flags)),
        RulesCmd::Check(flags) => check::run(&flags),
        RulesCmd::Diff(flags) => block_on(diff::run(flags)),
        RulesCmd::Show(flags) => block_on(show::run(flags)),
    }
}
