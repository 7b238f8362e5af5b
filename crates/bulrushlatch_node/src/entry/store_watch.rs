//! Reads the configuration and the addresses of entries from the platform's store, and publishes
//! the address of this entry there.

use std::{rc::Rc, time::Duration};

use super::EntryProcess;
use crate::interface::{CallerInterface, KeyedRecord, RecordPage, SiteStore, StoreError, Stream};

/// Time for which the store may hold a read open. Shorter than the time within which a new
/// configuration must be in force, since a silent connection is noticed only when a read times out.
const FOLLOW_WAIT: Duration = Duration::from_millis(1000);
/// Mean pause after a failed read of the configuration; four times as long after a failed read or
/// write of entries' addresses. The actual pause varies by up to half.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Mean interval between reads of the entries' addresses: long, since entries also send new
/// addresses to each other.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(5);

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Follows the configuration in the store until the process ends.
    pub(super) async fn watch_configuration(self: Rc<Self>) {
        let mut is_available = true;
        let mut from: Option<u64> = None;
        loop {
            let page = match from {
                None => self.store.newest(Stream::Configuration).await,
                Some(from) => self.store.follow(Stream::Configuration, from, FOLLOW_WAIT).await,
            };
            self.record_read(&mut is_available, &page);
            match page {
                Ok(page) => {
                    self.apply_cordon_records(&page, from.is_none());
                    from = Some(page.next_offset);
                    for record in page.records {
                        self.handle_configuration_record(record, "store");
                    }
                }
                Err(StoreError::Expired) => from = None,
                Err(_) => {
                    let jitter = 0.5 + fastrand::f64();
                    tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
                }
            }
        }
    }

    /// Counts failed reads of the configuration, and logs when the store becomes unavailable or
    /// available again.
    fn record_read(&self, is_available: &mut bool, page: &Result<RecordPage, StoreError>) {
        let error = match page {
            Ok(_) | Err(StoreError::Expired) => None,
            Err(error) => Some(error),
        };
        if error.is_some() {
            self.configuration_read_errors.set(self.configuration_read_errors.get() + 1);
        }
        if *is_available == error.is_none() {
            return;
        }
        *is_available = error.is_none();
        match error {
            Some(error) => tracing::info!(fault = %error, "store unavailable"),
            None => tracing::info!("store available again"),
        }
    }

    /// Applies a configuration record if it can be decoded and is newer than the one in force.
    pub(super) fn handle_configuration_record(&self, record: KeyedRecord, source: &'static str) {
        match self.store.decode_routes(&record) {
            Ok(Some(table)) => self.apply_configuration(record, table),
            Ok(None) => {}
            Err(error) => {
                tracing::info!(
                    key = %record.key, fault = %error, source,
                    "configuration record ignored"
                );
            }
        }
    }

    /// Publishes the address of this entry and reads those of other entries until the process ends.
    pub(super) async fn watch_entries(self: Rc<Self>) {
        let own = self.settings.link_address.to_string();
        let mut is_published = false;
        loop {
            if !is_published && !self.shutdown_begun.get() {
                let name = self.id.name.as_bytes();
                let published = self.store.put(Stream::Entries, &own, name).await;
                is_published = published.is_ok();
            }
            let mut pause = ENTRIES_INTERVAL;
            match self.store.newest(Stream::Entries).await {
                Ok(page) => {
                    is_published &= page.records.iter().any(|record| record.key == own);
                    for record in page.records {
                        self.handle_entry_record(&record);
                    }
                }
                Err(_) => pause = RETRY_PAUSE * 4,
            }
            if !is_published {
                pause = RETRY_PAUSE * 4;
            }
            tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    fn handle_entry_record(&self, record: &KeyedRecord) {
        let Ok(address) = record.key.parse() else {
            tracing::info!(key = %record.key, "entry record ignored: its key is not an address");
            return;
        };
        if !record.value.is_empty() {
            self.refresh_entry(address);
        }
    }
}
