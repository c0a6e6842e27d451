//! `reedford rules show`: the rules in force.

use crate::flags::Show;
use crate::outcome::Outcome;
use crate::platform::RulesStore;

pub(crate) async fn run(flags: Show) -> eyre::Result<Outcome> {
    let store = RulesStore::new(flags.platform);
    let loaded = store.load().await;
    store.close().await;
    match loaded? {
        Some(document) => {
            eprintln!("revision {}", document.revision);
            print!("{}", document.text);
        }
        None => eprintln!("revision 0: no rules were applied yet"),
    }
    Ok(Outcome::Done)
}
