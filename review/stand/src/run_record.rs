//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes a line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct RunRecord {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl RunRecord {
    /// Creates the file `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let millis = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("no writer panics");
        // The record is for the reader only.
        let _ = writeln!(file, "{millis:>6} {}", text.as_ref());
    }
}
