//! Cordons in the records of the operators' stream.

use bulrushlatch_dispatch::cordon::{CordonChange, Cordons};

use crate::interface::{KeyedRecord, RecordPage, SiteStore};

/// Applies a page of changes, as returned by [`SiteStore::follow`]; returns whether the cordoned
/// zones have changed.
pub fn apply_changes<S: SiteStore>(cordons: &mut Cordons, store: &S, page: &RecordPage) -> bool {
    cordons.apply(page.next_offset, changes(store, &page.records))
}

/// Adopts the newest record of each key, as returned by [`SiteStore::newest`]; returns whether the
/// cordoned zones have changed. A zone without a record is not cordoned, unless records are missing.
pub fn adopt_listing<S: SiteStore>(cordons: &mut Cordons, store: &S, page: &RecordPage) -> bool {
    if page.is_partial {
        return apply_changes(cordons, store, page);
    }
    let set = changes(store, &page.records).into_iter().filter(|change| change.is_set);
    let zones = set.map(|change| change.zone).collect();
    cordons.adopt(Cordons { offset: page.next_offset, zones })
}

fn changes<S: SiteStore>(store: &S, records: &[KeyedRecord]) -> Vec<CordonChange> {
    let decoded = records.iter().filter_map(|record| match store.decode_cordon(record) {
        Ok(change) => change,
        Err(error) => {
            tracing::info!(key = %record.key, fault = %error, "cordon record ignored");
            None
        }
    });
    decoded.collect()
}
