//! What an entry reads from the platform's store, and what it writes there.

use std::{rc::Rc, time::Duration};

use super::EntryProcess;
use crate::interface::{CallerInterface, KeyedRecord, RecordPage, SiteStore, StoreError, Stream};

/// How long the store may hold a read back: shorter than the time in which a configuration must be
/// in force, since a silent connection shows only when a read is overdue.
const FOLLOW_WAIT: Duration = Duration::from_millis(1000);
/// Pause after a failed call, with jitter.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Pause between reads of the entries' addresses: other entries tell of changes, too.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(5);

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Follows the configuration.
    pub(super) async fn watch_configuration(self: Rc<Self>) {
        let mut is_reached = true;
        let mut from: Option<u64> = None;
        loop {
            let page = match from {
                None => self.store.newest(Stream::Configuration).await,
                Some(from) => self.store.follow(Stream::Configuration, from, FOLLOW_WAIT).await,
            };
            self.note_store(&mut is_reached, &page);
            match page {
                Ok(page) => {
                    from = Some(page.next_offset);
                    for record in page.records {
                        self.take_configuration(record, "store");
                    }
                }
                Err(StoreError::Expired) => from = None,
                Err(_) => {
                    let jitter = 0.5 + fastrand::f64();
                    tokio::time::sleep(FAULT_PAUSE.mul_f64(jitter)).await;
                }
            }
        }
    }

    fn note_store(&self, is_reached: &mut bool, page: &Result<RecordPage, StoreError>) {
        let fault = match page {
            Ok(_) | Err(StoreError::Expired) => None,
            Err(fault) => Some(fault),
        };
        if fault.is_some() {
            self.store_faults.set(self.store_faults.get() + 1);
        }
        if *is_reached == fault.is_none() {
            return;
        }
        *is_reached = fault.is_none();
        match fault {
            Some(fault) => tracing::info!(%fault, "store lost"),
            None => tracing::info!("store reached again"),
        }
    }

    /// Puts a configuration record in force if it is newer and can be read.
    pub(super) fn take_configuration(&self, record: KeyedRecord, source: &'static str) {
        match self.store.decode_routes(&record) {
            Ok(Some(table)) => self.put_in_force(record, table),
            Ok(None) => {}
            Err(fault) => {
                tracing::info!(key = %record.key, %fault, source, "configuration record ignored");
            }
        }
    }

    /// Writes the own address and reads those of other entries.
    pub(super) async fn watch_entries(self: Rc<Self>) {
        let own = self.settings.link_address.to_string();
        let mut is_written = false;
        loop {
            if !is_written && !self.is_closing.get() {
                let name = self.process.name.as_bytes();
                let written = self.store.put(Stream::Entries, &own, name).await;
                is_written = written.is_ok();
            }
            let mut pause = ENTRIES_INTERVAL;
            match self.store.newest(Stream::Entries).await {
                Ok(page) => {
                    is_written &= page.records.iter().any(|record| record.key == own);
                    for record in page.records {
                        self.take_entry(&record);
                    }
                }
                Err(_) => pause = FAULT_PAUSE * 4,
            }
            if !is_written {
                pause = FAULT_PAUSE * 4;
            }
            tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    fn take_entry(&self, record: &KeyedRecord) {
        let Ok(address) = record.key.parse() else {
            tracing::info!(key = %record.key, "entry record without address ignored");
            return;
        };
        if !record.value.is_empty() {
            self.note_entry(address);
        }
    }
}
