//! What was sent, answered and run, for `record.txt`.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {text}"));
    }

    /// Seconds from the start to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, folder: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(e) = std::fs::write(folder.join("record.txt"), text) {
            eprintln!("could not write record.txt: {e}");
        }
    }
}
