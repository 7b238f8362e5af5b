//! The records of a log in memory, with its failures on demand.

use std::{collections::BTreeMap, sync::Mutex};

use bulrushlatch_protocol::{ids::Offset, verdict::Verdict};
use serde::{Deserialize, Serialize};

use crate::platform_log::{LogError, LogPage, LogRecord, PlatformLog, StreamName};

/// How a [`MemoryLog`] treats calls.
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
    /// Every call fails and has no effect.
    Down,
    /// Appends take effect, but their replies are lost.
    LoseReplies,
}

/// A log that lives in one process.
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
    /// Sets how later calls are treated.
    pub fn set_mode(&self, mode: LogMode) {
        self.lock().mode = mode;
    }

    /// Forgets all but the last `keep` records of a stream.
    pub fn trim(&self, stream: StreamName, keep: usize) {
        let mut state = self.lock();
        let records = state.streams.entry(stream).or_default();
        let drop_count = records.bodies.len().saturating_sub(keep);
        records.bodies.drain(..drop_count);
        records.earliest_offset += drop_count as Offset;
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
        let lose_reply = state.mode == LogMode::LoseReplies;
        let records = state.streams.entry(stream).or_default();
        let offset = records.earliest_offset + records.bodies.len() as Offset;
        records.bodies.push(body.to_owned());
        if lose_reply { Err(unavailable(Verdict::MayHaveRun)) } else { Ok(offset) }
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
        let kept = state.streams.entry(stream).or_default();
        let first = from.max(kept.earliest_offset);
        let skip = (first - kept.earliest_offset) as usize;
        let records = kept.bodies.iter().skip(skip).take(max_records).zip(first..);
        let records = records.map(|(body, offset)| LogRecord { offset, body: body.clone() });
        Ok(LogPage {
            records: records.collect(),
            earliest_offset: kept.earliest_offset,
            next_offset: kept.earliest_offset + kept.bodies.len() as Offset,
        })
    }
}

fn unavailable(ran: Verdict) -> LogError {
    LogError { ran, message: "the log is unavailable".to_owned() }
}
