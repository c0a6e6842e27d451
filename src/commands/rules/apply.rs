//! `reedford rules apply`: puts a file in force.
//!
//! The file is checked, then stored by compare-and-swap against the revision that
//! it was edited from. If another edit was accepted first, the command prints the
//! differences instead.

use super::diff::print_difference;
use crate::flags::Apply;
use crate::input::{RulesFile, print_faults, read_rules, read_token};
use crate::outcome::Outcome;
use crate::rollout::{InstanceClients, instance_clients};
use crate::rules_store::RulesStore;
use eyre::WrapErr as _;
use reedford_operator::OperatorRpcClient;
use reedford_store::ApplyOutcome;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Default of `--timeout`, in seconds.
const TIMEOUT_S: u32 = 30;

pub(crate) async fn run(flags: Apply) -> eyre::Result<Outcome> {
    let seconds = flags.timeout.unwrap_or(TIMEOUT_S);
    let deadline = Instant::now() + Duration::from_secs(seconds.into());
    if flags.wait && (flags.operators.is_none() || flags.token_file.is_none()) {
        eprintln!("--wait needs --operators and --token-file");
        return Ok(Outcome::Usage);
    }
    let clients = clients_to_poll(&flags)?;
    let text = match read_rules(&flags.file)? {
        RulesFile::Valid { text, .. } => text,
        RulesFile::Faulty(faults) => {
            print_faults(&flags.file, &faults);
            return Ok(Outcome::Failed);
        }
    };
    let base = flags.base.as_deref().map(read_base).transpose()?;

    let store = RulesStore::new(flags.platform);
    let applied = store.apply(flags.from, &text, deadline).await;
    let outcome = match applied {
        Ok(ApplyOutcome::Applied { revision }) => {
            println!("accepted as revision {revision}");
            Ok(wait_until_in_force(clients, revision, deadline).await)
        }
        Ok(ApplyOutcome::LostRace { current }) => {
            eprintln!(
                "not accepted: edited from revision {}, but {current} is in force",
                flags.from
            );
            show_changes(&store, base.as_deref(), &text).await;
            Ok(Outcome::LostRace)
        }
        Ok(ApplyOutcome::StillUnknown) => {
            eprintln!("it is not known whether the rules were accepted;");
            eprintln!("compare with `reedford rules diff` before applying again");
            Ok(Outcome::Unknown)
        }
        Err(error) => Err(error).wrap_err("not accepted"),
    };
    store.close().await;
    outcome
}

/// Returns clients of the instances that `--wait` polls; `None` without the flag.
///
/// # Errors
/// When the token can't be read or sent.
fn clients_to_poll(
    flags: &Apply,
) -> eyre::Result<Option<InstanceClients<impl OperatorRpcClient + Send + Sync + use<>>>> {
    let (true, Some(operators), Some(token_file)) =
        (flags.wait, &flags.operators, &flags.token_file)
    else {
        return Ok(None);
    };
    let token = read_token(token_file)?;
    Ok(Some(instance_clients(&operators.0, &token)?))
}

fn read_base(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}

async fn wait_until_in_force<C>(
    clients: Option<InstanceClients<C>>,
    revision: u64,
    deadline: Instant,
) -> Outcome
where
    C: OperatorRpcClient + Send + Sync + 'static,
{
    let Some(clients) = clients else {
        return Outcome::Done;
    };
    let count = clients.count();
    let outdated = clients.wait(revision, deadline).await;
    if outdated.is_empty() {
        println!("revision {revision} is in force at all {count} instances");
        return Outcome::Done;
    }
    eprintln!("revision {revision} is not in force at:");
    for instance in &outdated {
        eprintln!("{instance}");
    }
    Outcome::NotInForce
}

/// Prints what the file would change in the latest stored rules. If `base`, the text
/// that the file was edited from, is given, first prints what others changed since.
/// Prints nothing if no rules are stored.
async fn show_changes(store: &RulesStore, base: Option<&str>, text: &str) {
    let document = match store.load().await {
        Ok(Some(document)) => document,
        Ok(None) => return,
        Err(error) => return eprintln!("the rules in force can't be shown: {error}"),
    };
    let revision = document.revision;
    if let Some(base) = base {
        println!("changed by others, up to revision {revision}:");
        print_difference(base, &document.text);
    }
    println!("from revision {revision} to this file:");
    print_difference(&document.text, text);
}
