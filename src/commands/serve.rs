//! `reedford serve`: runs an entry instance, or only checks its settings.

use crate::flags::Serve;
use crate::outcome::Outcome;
use reedford_serve::ShutdownOutcome;
use reedford_settings::{Settings, SettingsError};

pub(crate) fn run(flags: &Serve) -> eyre::Result<Outcome> {
    let settings = match Settings::load(&flags.config) {
        Ok(settings) => settings,
        Err(error) => {
            print_settings_error(flags, &error);
            return Ok(Outcome::Failed);
        }
    };
    if flags.check {
        println!(
            "{}: instance {} is good",
            flags.config.display(),
            settings.instance
        );
        return Ok(Outcome::Done);
    }
    match reedford_serve::run(settings)? {
        ShutdownOutcome::Graceful => Ok(Outcome::Done),
        ShutdownOutcome::Aborted => Ok(Outcome::Failed),
    }
}

fn print_settings_error(flags: &Serve, error: &SettingsError) {
    let path = flags.config.display();
    match error {
        SettingsError::Faults(faults) => {
            for fault in faults {
                eprintln!("{path}: {fault}");
            }
        }
        SettingsError::File { source, .. } => eprintln!("{path}: {source}"),
        error => eprintln!("{path}: {error}"),
    }
}
