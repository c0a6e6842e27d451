//! `reedford rules diff`: compares a file with the rules in force.

use crate::flags::Diff;
use crate::input::{RulesFile, print_faults, read_rules};
use crate::outcome::Outcome;
use crate::rules_store::RulesStore;
use reedford_rules::{diff, text_diff};

pub(crate) async fn run(flags: Diff) -> eyre::Result<Outcome> {
    let text = match read_rules(&flags.file)? {
        RulesFile::Valid { text, .. } => text,
        RulesFile::Faulty(faults) => {
            print_faults(&flags.file, &faults);
            return Ok(Outcome::Failed);
        }
    };
    let store = RulesStore::new(flags.platform);
    let loaded = store.load().await;
    store.close().await;
    let (revision, in_force) = match &loaded? {
        Some(document) => (document.revision, document.text.to_string()),
        None => (0, String::new()),
    };
    eprintln!("from revision {revision} to {}", flags.file.display());
    print_difference(&in_force, &text);
    Ok(Outcome::Done)
}

/// Prints the difference rule by rule, or line by line when this version of the
/// program can't parse the old text.
pub(super) fn print_difference(old: &str, new: &str) {
    match diff(old, new) {
        Ok(difference) => println!("{difference}"),
        Err(_unparsable) => print!("{}", text_diff(old, new, "before", "after")),
    }
}
