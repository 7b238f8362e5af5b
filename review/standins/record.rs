//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Lines with their times, written to a file at once.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started_at: Instant::now(), file })
    }

    /// Returns the time since the case began.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn note(&self, text: &str) {
        let now_ms = self.now().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now_ms:10.1} ms  {text}");
    }
}
