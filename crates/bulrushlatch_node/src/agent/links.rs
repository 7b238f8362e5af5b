//! Links to entries.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootClock,
    frame::{FRAME_VERSION, Hello, Role},
};

use super::AgentProcess;
use crate::{
    interface::{AnnouncementInterface, LeasedTarget, SiteStore, Stream},
    link::{self, Frame, LinkReceiver, LinkSender},
};

/// Time in which an entry must say who it is.
const GREETING_PATIENCE: Duration = Duration::from_millis(500);
/// Pause before a link is opened again: the contact must not lapse meanwhile.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause, for addresses at which nobody listens.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Pause between looks at which links are missing.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between reads of the entries' addresses in the store: entries tell of changes, too.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(10);
/// The same after a failed read, or while no entry is linked.
const URGENT_INTERVAL: Duration = Duration::from_secs(1);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Keeps links to all entries.
    pub(super) async fn keep_links(self: Rc<Self>) {
        let mut dialled: BTreeSet<SocketAddr> = BTreeSet::new();
        loop {
            let now = self.clock.now();
            self.directory.borrow_mut().forget_old(now);
            let addresses = self.directory.borrow().addresses();
            for address in addresses {
                if dialled.insert(address) {
                    tokio::task::spawn_local(Rc::clone(&self).keep_link(address));
                }
            }
            tokio::time::sleep(LINK_CHECK_INTERVAL).await;
        }
    }

    async fn keep_link(self: Rc<Self>, address: SocketAddr) {
        let mut pause = RECONNECT_PAUSE;
        loop {
            if let Ok((sender, mut receiver)) = link::connect(address).await {
                let process = self.process.clone();
                sender.send(Frame::Hello(Hello {
                    version: FRAME_VERSION,
                    process,
                    role: Role::Agent,
                    address: None,
                }));
                if let Some(hello) = receiver.greeting(GREETING_PATIENCE).await {
                    pause = RECONNECT_PAUSE;
                    self.serve_entry(address, hello, sender, receiver).await;
                }
            }
            let jitter = 0.5 + fastrand::f64();
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn serve_entry(
        self: &Rc<Self>,
        address: SocketAddr,
        hello: Hello,
        sender: LinkSender,
        mut receiver: LinkReceiver,
    ) {
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let entry = hello.process;
        tracing::info!(%entry, link, "entry linked");
        self.links.borrow_mut().insert(link, sender);
        self.directory.borrow_mut().note(address, self.clock.now());
        self.act(|core, now| core.link_up(now, entry.clone(), link));
        while let Some(frame) = receiver.receive().await {
            // A link that was given up must not bring orders any more.
            if !self.links.borrow().contains_key(&link) {
                break;
            }
            match frame {
                Frame::Entry(frame) => {
                    self.act(|core, now| core.receive(now, &entry, link, frame));
                }
                Frame::Entries(entries) => self.hear_of_entries(&entries),
                Frame::Hello(_) | Frame::Agent(_) | Frame::Peer(_) => {}
            }
        }
        self.links.borrow_mut().remove(&link);
        self.act(|core, _| core.link_down(&entry, link));
        tracing::info!(%entry, link, "entry's link closed");
    }

    fn hear_of_entries(&self, entries: &[SocketAddr]) {
        let now = self.clock.now();
        for address in entries {
            self.directory.borrow_mut().hear(*address, now);
        }
    }

    /// Gives up links on which nothing arrives, so that new ones are opened.
    pub(super) fn drop_silent_links(&self) {
        let silent = self.core.borrow().silent_links(self.clock.now());
        for link in silent {
            if self.links.borrow_mut().remove(&link).is_some() {
                tracing::info!(link, "link silent: closing it");
            }
        }
    }

    /// Reads the entries' addresses in the store.
    pub(super) async fn read_entries(self: Rc<Self>) {
        loop {
            let mut pause = ENTRIES_INTERVAL;
            match self.store.newest(Stream::Entries).await {
                Ok(page) => {
                    let now = self.clock.now();
                    for record in page.records {
                        if let (Ok(address), false) = (record.key.parse(), record.value.is_empty())
                        {
                            self.directory.borrow_mut().note(address, now);
                        }
                    }
                }
                Err(fault) => {
                    tracing::info!(%fault, "addresses of entries not read");
                    pause = URGENT_INTERVAL;
                }
            }
            if self.links.borrow().is_empty() {
                pause = URGENT_INTERVAL;
            }
            tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        }
    }
}
