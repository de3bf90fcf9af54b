//! The record of a case: what was sent, answered and run, with times since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(folder: &Path) -> Result<Record, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the lock of the record");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
