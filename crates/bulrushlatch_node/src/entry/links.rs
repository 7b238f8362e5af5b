//! Links to agents and other entries.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    clock::{BootClock, BootTime},
    frame::{FRAME_VERSION, Hello, PeerFrame, Role},
    ids::{JobId, LinkId, ProcessId},
};
use tokio::net::TcpListener;

use super::EntryProcess;
use crate::{
    http_server,
    interface::{CallerInterface, KeyedRecord, SiteStore},
    link::{self, Frame, LinkReceiver, LinkSender},
    link_manager::{LinkKeeper, LinkOwner},
};

/// Time in which the other side must say who it is.
const GREETING_PATIENCE: Duration = Duration::from_secs(1);
/// Pause between two frames on a link to another entry, which shows that it still works.
const PEER_HEARTBEAT: Duration = Duration::from_millis(300);
/// Time without a frame after which a link to another entry is replaced.
const PEER_SILENCE: Duration = Duration::from_millis(1500);

impl<C: CallerInterface, S: SiteStore> LinkOwner for EntryProcess<C, S> {
    fn keeper(&self) -> &LinkKeeper {
        &self.keeper
    }

    fn now(&self) -> BootTime {
        self.clock.now()
    }

    fn hello(&self) -> Hello {
        Hello {
            version: FRAME_VERSION,
            process: self.process.clone(),
            role: Role::Entry,
            address: Some(self.settings.link_address),
        }
    }

    async fn serve(self: Rc<Self>, peer: Hello, sender: LinkSender, receiver: LinkReceiver) {
        if let Some(address) = peer.address {
            self.note_entry(address);
        }
        self.serve_peer(peer.process, sender, receiver).await;
    }
}

impl<C: CallerInterface, S: SiteStore> EntryProcess<C, S> {
    /// Takes links of agents and other entries.
    pub(super) async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = http_server::accept(&listener).await;
            let (sender, receiver) = link::split(stream);
            tokio::task::spawn_local(Rc::clone(&self).greet(sender, receiver));
        }
    }

    async fn greet(self: Rc<Self>, sender: LinkSender, mut receiver: LinkReceiver) {
        sender.send(Frame::Hello(self.hello()));
        let Some(hello) = receiver.greeting(GREETING_PATIENCE).await else { return };
        match (hello.role, hello.address) {
            (Role::Agent, _) => self.serve_agent(hello.process, sender, receiver).await,
            (Role::Entry, Some(_)) => self.serve(hello, sender, receiver).await,
            (Role::Entry, None) => {}
        }
    }

    async fn serve_agent(&self, agent: ProcessId, sender: LinkSender, mut receiver: LinkReceiver) {
        let link = self.next_id();
        self.links.borrow_mut().insert(link, sender);
        self.act(|core, now| core.link_up(now, agent.clone(), link));
        self.send(link, Frame::Entries(self.known_entries()));
        while let Some(frame) = receiver.receive().await {
            if !self.links.borrow().contains_key(&link) {
                break;
            }
            if let Frame::Agent(frame) = frame {
                self.act(|core, now| core.receive(now, &agent, link, frame));
            }
        }
        self.links.borrow_mut().remove(&link);
        self.act(|core, now| core.link_down(now, &agent, link));
    }

    fn known_entries(&self) -> Vec<SocketAddr> {
        let mut entries = self.keeper.known();
        entries.push(self.settings.link_address);
        entries
    }

    /// Notes the address of an entry that is alive, and tells everybody if it is new.
    pub(super) fn note_entry(&self, address: SocketAddr) {
        let now = self.clock.now();
        if address == self.settings.link_address {
            return;
        }
        if self.keeper.note(address, now) {
            tracing::info!(%address, "entry found");
            self.tell_everybody_entries();
        }
    }

    fn tell_everybody_entries(&self) {
        let links: Vec<LinkId> = self.links.borrow().keys().copied().collect();
        for link in links {
            self.send(link, Frame::Entries(self.known_entries()));
        }
    }

    async fn serve_peer(&self, peer: ProcessId, sender: LinkSender, mut receiver: LinkReceiver) {
        let link = self.next_id();
        tracing::info!(%peer, link, "entry linked");
        self.links.borrow_mut().insert(link, sender);
        self.peers.borrow_mut().insert(link, peer.clone());
        self.count_entries();
        self.greet_peer(link);
        let mut heartbeat = tokio::time::interval(PEER_HEARTBEAT);
        let mut received_at = self.clock.now();
        loop {
            tokio::select! {
                frame = receiver.receive() => {
                    received_at = self.clock.now();
                    match frame {
                        Some(Frame::Peer(frame)) => self.receive_from_peer(link, frame),
                        Some(Frame::Entries(entries)) => self.hear_of_entries(entries),
                        Some(_) => {}
                        None => break,
                    }
                }
                _ = heartbeat.tick() => {
                    if self.clock.now().saturating_sub(received_at) > PEER_SILENCE {
                        break;
                    }
                    self.send(link, Frame::Peer(self.peer_frame()));
                }
            }
        }
        self.links.borrow_mut().remove(&link);
        self.peers.borrow_mut().remove(&link);
        self.count_entries();
        tracing::info!(%peer, link, "entry's link closed");
    }

    fn count_entries(&self) {
        let peers = self.peers.borrow();
        let names: BTreeSet<&String> = peers.values().map(|peer| &peer.name).collect();
        let entries = names.len() as u32 + 1;
        self.core.borrow_mut().set_entry_count(entries);
    }

    fn greet_peer(&self, link: LinkId) {
        self.send(link, Frame::Peer(self.peer_frame()));
        self.send(link, Frame::Entries(self.known_entries()));
    }

    fn hear_of_entries(&self, entries: Vec<SocketAddr>) {
        let now = self.clock.now();
        for address in entries {
            let is_own = address == self.settings.link_address;
            if !is_own && self.keeper.hear(address, now) {
                tracing::info!(%address, "entry named by another");
                self.tell_everybody_entries();
            }
        }
    }

    fn peer_frame(&self) -> PeerFrame {
        PeerFrame { version: self.core.borrow().version(), ..PeerFrame::default() }
    }

    fn receive_from_peer(&self, link: LinkId, frame: PeerFrame) {
        let own = self.core.borrow().version();
        if self.hand_over.borrow_mut().handle_advertised_version(
            self.clock.now(),
            own,
            frame.version,
        ) {
            tracing::info!(own, theirs = frame.version, link, "asking for a configuration");
            let wants = PeerFrame { wants_configuration: true, ..self.peer_frame() };
            self.send(link, Frame::Peer(wants));
        }
        if frame.wants_configuration {
            let configuration = self.configuration.borrow().as_ref().map(text_of);
            self.send(link, Frame::Peer(PeerFrame { configuration, ..self.peer_frame() }));
        }
        if let Some(text) = frame.configuration {
            let record =
                KeyedRecord { key: self.store.routes_key().to_owned(), value: text.into_bytes() };
            self.take_configuration(record, "entry");
        }
        for job in frame.cancelled {
            self.act(|core, now| core.cancel(now, &job));
        }
    }

    /// Tells all other entries which configuration is in force here.
    pub(super) fn tell_peers_version(&self) {
        self.tell_peers(&self.peer_frame());
    }

    /// Tells all other entries of a cancelled job that is not known here.
    pub(super) fn tell_peers_cancelled(&self, job: &JobId) {
        self.tell_peers(&PeerFrame { cancelled: vec![job.clone()], ..self.peer_frame() });
    }

    fn tell_peers(&self, frame: &PeerFrame) {
        let links: Vec<LinkId> = self.peers.borrow().keys().copied().collect();
        for link in links {
            self.send(link, Frame::Peer(frame.clone()));
        }
    }
}

fn text_of(record: &KeyedRecord) -> String {
    String::from_utf8_lossy(&record.value).into_owned()
}
