//! Fetch of a newer configuration from other entries.
//!
//! A configuration may be large and links may be narrow, so entries only advertise their versions
//! to each other. An entry that does not get a newer version from the store fetches it from one
//! peer at a time, in pieces: it requests each piece once the last one has arrived, so that orders
//! and heartbeats are never behind more than one piece. If the peer falls silent, another one that
//! has the same version sends the rest.

use std::time::Duration;

use crate::{
    clock::BootTime,
    configuration_transfer::{MAX_TRANSFER_BYTES, PieceReply, PieceRequest, TransferId},
    ids::LinkId,
};

/// Time for which an entry waits for the store to deliver an advertised version before it requests
/// the version from a peer: several times as long as the store takes to answer.
const STORE_WAIT: Duration = Duration::from_millis(250);
/// Time without a piece after which the rest is requested from another peer: several times as long
/// as one takes on a narrow link that two transfers share.
const PIECE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a peer was too busy to send a piece.
const BUSY_PAUSE: Duration = Duration::from_millis(50);

/// What to do after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Send this request on the link on which the reply arrived.
    Request(PieceRequest),
    /// The transfer is complete.
    Complete {
        /// The transfer.
        transfer: TransferId,
        /// All bytes of the transfer.
        bytes: Vec<u8>,
    },
    /// Wait for further advertisements.
    Wait,
}

/// State of the fetch of a newer configuration.
#[derive(Debug, Default)]
pub struct ConfigurationFetch {
    advertised_at: Option<BootTime>,
    /// Link to the peer that sends pieces.
    source: Option<LinkId>,
    /// When a piece was last requested.
    requested_at: BootTime,
    /// No peer is asked before this time.
    paused_until: BootTime,
    /// The transfer of which pieces have arrived.
    transfer: Option<TransferId>,
    /// Pieces that have arrived, without gaps, from offset 0 on.
    received: Vec<u8>,
}

impl ConfigurationFetch {
    /// Handles the version `theirs` advertised by the peer on `link`, while `own` is in force here;
    /// returns the request to send to that peer now, if any. `from_store` tells whether the store is
    /// sending a configuration.
    ///
    /// An entry without a configuration can serve no job, and does not wait for the store.
    pub fn handle_advertised_version(
        &mut self,
        now: BootTime,
        link: LinkId,
        own: Option<u64>,
        theirs: Option<u64>,
        from_store: bool,
    ) -> Option<PieceRequest> {
        if theirs <= own {
            return None;
        }
        let advertised_at = *self.advertised_at.get_or_insert(now);
        let has_waited = own.is_none() || now.saturating_sub(advertised_at) >= STORE_WAIT;
        let is_served =
            self.source.is_some() && now.saturating_sub(self.requested_at) < PIECE_TIMEOUT;
        if from_store || !has_waited || is_served || now < self.paused_until {
            return None;
        }
        self.source = Some(link);
        Some(self.request(now))
    }

    fn request(&mut self, now: BootTime) -> PieceRequest {
        self.requested_at = now;
        PieceRequest { transfer: self.transfer, offset_bytes: self.received.len() as u32 }
    }

    /// Handles the reply to a request that was sent on `link`.
    pub fn handle_reply(&mut self, now: BootTime, link: LinkId, reply: PieceReply) -> FetchStep {
        if self.source != Some(link) {
            return FetchStep::Wait;
        }
        let PieceReply::Piece { transfer, offset_bytes, bytes } = reply else {
            self.source = None;
            self.paused_until = now + BUSY_PAUSE;
            return FetchStep::Wait;
        };
        if self.transfer != Some(transfer) {
            self.received.clear();
            self.transfer = Some(transfer);
        }
        if offset_bytes as usize != self.received.len() {
            // Requested again after a timeout, and received twice.
            return FetchStep::Wait;
        }
        let total = transfer.total_bytes as usize;
        let fits = total <= MAX_TRANSFER_BYTES && self.received.len() + bytes.len() <= total;
        if !fits || bytes.is_empty() {
            self.abandon();
            return FetchStep::Wait;
        }
        self.received.extend(bytes);
        if self.received.len() < total {
            return FetchStep::Request(self.request(now));
        }
        let bytes = std::mem::take(&mut self.received);
        self.abandon();
        FetchStep::Complete { transfer, bytes }
    }

    /// Forgets the transfer, so that the next one begins anew.
    fn abandon(&mut self) {
        self.source = None;
        self.transfer = None;
        self.received.clear();
    }

    /// Records that a link has closed.
    pub fn handle_link_closed(&mut self, link: LinkId) {
        if self.source == Some(link) {
            self.source = None;
        }
    }

    /// Ends the fetch, since a newer version is in force.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
