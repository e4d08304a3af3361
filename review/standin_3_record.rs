//! The record of a case: what was sent, answered and run, with times since its begin.

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
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record file");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
