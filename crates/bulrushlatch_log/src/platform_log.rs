//! The trait that the platform's log is used through.

use bulrushlatch_protocol::{ids::Offset, verdict::Verdict};
use serde::{Deserialize, Serialize};

/// Streams that bulrushlatch keeps in the platform's log.
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
    /// Entries, agents and the epochs of ownership.
    Ownership,
    /// Published changes of the settings tree.
    Settings,
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position of the record; offsets of a stream rise by one.
    pub offset: Offset,
    /// What was appended.
    pub body: String,
}

/// A run of records of one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records in offset order, starting at or after the asked offset.
    pub records: Vec<LogRecord>,
    /// Lowest offset that is still kept.
    pub earliest_offset: Offset,
    /// Offset that the next appended record will get.
    pub next_offset: Offset,
}

/// Why a call to the log did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogError {
    /// Whether the append may have taken effect; [`Verdict::NotRun`] for reads.
    pub ran: Verdict,
    /// What went wrong.
    pub message: String,
}

impl std::fmt::Display for LogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "log call failed (applied: {}): {}", self.ran, self.message)
    }
}

impl std::error::Error for LogError {}

/// An append-only log with offsets, shared by all processes.
pub trait PlatformLog: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// The error says whether the record may have been appended all the same.
    fn append(&self, stream: StreamName, body: &str) -> Result<Offset, LogError>;

    /// Reads at most `max_records` records at or after `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log cannot be read now.
    fn read(
        &self,
        stream: StreamName,
        from: Offset,
        max_records: usize,
    ) -> Result<LogPage, LogError>;
}
