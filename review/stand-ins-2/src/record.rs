//! The record of a case: what was sent, answered and run, with times in seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
