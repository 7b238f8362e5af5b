//! Which entries there are.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::clock::BootTime;

/// Time without a link after which an address that others no longer name is forgotten. Longer than
/// outages of the store and restarts of a VM.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Addresses of entries, from settings, the store and other processes.
#[derive(Debug, Default)]
pub struct Directory {
    seeds: BTreeSet<SocketAddr>,
    /// Time at which each address was last named by a live source or reached.
    known: BTreeMap<SocketAddr, BootTime>,
}

impl Directory {
    /// Returns a directory that never forgets the addresses given in the settings.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { seeds: seeds.into_iter().collect(), known: BTreeMap::new() }
    }

    /// Notes that an entry was reached, or named by the store; returns whether it is new.
    pub fn refresh(&mut self, address: SocketAddr, now: BootTime) -> bool {
        self.known.insert(address, now).is_none()
    }

    /// Notes an address that another process named, which proves less than a link.
    pub fn add_unconfirmed(&mut self, address: SocketAddr, now: BootTime) -> bool {
        if self.known.contains_key(&address) {
            return false;
        }
        self.refresh(address, now)
    }

    /// Forgets addresses that nobody has reached for long.
    pub fn remove_expired(&mut self, now: BootTime) {
        self.known.retain(|_, seen| now.saturating_sub(*seen) < FORGET_AFTER);
    }

    /// Returns all addresses to keep links to.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.seeds.iter().chain(self.known.keys()).copied().collect()
    }

    /// Returns the addresses that have been reached or named, without those of the settings alone.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.known.keys().copied().collect()
    }
}
