//! `reedford rules check`: reports all faults of a file.

use crate::flags::Check;
use crate::input::{RulesFile, print_faults, read_rules};
use crate::outcome::Outcome;

pub(crate) fn run(flags: &Check) -> eyre::Result<Outcome> {
    match read_rules(&flags.file)? {
        RulesFile::Valid { rules, .. } => {
            let (groups, adapters) = (rules.groups.len(), rules.adapters.len());
            let (services, limits) = (rules.services.len(), rules.limits.len());
            println!(
                "{}: good, groups={groups} adapters={adapters} services={services} limits={limits}",
                flags.file.display()
            );
            Ok(Outcome::Done)
        }
        RulesFile::Faulty(faults) => {
            print_faults(&flags.file, &faults);
            Ok(Outcome::Failed)
        }
    }
}
