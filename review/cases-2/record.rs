//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Lines with the time since the start of the case, in ms.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started_at: Instant::now(), file })
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let at_ms = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The record is a help to the reader; a case is not decided by it.
        let _ = writeln!(file, "{at_ms:>7} ms  {line}");
    }
}
