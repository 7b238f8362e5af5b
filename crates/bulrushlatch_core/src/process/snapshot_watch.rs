//! When a stream needs its next snapshot.

use std::time::{Duration, Instant};

use bulrushlatch_protocol::ids::Offset;

use crate::{
    limits::Limits,
    version::stream::{StreamReader, StreamState},
};

/// Decides when the next snapshot of one stream is due.
///
/// All readers ignore a snapshot if another record was appended between taking and appending it, so
/// only a snapshot that was read back postpones the next one. The age of snapshots from before this
/// process is unknown.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotWatch {
    started: Instant,
    last_offset: Offset,
    last_seen: Option<Instant>,
    last_written: Option<Instant>,
}

impl SnapshotWatch {
    /// Returns the watch of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { started: now, last_offset: 0, last_seen: None, last_written: None }
    }

    /// Checks for a new snapshot after a page was applied; `was_synced` is the state before that.
    pub fn update<S: StreamState>(
        &mut self,
        now: Instant,
        reader: &StreamReader<S>,
        was_synced: bool,
    ) {
        let offset = reader.last_snapshot_offset();
        if offset != self.last_offset && was_synced {
            self.last_seen = Some(now);
        }
        self.last_offset = offset;
    }

    /// Returns whether a snapshot is due; if so, records it as written at `now`.
    pub fn mark_written_if_due<S: StreamState>(
        &mut self,
        now: Instant,
        limits: &Limits,
        reader: &StreamReader<S>,
    ) -> bool {
        let is_over = |since: Instant, time: Duration| now.saturating_duration_since(since) >= time;
        if self.last_written.is_some_and(|written| !is_over(written, limits.resend)) {
            return false;
        }
        let is_old = match self.last_seen {
            Some(seen) => is_over(seen, limits.snapshot_age),
            None => is_over(self.started, limits.silence_limit),
        };
        let is_long = reader.records_since_snapshot() >= limits.snapshot_records;
        let is_due = is_old || is_long;
        if is_due {
            self.last_written = Some(now);
        }
        is_due
    }
}
