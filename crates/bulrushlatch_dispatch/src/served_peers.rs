//! Limits the peers to which an entry sends its configuration at the same time, since they share its
//! link with orders and heartbeats.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::BootTime, ids::LinkId};

/// Maximum number of peers to which an entry sends pieces at the same time.
const MAX_SERVED_PEERS: usize = 2;
/// Time after its last request for which a peer counts as being served.
const SERVED_FOR: Duration = Duration::from_millis(300);

/// Peers to which an entry sends its configuration.
#[derive(Debug, Default)]
pub struct ServedPeers {
    /// When each peer last requested a piece.
    requested_at: BTreeMap<LinkId, BootTime>,
}

impl ServedPeers {
    /// Records a request from the peer on `link`; returns whether to send it a piece.
    pub fn admit(&mut self, now: BootTime, link: LinkId) -> bool {
        self.requested_at.retain(|_, at| now.saturating_sub(*at) < SERVED_FOR);
        let may_serve = self.requested_at.len() < MAX_SERVED_PEERS;
        if may_serve || self.requested_at.contains_key(&link) {
            self.requested_at.insert(link, now);
            return true;
        }
        false
    }

    /// Records that the peer on `link` has received everything, or is gone.
    pub fn remove(&mut self, link: LinkId) {
        self.requested_at.remove(&link);
    }
}
