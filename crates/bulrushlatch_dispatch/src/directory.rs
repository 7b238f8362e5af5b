//! Discovery of the entries of a site.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::clock::BootTime;

/// Time after which an address is removed if it was neither reached nor named by the store. Longer
/// than outages of the store and restarts of a VM.
const EXPIRE_AFTER: Duration = Duration::from_secs(60);

/// Addresses of entries, from settings, the store and other processes.
#[derive(Debug, Default)]
pub struct Directory {
    seeds: BTreeSet<SocketAddr>,
    /// When each address was last reached or named by the store; for one that only other processes
    /// have named, when it was added.
    refreshed_at: BTreeMap<SocketAddr, BootTime>,
}

impl Directory {
    /// Returns a directory that always keeps the addresses given in the settings.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { seeds: seeds.into_iter().collect(), refreshed_at: BTreeMap::new() }
    }

    /// Records that an entry was reached, or named by the store; returns whether it is new.
    pub fn refresh(&mut self, address: SocketAddr, now: BootTime) -> bool {
        self.refreshed_at.insert(address, now).is_none()
    }

    /// Adds an address that another process named; returns whether it is new.
    ///
    /// Does not extend the time of a known address, since processes may name entries that are gone.
    pub fn add_unconfirmed(&mut self, address: SocketAddr, now: BootTime) -> bool {
        if self.refreshed_at.contains_key(&address) {
            return false;
        }
        self.refresh(address, now)
    }

    /// Removes addresses that were neither added nor refreshed within `EXPIRE_AFTER`.
    pub fn remove_expired(&mut self, now: BootTime) {
        self.refreshed_at
            .retain(|_, refreshed_at| now.saturating_sub(*refreshed_at) < EXPIRE_AFTER);
    }

    /// Returns all addresses to keep links to.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.seeds.iter().chain(self.refreshed_at.keys()).copied().collect()
    }

    /// Returns the addresses that have been reached or named, without those of the settings alone.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.refreshed_at.keys().copied().collect()
    }
}
