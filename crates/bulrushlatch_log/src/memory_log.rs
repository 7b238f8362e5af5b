//! A log in memory that can simulate failures.

use std::{collections::BTreeMap, sync::Mutex};

use bulrushlatch_protocol::{ids::Offset, verdict::Verdict};
use serde::{Deserialize, Serialize};

use crate::platform_log::{LogError, LogPage, LogRecord, PlatformLog, StreamName};

/// Simulated behaviour of a [`MemoryLog`].
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogMode {
    /// Every call succeeds.
    #[default]
    Up,
    /// Every call fails without effect.
    Down,
    /// Appends take effect, but their replies are lost.
    LoseReplies,
}

/// A log whose records are stored in the memory of one process.
#[derive(Debug, Default)]
pub struct MemoryLog {
    state: Mutex<MemoryLogState>,
}

#[derive(Debug, Default)]
struct MemoryLogState {
    mode: LogMode,
    streams: BTreeMap<StreamName, MemoryStream>,
}

#[derive(Debug, Default)]
struct MemoryStream {
    /// Offset of the first record in `bodies`.
    earliest_offset: Offset,
    bodies: Vec<String>,
}

impl MemoryLog {
    /// Sets the mode for later calls.
    pub fn set_mode(&self, mode: LogMode) {
        self.lock().mode = mode;
    }

    /// Removes all but the last `keep` records of a stream.
    pub fn trim(&self, stream: StreamName, keep: usize) {
        let mut state = self.lock();
        let stored = state.streams.entry(stream).or_default();
        let removed_count = stored.bodies.len().saturating_sub(keep);
        stored.bodies.drain(..removed_count);
        stored.earliest_offset += removed_count as Offset;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MemoryLogState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl PlatformLog for MemoryLog {
    fn append(&self, stream: StreamName, body: &str) -> Result<Offset, LogError> {
        let mut state = self.lock();
        if state.mode == LogMode::Down {
            return Err(unavailable(Verdict::NotRun));
        }
        let is_reply_lost = state.mode == LogMode::LoseReplies;
        let stored = state.streams.entry(stream).or_default();
        let offset = stored.earliest_offset + stored.bodies.len() as Offset;
        stored.bodies.push(body.to_owned());
        if is_reply_lost { Err(unavailable(Verdict::MayHaveRun)) } else { Ok(offset) }
    }

    fn read(
        &self,
        stream: StreamName,
        from: Offset,
        max_records: usize,
    ) -> Result<LogPage, LogError> {
        let mut state = self.lock();
        if state.mode == LogMode::Down {
            return Err(unavailable(Verdict::NotRun));
        }
        let stored = state.streams.entry(stream).or_default();
        let first = from.max(stored.earliest_offset);
        let skip = (first - stored.earliest_offset) as usize;
        let records = stored.bodies.iter().skip(skip).take(max_records).zip(first..);
        let records = records.map(|(body, offset)| LogRecord { offset, body: body.clone() });
        Ok(LogPage {
            records: records.collect(),
            earliest_offset: stored.earliest_offset,
            next_offset: stored.earliest_offset + stored.bodies.len() as Offset,
        })
    }
}

fn unavailable(applied: Verdict) -> LogError {
    LogError { applied, message: "the log is unavailable".to_owned() }
}
