//! `reedford rules show`: prints the rules in force.

use crate::flags::Show;
use crate::outcome::Outcome;
use crate::rules_store::RulesStore;
use std::io::Write as _;

pub(crate) async fn run(flags: Show) -> eyre::Result<Outcome> {
    let store = RulesStore::new(flags.platform);
    let loaded = store.load().await;
    store.close().await;
    match loaded? {
        Some(document) => {
            eprintln!("revision {}", document.revision);
            // print! panics when the reader of a pipe closes it early; write_all returns an
            // error.
            std::io::stdout().write_all(document.text.as_bytes())?;
        }
        None => eprintln!("revision 0: no rules were applied yet"),
    }
    Ok(Outcome::Done)
}
