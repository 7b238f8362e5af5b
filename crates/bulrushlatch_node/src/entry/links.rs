//! Links of an entry to agents and other entries.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    clock::{BootClock, BootTime},
    frame::{Hello, PeerFrame, Role},
    ids::{JobId, LinkId, ProcessId},
};
use tokio::net::TcpListener;

use super::EntryProcess;
use crate::{
    http_server,
    interface::{CallerInterface, SiteStore},
    link::{self, Frame, LinkReceiver, LinkSender},
    link_manager::{LinkManager, LinkOwner},
};

/// Time within which a process that has opened a link must send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between heartbeats on a link to another entry.
const PEER_HEARTBEAT: Duration = Duration::from_millis(300);
/// Time without a frame after which a link to another entry is closed and reopened: five
/// heartbeats.
const PEER_SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Shortest interval between two frames with new addresses on a link: entries that start together
/// discover each other within a few such intervals.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(40);

impl<C: CallerInterface, S: SiteStore> LinkOwner for EntryProcess<C, S> {
    fn link_manager(&self) -> &LinkManager {
        &self.link_manager
    }

    fn now(&self) -> BootTime {
        self.clock.now()
    }

    fn hello(&self) -> Hello {
        Hello::new(self.id.clone(), Role::Entry, Some(self.settings.link_address))
    }

    async fn serve(self: Rc<Self>, peer: Hello, sender: LinkSender, receiver: LinkReceiver) {
        if let Some(address) = peer.address {
            self.refresh_entry(address);
        }
        self.serve_peer(peer.process, sender, receiver, true).await;
    }
}

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Accepts links from agents and other entries until the process ends.
    pub(super) async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = http_server::accept(&listener).await;
            let (sender, receiver) = link::from_stream(stream);
            tokio::task::spawn_local(Rc::clone(&self).accept_link(sender, receiver));
        }
    }

    /// Exchanges hellos on a new link, then serves it until it closes.
    async fn accept_link(self: Rc<Self>, sender: LinkSender, mut receiver: LinkReceiver) {
        sender.send(Frame::Hello(self.hello()));
        let Some(hello) = receiver.receive_hello(&sender, HELLO_TIMEOUT).await else { return };
        match (hello.role, hello.address) {
            (Role::Agent, _) => self.serve_agent(hello.process, sender, receiver).await,
            (Role::Entry, Some(address)) => {
                self.refresh_entry(address);
                self.serve_peer(hello.process, sender, receiver, false).await;
            }
            (Role::Entry, None) => {}
        }
    }

    async fn serve_agent(&self, agent: ProcessId, sender: LinkSender, mut receiver: LinkReceiver) {
        let link = self.next_id();
        let version = sender.version();
        self.links.borrow_mut().insert(link, sender);
        self.with_core(|core, now| core.link_up(now, agent.clone(), link, version));
        self.send_cordons(link);
        self.send(link, Frame::Entries(self.known_entries()));
        while let Some(frame) = receiver.receive().await {
            if !self.links.borrow().contains_key(&link) {
                break;
            }
            match frame {
                Frame::Agent(frame) => {
                    self.with_core(|core, now| core.receive(now, &agent, link, frame));
                }
                Frame::Crashes(notice) => {
                    self.with_core(|core, now| core.receive_crashes(now, &agent, notice));
                }
                Frame::DemandSummary(summary) => {
                    // Nothing is to be sent because of it.
                    let now = self.clock.now();
                    self.core.borrow_mut().receive_demand_summary(now, &agent, link, summary);
                }
                _ => {}
            }
        }
        self.links.borrow_mut().remove(&link);
        self.with_core(|core, now| core.link_down(now, &agent, link));
    }

    /// Returns the link addresses of this and all known entries.
    fn known_entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.link_manager.known();
        entries.push(self.settings.link_address);
        entries
    }

    /// Records the address of an entry that was reached, or named by the store. If it is new,
    /// announces it on all links.
    pub(super) fn refresh_entry(&self, address: SocketAddr) {
        let now = self.clock.now();
        if address == self.settings.link_address {
            return;
        }
        if self.link_manager.refresh(address, now) {
            tracing::info!(%address, "entry discovered");
            self.announce_entry(address);
        }
    }

    fn announce_entry(&self, address: SocketAddr) {
        self.unannounced_entries.borrow_mut().push(address);
        self.entry_discovered.notify_one();
    }

    /// Sends newly discovered addresses on all links until the process ends. Addresses that are
    /// discovered close together share a frame.
    pub(super) async fn announce_entries(self: Rc<Self>) {
        loop {
            self.entry_discovered.notified().await;
            let addresses = self.unannounced_entries.take();
            let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
            for link in links {
                self.send(link, Frame::Entries(addresses.clone()));
            }
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    /// Serves a link to another entry; `is_dialed` tells whether this process opened it.
    async fn serve_peer(
        &self,
        peer: ProcessId,
        sender: LinkSender,
        mut receiver: LinkReceiver,
        is_dialed: bool,
    ) {
        let link = self.next_id();
        let version = sender.version();
        tracing::info!(%peer, link, "link to entry opened");
        self.links.borrow_mut().insert(link, sender);
        self.peers.borrow_mut().insert(link, peer.clone());
        self.update_entry_count();
        self.send_first_frames(link);
        self.open_delegation(link, &peer, version, is_dialed);
        let mut heartbeat = tokio::time::interval(PEER_HEARTBEAT);
        let mut received_at = self.clock.now();
        loop {
            tokio::select! {
                frame = receiver.receive() => {
                    received_at = self.clock.now();
                    match frame {
                        Some(Frame::Peer(frame)) => self.handle_peer_frame(link, frame),
                        Some(Frame::Entries(entries)) => self.add_entries(entries),
                        Some(Frame::Cordons(notice)) => self.handle_cordon_notice(notice),
                        Some(Frame::Isolation(notice)) => {
                            self.with_core(|core, now| core.receive_isolation(now, link, notice));
                        }
                        Some(Frame::Delegation(frame)) => self.handle_delegation_frame(link, frame),
                        Some(_) => {}
                        None => break,
                    }
                }
                _ = heartbeat.tick() => {
                    if self.clock.now().saturating_sub(received_at) > PEER_SILENCE_LIMIT {
                        break;
                    }
                    self.send(link, Frame::Peer(self.peer_frame()));
                    if !is_dialed {
                        self.advertise_delegation(link);
                    }
                }
            }
        }
        self.links.borrow_mut().remove(&link);
        self.peers.borrow_mut().remove(&link);
        self.close_delegation(link);
        self.configuration_fetch.borrow_mut().handle_link_closed(link);
        self.served_peers.borrow_mut().remove(link);
        self.update_entry_count();
        tracing::info!(%peer, link, "link to entry closed");
    }

    /// Sets the number of entries that share the targets: those with a link, and this one.
    fn update_entry_count(&self) {
        let peers = self.peers.borrow();
        let names: BTreeSet<&String> = peers.values().map(|peer| &peer.name).collect();
        let entries = names.len() as u32 + 1;
        self.core.borrow_mut().set_entry_count(entries);
    }

    fn send_first_frames(&self, link: LinkId) {
        self.send(link, Frame::Peer(self.peer_frame()));
        self.send(link, Frame::Entries(self.known_entries()));
        self.send_cordons(link);
    }

    /// Adds the addresses that another entry has sent, and announces those that are new.
    fn add_entries(&self, entries: Vec<SocketAddr>) {
        let now = self.clock.now();
        for address in entries {
            let is_own = address == self.settings.link_address;
            if !is_own && self.link_manager.add_unconfirmed(address, now) {
                tracing::info!(%address, "entry discovered through another entry");
                self.announce_entry(address);
            }
        }
    }

    pub(super) fn peer_frame(&self) -> PeerFrame {
        PeerFrame { version: self.core.borrow().version(), ..PeerFrame::default() }
    }

    fn handle_peer_frame(&self, link: LinkId, frame: PeerFrame) {
        if let Some(request) = frame.piece_request {
            self.answer_piece_request(link, &request);
        }
        if let Some(reply) = frame.piece_reply {
            self.handle_piece_reply(link, reply);
        }
        self.handle_advertised_version(link, frame.version);
        for job in frame.cancelled {
            self.with_core(|core, now| core.cancel(now, &job));
        }
    }

    /// Sends the version of the configuration in force to all other entries.
    pub(super) fn advertise_version(&self) {
        self.send_to_peers(&Frame::Peer(self.peer_frame()));
    }

    /// Sends the cancellation of a job that is not known here to all other entries.
    pub(super) fn forward_cancellation(&self, job: &JobId) {
        let frame = PeerFrame { cancelled: vec![job.clone()], ..self.peer_frame() };
        self.send_to_peers(&Frame::Peer(frame));
    }

    /// Sends a frame to all other entries.
    pub(super) fn send_to_peers(&self, frame: &Frame) {
        let links: Vec<LinkId> = self.peers.borrow().keys().copied().collect();
        for link in links {
            self.send(link, frame.clone());
        }
    }
}
