//! What was sent, answered and run, one line each.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// The record of a script's run.
pub struct RunRecord {
    begun: Instant,
    file: Mutex<BufWriter<File>>,
    /// Ids of the requests that ran.
    runs: Mutex<Vec<String>>,
}

impl RunRecord {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            runs: Mutex::default(),
        })
    }

    /// Adds a line with the time since the beginning.
    pub fn note(&self, text: impl AsRef<str>) {
        let seconds = self.begun.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // A record that cannot be written is seen by its missing lines.
            let _ = writeln!(file, "{seconds:8.3}  {}", text.as_ref());
            let _ = file.flush();
        }
    }

    /// Remembers that a request ran.
    pub fn add_run(&self, request: &str) {
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(request.to_string());
        }
    }

    /// Returns the ids of the requests that ran.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().map_or(Vec::new(), |runs| runs.clone())
    }
}
