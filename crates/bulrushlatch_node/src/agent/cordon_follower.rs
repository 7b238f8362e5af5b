//! Cordoned zones that an agent learns from entries, or from the store while no entry can tell.

use std::{rc::Rc, time::Duration};

use bulrushlatch_dispatch::{cordon::CordonNotice, ids::LinkId};

use super::AgentProcess;
use crate::{
    cordon_records,
    interface::{AnnouncementInterface, LeasedTarget, SiteStore, StoreError, Stream},
};

/// Time without a current entry after which the agent reads the store itself; links are reopened
/// and entries started within it.
const UNINFORMED_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which the store may hold a read open.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_000);
/// Mean pause after a failed read; the actual pause varies by up to half.
const RETRY_PAUSE: Duration = Duration::from_millis(1_500);

impl<T: LeasedTarget, A: AnnouncementInterface, S: SiteStore> AgentProcess<T, A, S> {
    /// Handles the cordons that the entry on `link` sent.
    pub(super) fn handle_cordon_notice(self: &Rc<Self>, link: LinkId, notice: CordonNotice) {
        let CordonNotice { cordons, is_current } = notice;
        self.with_core(|core, _| core.update_cordons("entry", |own| own.adopt(cordons)));
        self.set_current(link, is_current);
    }

    /// Records whether the entry on `link` follows the operators' stream.
    pub(super) fn set_current(&self, link: LinkId, is_current: bool) {
        let mut links = self.current_links.borrow_mut();
        if is_current {
            links.insert(link);
        } else {
            links.remove(&link);
        }
        self.current_links_changed.notify_one();
    }

    fn is_informed(&self) -> bool {
        !self.current_links.borrow().is_empty()
    }

    /// Follows the operators' stream in the store while no linked entry does, until the process ends.
    pub(super) async fn follow_cordons(self: Rc<Self>) {
        loop {
            self.wait_until_uninformed().await;
            tracing::info!("no entry follows the operators' stream: reading the store");
            while !self.is_informed() {
                if let Err(error) = self.read_cordons().await {
                    tracing::info!(fault = %error, "cordons not read from the store");
                    tokio::time::sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
        }
    }

    async fn wait_until_uninformed(&self) {
        loop {
            while self.is_informed() {
                self.current_links_changed.notified().await;
            }
            tokio::time::sleep(UNINFORMED_LIMIT).await;
            if !self.is_informed() {
                return;
            }
        }
    }

    async fn read_cordons(self: &Rc<Self>) -> Result<(), StoreError> {
        let known_offset = self.core.borrow().cordons().offset;
        let followed = match known_offset {
            0 => Err(StoreError::Expired),
            from => self.store.follow(Stream::Configuration, from, FOLLOW_WAIT).await,
        };
        match followed {
            Ok(page) => self.with_core(|core, _| {
                core.update_cordons("store", |own| {
                    cordon_records::apply_changes(own, &self.store, &page)
                });
            }),
            Err(StoreError::Expired) => {
                let page = self.store.newest(Stream::Configuration).await?;
                self.with_core(|core, _| {
                    core.update_cordons("store", |own| {
                        cordon_records::adopt_listing(own, &self.store, &page)
                    });
                });
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }
}
