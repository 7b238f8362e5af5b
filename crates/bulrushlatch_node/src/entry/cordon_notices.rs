//! Cordoned zones that an entry learns from the store and other entries, and tells to all processes.

use std::time::Duration;

use bulrushlatch_dispatch::{
    clock::BootClock,
    cordon::{CordonNotice, Cordons},
    ids::LinkId,
};

use super::EntryProcess;
use crate::{
    cordon_records,
    interface::{CallerInterface, RecordPage, SiteStore},
    link::Frame,
};

/// Time since the last successful read of the operators' stream after which this entry no longer
/// counts as current: twice as long as the store may hold a read open, with its time-out.
const STORE_CONTACT_LIMIT: Duration = Duration::from_millis(2_500);

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Applies the cordons in a page of the operators' stream; `is_listing` tells whether the page
    /// has the newest record of each key.
    pub(super) fn apply_cordon_records(&self, page: &RecordPage, is_listing: bool) {
        let store = &self.store;
        self.update_cordons("store", |cordons| {
            if is_listing {
                cordon_records::adopt_listing(cordons, store, page)
            } else {
                cordon_records::apply_changes(cordons, store, page)
            }
        });
        self.operators_read_at.set(self.clock.now());
        self.check_store_contact();
    }

    /// Handles the cordons that another entry sent. Whether the sender is current does not matter
    /// here: each entry reads the stream itself.
    pub(super) fn handle_cordon_notice(&self, notice: CordonNotice) {
        self.update_cordons("entry", |cordons| cordons.adopt(notice.cordons));
    }

    /// Applies `update`; tells all linked processes if the zones have changed.
    fn update_cordons(&self, source: &'static str, update: impl FnOnce(&mut Cordons) -> bool) {
        let has_changed = self.with_core(|core, now| core.update_cordons(now, source, update));
        if has_changed {
            self.send_cordons_to_all();
        }
    }

    /// Tells all linked processes when this entry loses or regains contact with the store.
    pub(super) fn check_store_contact(&self) {
        let is_current =
            self.clock.now().saturating_sub(self.operators_read_at.get()) < STORE_CONTACT_LIMIT;
        if self.is_current.replace(is_current) != is_current {
            tracing::info!(is_current, "contact with the operators' stream changed");
            self.send_cordons_to_all();
        }
    }

    /// Sends the known cordons on one link.
    pub(super) fn send_cordons(&self, link: LinkId) {
        let cordons = self.core.borrow().cordons().clone();
        let is_current = self.is_current.get();
        self.send(link, Frame::Cordons(CordonNotice { cordons, is_current }));
    }

    fn send_cordons_to_all(&self) {
        let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
        for link in links {
            self.send_cordons(link);
        }
    }
}
