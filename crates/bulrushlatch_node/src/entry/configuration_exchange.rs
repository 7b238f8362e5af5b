//! Configurations that entries send each other.

use std::rc::Rc;

use bulrushlatch_dispatch::{
    clock::BootClock,
    configuration_fetch::FetchStep,
    configuration_transfer::{PieceReply, PieceRequest, TransferId, piece_of},
    frame::PeerFrame,
    ids::LinkId,
};

use super::{EntryProcess, encoded_configuration::EncodedConfiguration};
use crate::{
    interface::{CallerInterface, KeyedRecord, SiteStore},
    link::Frame,
};

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Handles the version that a peer advertises, and requests it if it is to be fetched there.
    pub(super) fn handle_advertised_version(&self, link: LinkId, theirs: Option<u64>) {
        let own = self.core.borrow().version();
        let request = self.configuration_fetch.borrow_mut().handle_advertised_version(
            self.clock.now(),
            link,
            own,
            theirs,
            self.store.is_receiving_configuration(),
        );
        if let Some(request) = request {
            tracing::info!(
                own,
                theirs,
                link,
                offset_bytes = request.offset_bytes,
                "requesting a newer configuration"
            );
            self.request_piece(link, request);
        }
    }

    fn request_piece(&self, link: LinkId, request: PieceRequest) {
        let frame = PeerFrame { piece_request: Some(request), ..self.peer_frame() };
        self.send(link, Frame::Peer(frame));
    }

    /// Answers a peer's request for a piece of the configuration in force.
    pub(super) fn answer_piece_request(&self, link: LinkId, request: &PieceRequest) {
        let reply = self.piece_reply(link, request);
        let frame = PeerFrame { piece_reply: Some(reply), ..self.peer_frame() };
        self.send(link, Frame::Peer(frame));
    }

    fn piece_reply(&self, link: LinkId, request: &PieceRequest) -> PieceReply {
        let Some(encoded) = self.encoded_configuration() else { return PieceReply::Busy };
        if !self.served_peers.borrow_mut().admit(self.clock.now(), link) {
            return PieceReply::Busy;
        }
        piece_of(encoded.transfer, &encoded.bytes, request)
    }

    /// Returns the configuration in force, encoded when it is first needed.
    fn encoded_configuration(&self) -> Option<Rc<EncodedConfiguration>> {
        let version = self.core.borrow().version()?;
        let mut cached = self.encoded_configuration.borrow_mut();
        if let Some(encoded) = cached.as_ref()
            && encoded.transfer.version == version
        {
            return Some(Rc::clone(encoded));
        }
        let record = self.configuration_record.borrow();
        let encoded = EncodedConfiguration::new(version, &record.as_ref()?.value);
        let encoded = Rc::new(encoded);
        *cached = Some(Rc::clone(&encoded));
        Some(encoded)
    }

    /// Handles a peer's answer to a request for a piece.
    pub(super) fn handle_piece_reply(&self, link: LinkId, reply: PieceReply) {
        let now = self.clock.now();
        let step = self.configuration_fetch.borrow_mut().handle_reply(now, link, reply);
        match step {
            FetchStep::Request(request) => self.request_piece(link, request),
            FetchStep::Complete { transfer, bytes } => self.apply_transfer(transfer, bytes),
            FetchStep::Wait => {}
        }
    }

    fn apply_transfer(&self, transfer: TransferId, bytes: Vec<u8>) {
        match (EncodedConfiguration { transfer, bytes }).decode() {
            Ok(value) => {
                let record = KeyedRecord { key: self.store.routes_key().to_owned(), value };
                self.handle_configuration_record(record, "entry");
            }
            Err(error) => {
                let version = transfer.version;
                tracing::info!(version, fault = %error, "received configuration ignored");
            }
        }
    }
}
