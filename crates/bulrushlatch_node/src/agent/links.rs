//! Links of an agent to entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    clock::{BootClock, BootTime},
    frame::{Hello, Role},
};

use super::AgentProcess;
use crate::{
    interface::{AnnouncementInterface, LeasedTarget, SiteStore, Stream},
    link::{Frame, LinkReceiver, LinkSender},
    link_manager::{LinkManager, LinkOwner},
};

/// Interval between reads of the entries' addresses from the store: long, since entries also send
/// new addresses over the links.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(10);
/// Interval after a failed read, or while no link to an entry is open.
const URGENT_ENTRIES_INTERVAL: Duration = Duration::from_secs(1);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> LinkOwner for AgentProcess<T, A, S> {
    fn link_manager(&self) -> &LinkManager {
        &self.link_manager
    }

    fn now(&self) -> BootTime {
        self.clock.now()
    }

    fn hello(&self) -> Hello {
        Hello::new(self.id.clone(), Role::Agent, None)
    }

    async fn serve(self: Rc<Self>, peer: Hello, sender: LinkSender, mut receiver: LinkReceiver) {
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let entry = peer.process;
        let version = sender.version();
        tracing::info!(%entry, link, version, "link to entry opened");
        self.links.borrow_mut().insert(link, sender);
        self.with_core(|core, now| core.link_up(now, entry.clone(), link, version));
        while let Some(frame) = receiver.receive().await {
            // Orders that arrive after this process has closed the link must be ignored.
            if !self.links.borrow().contains_key(&link) {
                break;
            }
            match frame {
                Frame::Entry(frame) => {
                    self.with_core(|core, now| core.receive(now, &entry, link, frame));
                }
                Frame::Demand(statement) => {
                    // Nothing is to be sent because of it.
                    let now = self.clock.now();
                    self.core.borrow_mut().receive_demand(now, &entry, link, statement);
                }
                Frame::Isolation(notice) => {
                    self.with_core(|core, now| core.receive_isolation(now, &notice));
                }
                Frame::Entries(entries) => self.add_entries(&entries),
                Frame::Cordons(notice) => self.handle_cordon_notice(link, notice),
                _ => {}
            }
        }
        self.links.borrow_mut().remove(&link);
        self.with_core(|core, _| core.link_down(&entry, link));
        self.set_current(link, false);
        tracing::info!(%entry, link, "link to entry closed");
    }
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Adds the addresses that an entry has sent.
    fn add_entries(&self, entries: &[SocketAddr]) {
        let now = self.clock.now();
        for address in entries {
            self.link_manager.add_unconfirmed(*address, now);
        }
    }

    /// Closes links on which nothing arrives, so that they are reopened.
    pub(super) fn close_silent_links(&self) {
        let silent = self.core.borrow().silent_links(self.clock.now());
        for link in silent {
            if self.links.borrow_mut().remove(&link).is_some() {
                tracing::info!(link, "link is silent: closing it");
            }
        }
    }

    /// Reads the entries' addresses from the store until the process ends.
    pub(super) async fn read_entries(self: Rc<Self>) {
        loop {
            let mut pause = ENTRIES_INTERVAL;
            match self.store.newest(Stream::Entries).await {
                Ok(page) => {
                    let now = self.clock.now();
                    for record in page.records {
                        match record.key.parse() {
                            Ok(_) if record.value.is_empty() => {}
                            Ok(address) => {
                                self.link_manager.refresh(address, now);
                            }
                            Err(_) => tracing::info!(
                                key = record.key,
                                "entry record ignored: its key is not an address"
                            ),
                        }
                    }
                }
                Err(error) => {
                    tracing::info!(fault = %error, "addresses of entries not read from the store");
                    pause = URGENT_ENTRIES_INTERVAL;
                }
            }
            if self.links.borrow().is_empty() {
                pause = URGENT_ENTRIES_INTERVAL;
            }
            tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        }
    }
}
