//! The record of a run: what was sent, answered and run, each line with its time.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Writes `record.txt`; shared by all threads.
pub struct RunRecord {
    begun_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl RunRecord {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begun_at: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Returns the time since the record was created.
    pub fn now(&self) -> Duration {
        self.begun_at.elapsed()
    }

    /// Writes a line and returns its time.
    pub fn note(&self, text: &str) -> Duration {
        let mut file = self.file.lock().expect("no thread has panicked here");
        let now = self.now();
        // A record that cannot be written does not change the outcome.
        let _ = writeln!(file, "{:9.3} {text}", now.as_secs_f64());
        now
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _ = self
            .file
            .lock()
            .expect("no thread has panicked here")
            .flush();
    }
}
