//! Links to entries.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bulrushlatch_dispatch::{
    clock::{BootClock, BootTime},
    frame::{FRAME_VERSION, Hello, Role},
};

use super::AgentProcess;
use crate::{
    interface::{AnnouncementInterface, LeasedTarget, SiteStore, Stream},
    link::{Frame, LinkReceiver, LinkSender},
    link_manager::{LinkKeeper, LinkOwner},
};

/// Pause between reads of the entries' addresses in the store: entries tell of changes, too.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(10);
/// The same after a failed read, or while no entry is linked.
const URGENT_INTERVAL: Duration = Duration::from_secs(1);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> LinkOwner for AgentProcess<T, A, S> {
    fn keeper(&self) -> &LinkKeeper {
        &self.keeper
    }

    fn now(&self) -> BootTime {
        self.clock.now()
    }

    fn hello(&self) -> Hello {
        let process = self.process.clone();
        Hello { version: FRAME_VERSION, process, role: Role::Agent, address: None }
    }

    async fn serve(self: Rc<Self>, peer: Hello, sender: LinkSender, mut receiver: LinkReceiver) {
        let link = self.last_link.get() + 1;
        self.last_link.set(link);
        let entry = peer.process;
        tracing::info!(%entry, link, "entry linked");
        self.links.borrow_mut().insert(link, sender);
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
}

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    fn hear_of_entries(&self, entries: &[SocketAddr]) {
        let now = self.clock.now();
        for address in entries {
            self.keeper.hear(*address, now);
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
                            self.keeper.note(address, now);
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
