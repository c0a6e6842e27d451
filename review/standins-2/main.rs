//! Plays one case of the review: `review CASE FOLDER PROGRAM`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod copies;
mod engine;
mod http;
mod json;
mod node;
mod proxy;
mod record;
mod silence;
mod split;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case has to know.
pub struct Setting {
    /// Folder of the case, for the record.
    pub folder: PathBuf,
    /// The built program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub temporary: PathBuf,
    /// Whether to bring the disruption about.
    pub trouble: bool,
}

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = args.as_slice() else {
        eprintln!("usage: review CASE FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("reedford-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() || !Path::new(program).is_file() {
        eprintln!("no temporary folder, or no program at {program}");
        return ExitCode::from(2);
    }
    let setting = Setting {
        folder: folder.into(),
        program: program.into(),
        temporary: temporary.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case.as_str() {
        "copies" => copies::play(&setting),
        "silence" => silence::play(&setting),
        "split" => split::play(&setting),
        other => Outcome::NotRun(format!("no case {other}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            println!("not run: {why}");
            ExitCode::from(2)
        }
    }
}
