//! The commands, one module each.

mod adapters;
mod fleet;
mod gateway;
mod rules;
mod serve;
mod status;

use crate::flags::ReedfordCmd;
use crate::outcome::Outcome;
use eyre::WrapErr as _;

/// Runs a command.
///
/// # Errors
/// When the command fails without having printed the reason.
pub(crate) fn run(command: ReedfordCmd) -> eyre::Result<Outcome> {
    match command {
        ReedfordCmd::Adapters(flags) => block_on(adapters::run(flags)),
        ReedfordCmd::Fleet(flags) => block_on(fleet::run(flags)),
        ReedfordCmd::Gateway(flags) => gateway::run(&flags),
        ReedfordCmd::Rules(flags) => rules::run(flags.subcommand),
        ReedfordCmd::Serve(flags) => serve::run(&flags),
        ReedfordCmd::Status(flags) => block_on(status::run(flags)),
    }
}

/// Runs an operators' command on this thread, which suffices because these commands
/// mostly wait for the network.
fn block_on<F>(future: F) -> eyre::Result<Outcome>
where
    F: Future<Output = eyre::Result<Outcome>>,
{
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("no runtime")?
        .block_on(future)
}
