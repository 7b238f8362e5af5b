//! Interface of the platform's log.

use bulrushlatch_protocol::{ids::Offset, verdict::Verdict};
use serde::{Deserialize, Serialize};

/// Streams that bulrushlatch stores in the platform's log.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StreamName {
    /// Records of the membership view: entries, agents and epochs.
    Ownership,
    /// Published changes of the settings tree.
    Settings,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position of the record; offsets of a stream rise by one.
    pub offset: Offset,
    /// Appended text.
    pub body: String,
}

/// Consecutive records of one stream, as returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records in offset order, starting at or after the requested offset.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that the log still stores.
    pub earliest_offset: Offset,
    /// Offset that the next appended record will get.
    pub next_offset: Offset,
}

/// Failure of a call to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogError {
    /// Whether the record may have been appended; [`Verdict::NotRun`] for reads.
    pub applied: Verdict,
    /// Description of the failure.
    pub message: String,
}

impl std::fmt::Display for LogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "log call failed (applied: {}): {}", self.applied, self.message)
    }
}

impl std::error::Error for LogError {}

/// An append-only log with offsets, shared by all processes.
pub trait PlatformLog: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error when the log is unreachable or does not confirm the append;
    /// [`LogError::applied`] states whether the record may have been appended nevertheless.
    fn append(&self, stream: StreamName, body: &str) -> Result<Offset, LogError>;

    /// Reads at most `max_records` records at or after `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log is unreachable or returns an unreadable reply.
    fn read(
        &self,
        stream: StreamName,
        from: Offset,
        max_records: usize,
    ) -> Result<LogPage, LogError>;
}
