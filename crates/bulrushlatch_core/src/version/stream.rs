//! Reading a stream in offset order, with snapshots.

use std::sync::Arc;

use bulrushlatch_log::platform_log::{LogPage, LogRecord};
use bulrushlatch_protocol::ids::Offset;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// State that is computed by applying the records of a stream in order.
pub trait StreamState: Clone + Default + Serialize + DeserializeOwned {
    /// Content of one record of the stream.
    type Record: Serialize + DeserializeOwned;

    /// Applies one record. The same records must give the same state in every process.
    fn apply(&mut self, offset: Offset, record: Self::Record);

    /// Returns the offset of the next record that is not in this state.
    fn next_offset(&self) -> Offset;

    /// Records that all records below `next_offset` are in this state.
    fn set_next_offset(&mut self, next_offset: Offset);
}

/// One stored record of a stream.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stored<R, S> {
    /// A change of the state.
    Record(R),
    /// The state before this offset, for a reader whose next record the log has removed.
    Snapshot(Box<S>),
}

/// Returns the body with which a record is appended to the log.
///
/// # Panics
///
/// Never for the records of this crate, which all have a JSON form.
pub fn record_body<S: StreamState>(record: &S::Record) -> String {
    let stored: Stored<&S::Record, ()> = Stored::Record(record);
    serde_json::to_string(&stored).expect("records have a JSON form")
}

/// Applies the records of one stream to a state.
#[derive(Clone, Debug)]
pub struct StreamReader<S> {
    /// Contains every record below its next offset, which never decreases.
    state: Arc<S>,
    /// Whether `state` is complete: read to the stream's end, or taken from a snapshot or another
    /// entry.
    is_synced: bool,
    /// Offset of the latest valid snapshot that was read.
    last_snapshot_offset: Offset,
    /// Number of records that could not be parsed; all readers skip them.
    unreadable_records: u64,
}

impl<S: StreamState> Default for StreamReader<S> {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            is_synced: false,
            last_snapshot_offset: 0,
            unreadable_records: 0,
        }
    }
}

impl<S: StreamState> StreamReader<S> {
    /// Returns the current state.
    pub fn state(&self) -> &Arc<S> {
        &self.state
    }

    /// Returns whether the state is complete and can be acted on.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.state.next_offset()
    }

    /// Returns the offset of the latest valid snapshot, or zero.
    pub fn last_snapshot_offset(&self) -> Offset {
        self.last_snapshot_offset
    }

    /// Returns the number of records since the latest snapshot.
    pub fn records_since_snapshot(&self) -> u64 {
        self.next_offset().saturating_sub(self.last_snapshot_offset)
    }

    /// Returns the number of records that could not be parsed.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// Applies a page that was read from the log; returns whether the state advanced or became
    /// synced.
    pub fn apply_page(&mut self, page: &LogPage) -> bool {
        let before = (self.next_offset(), self.is_synced);
        for record in &page.records {
            self.apply_record(record);
        }
        self.is_synced |= page.next_offset == self.next_offset();
        before != (self.next_offset(), self.is_synced)
    }

    /// Adopts the state of another entry if it is newer; returns whether it was.
    pub fn adopt(&mut self, state: &Arc<S>) -> bool {
        if state.next_offset() <= self.next_offset() {
            return false;
        }
        self.state = Arc::clone(state);
        self.is_synced = true;
        true
    }

    /// Returns the body of a snapshot record, which is valid only at the reader's next offset.
    ///
    /// # Panics
    ///
    /// Never for the states of this crate, which all have a JSON form.
    pub fn snapshot_body(&self) -> String {
        let stored: Stored<(), &S> = Stored::Snapshot(Box::new(&*self.state));
        serde_json::to_string(&stored).expect("states have a JSON form")
    }

    fn apply_record(&mut self, record: &LogRecord) {
        let next_offset = self.next_offset();
        if record.offset < next_offset {
            return;
        }
        let is_next = record.offset == next_offset;
        let parsed = serde_json::from_str::<Stored<S::Record, S>>(&record.body);
        match parsed {
            Ok(Stored::Snapshot(state)) => self.apply_snapshot(record.offset, *state),
            Ok(Stored::Record(change)) if is_next => {
                let state = Arc::make_mut(&mut self.state);
                state.apply(record.offset, change);
                state.set_next_offset(record.offset + 1);
            }
            Ok(Stored::Record(_)) => {}
            Err(_) => {
                self.unreadable_records += 1;
                if is_next {
                    Arc::make_mut(&mut self.state).set_next_offset(record.offset + 1);
                }
            }
        }
    }

    /// Applies a snapshot. It is valid only if its state contains every record before it; all
    /// readers skip it if another record was appended between taking and appending the snapshot.
    fn apply_snapshot(&mut self, offset: Offset, snapshot: S) {
        let is_exact = snapshot.next_offset() == offset;
        if is_exact {
            self.last_snapshot_offset = offset;
        }
        if offset == self.next_offset() {
            Arc::make_mut(&mut self.state).set_next_offset(offset + 1);
            return;
        }
        if is_exact {
            self.state = Arc::new(snapshot);
            Arc::make_mut(&mut self.state).set_next_offset(offset + 1);
            self.is_synced = true;
        }
    }
}
