//! Decides when an entry requests a configuration from a peer.
//!
//! A configuration may be large and links may be narrow, so entries only advertise their versions
//! to each other. An entry that does not get a newer version from the store requests it from one
//! peer at a time.

use std::time::Duration;

use crate::clock::BootTime;

/// Time for which an entry waits for the store to deliver an advertised version before it requests
/// the version from a peer: several times as long as the store takes to answer.
const STORE_WAIT: Duration = Duration::from_millis(250);
/// Pause between two requests: enough to receive a large configuration on a narrow link.
const REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// State of the fetch of a newer configuration.
#[derive(Debug, Default)]
pub struct ConfigurationFetch {
    advertised_at: Option<BootTime>,
    requested_at: Option<BootTime>,
}

impl ConfigurationFetch {
    /// Handles the version `theirs` advertised by a peer, while `own` is in force here; returns
    /// whether to request the configuration from that peer now.
    ///
    /// An entry without a configuration can serve no job, and does not wait for the store.
    pub fn handle_advertised_version(
        &mut self,
        now: BootTime,
        own: Option<u64>,
        theirs: Option<u64>,
    ) -> bool {
        if theirs <= own {
            return false;
        }
        let advertised_at = *self.advertised_at.get_or_insert(now);
        let has_waited = own.is_none() || now.saturating_sub(advertised_at) >= STORE_WAIT;
        let is_requested =
            self.requested_at.is_some_and(|at| now.saturating_sub(at) < REQUEST_INTERVAL);
        if !has_waited || is_requested {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// Ends the fetch, since a newer version is in force.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
