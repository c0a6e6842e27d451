//! `reedford rules apply`: puts a file in force.
//!
//! The file is checked first, then swapped in against the revision that it was
//! edited from. The loser of a race keeps its file and is shown the difference.

use super::diff::print_difference;
use crate::flags::Apply;
use crate::input::{RulesFile, print_faults, read_rules, read_token};
use crate::outcome::Outcome;
use crate::platform::RulesStore;
use crate::rollout::{Instances, instances};
use eyre::WrapErr as _;
use reedford_operator::OperatorRpcClient;
use reedford_store::ApplyOutcome;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Seconds to wait when the command line doesn't say.
const TIMEOUT_S: u32 = 30;

pub(crate) async fn run(flags: Apply) -> eyre::Result<Outcome> {
    let seconds = flags.timeout.unwrap_or(TIMEOUT_S);
    let deadline = Instant::now() + Duration::from_secs(seconds.into());
    if flags.wait && (flags.operators.is_none() || flags.token_file.is_none()) {
        eprintln!("--wait needs --operators and --token-file");
        return Ok(Outcome::Usage);
    }
    let wait = wait_of(&flags)?;
    let text = match read_rules(&flags.file)? {
        RulesFile::Good { text, .. } => text,
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
            Ok(wait_for(wait, revision, deadline).await)
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

/// The instances that `--wait` asks; `None` when it is not given.
///
/// # Errors
/// When the token can't be read or sent.
fn wait_of(
    flags: &Apply,
) -> eyre::Result<Option<Instances<impl OperatorRpcClient + Send + Sync + use<>>>> {
    let (true, Some(operators), Some(token_file)) =
        (flags.wait, &flags.operators, &flags.token_file)
    else {
        return Ok(None);
    };
    let token = read_token(token_file)?;
    Ok(Some(instances(&operators.0, &token)?))
}

fn read_base(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}

async fn wait_for<C>(wait: Option<Instances<C>>, revision: u64, deadline: Instant) -> Outcome
where
    C: OperatorRpcClient + Send + Sync + 'static,
{
    let Some(instances) = wait else {
        return Outcome::Done;
    };
    let count = instances.count();
    let behind = instances.wait(revision, deadline).await;
    if behind.is_empty() {
        println!("revision {revision} is in force at all {count} instances");
        return Outcome::Done;
    }
    eprintln!("revision {revision} is not in force at:");
    for instance in &behind {
        eprintln!("{instance}");
    }
    Outcome::NotInForce
}

/// Shows what others changed, when the text edited from is at hand, and what
/// the file would change in the rules in force.
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
