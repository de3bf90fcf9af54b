//! Plays a case of the review: `lab NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With `TROUBLE=0` in the environment it plays it without the disruption.

mod brittle;
mod crash_burst;
mod herd_kill;
mod http;
mod json;
mod late_copy;
mod mixed_versions;
mod node;
mod record;
mod runner;
mod setup;
mod store;

use record::Record;
use setup::Verdict;
use std::{panic::catch_unwind, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: lab NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // A panic is a fault of the case.
    let verdict = catch_unwind(|| play(name, Path::new(folder), has_trouble));
    match verdict.unwrap_or_else(|_| Err("it panicked".to_string())) {
        Ok(true) => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{name}: the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            eprintln!("{name} could not run: {why}");
            ExitCode::from(2)
        }
    }
}

fn play(name: &str, folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::open(folder)?;
    let trouble = if has_trouble { "with" } else { "without" };
    record.line(&format!("{name}, {trouble} the disruption"));
    let verdict = match name {
        "late-copy" => late_copy::play(&record, has_trouble),
        "mixed-versions" => mixed_versions::play(&record, has_trouble),
        "brittle" => brittle::play(&record, has_trouble),
        "crash-burst" => crash_burst::play(&record, has_trouble),
        "herd-kill" => herd_kill::play(&record, has_trouble),
        _ => Err("unknown case".to_string()),
    };
    record.line(&match &verdict {
        Ok(true) => "the rule held".to_string(),
        Ok(false) => "the rule was broken".to_string(),
        Err(why) => format!("could not run: {why}"),
    });
    verdict
}
