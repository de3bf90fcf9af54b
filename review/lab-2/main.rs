//! Plays the cases of the second review: `lab CASE FOLDER PROGRAM`. Ends with 1 if the case's rule was
//! broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod node;
mod runner;
mod store;
mod wire;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

/// What the case saw, with the time since its start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Where a case runs.
pub struct Place {
    pub record: Record,
    /// A temporary folder.
    pub folder: PathBuf,
    pub program: String,
    /// Whether the case has its disruption.
    pub has_trouble: bool,
    /// A variant that the claim names.
    pub variant: String,
}

impl Place {
    /// Names a process that has to be gone at the end.
    pub fn note_process(&self, pid: u32) {
        let file = File::options().create(true).append(true).open(self.folder.join("pids"));
        if let Ok(mut file) = file {
            let _ = writeln!(file, "{pid}");
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder, program] = arguments.as_slice() else {
        eprintln!("usage: lab CASE RECORD FOLDER PROGRAM");
        std::process::exit(2);
    };
    let file = match File::create(record) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{record}: {error}");
            std::process::exit(2);
        }
    };
    let place = Place {
        record: Record { began: Instant::now(), file: Mutex::new(file) },
        folder: PathBuf::from(folder),
        program: program.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |it| it != "0"),
        variant: std::env::var("VARIANT").unwrap_or_default(),
    };
    place.record.note(&format!("case {case}, disruption: {}", place.has_trouble));
    let verdict = match case.as_str() {
        "change-at-heal" => cases::change_at_heal(&place),
        "unreadable-entry" => cases::unreadable_entry(&place),
        "other-software" => cases::other_software(&place),
        "idle-time" => cases::idle_time(&place),
        "leaving-through-helper" => cases::leaving_through_helper(&place),
        _ => Err(format!("there is no case {case}")),
    };
    let code = match verdict {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(why) => {
            place.record.note(&format!("the case could not run: {why}"));
            2
        }
    };
    // The case has ended its processes.
    let _ = std::fs::remove_file(place.folder.join("pids"));
    place.record.note(&format!("ends with {code}"));
    std::process::exit(code);
}
