//! Links to all entries, opened again when they break.

use std::{
    cell::RefCell, collections::BTreeSet, future::Future, net::SocketAddr, rc::Rc, time::Duration,
};

use bulrushlatch_dispatch::{clock::BootTime, directory::Directory, frame::Hello};

use crate::link::{self, Frame, LinkReceiver, LinkSender};

/// Time in which the other side must say who it is.
const GREETING_PATIENCE: Duration = Duration::from_millis(500);
/// Pause before a link is opened again: an agent's contact must not lapse meanwhile.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause, for addresses at which nobody listens.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Pause between looks at which links are missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Which entries there are, and which links are kept.
#[derive(Debug)]
pub struct LinkKeeper {
    directory: RefCell<Directory>,
    /// Addresses for which a task keeps a link. The own address counts, so that nobody calls itself.
    dialled: RefCell<BTreeSet<SocketAddr>>,
    /// Addresses to which a link is open.
    linked: RefCell<BTreeSet<SocketAddr>>,
}

/// A process that keeps links to entries.
pub trait LinkOwner: 'static {
    /// Returns what keeps the links.
    fn keeper(&self) -> &LinkKeeper;

    /// Returns the time.
    fn now(&self) -> BootTime;

    /// Returns what this process says first.
    fn hello(&self) -> Hello;

    /// Serves an open link until it breaks.
    fn serve(
        self: Rc<Self>,
        peer: Hello,
        sender: LinkSender,
        receiver: LinkReceiver,
    ) -> impl Future<Output = ()>;
}

impl LinkKeeper {
    /// Returns a keeper that knows the addresses given in the settings.
    pub fn new(seeds: &[SocketAddr], own: Option<SocketAddr>) -> Self {
        Self {
            directory: RefCell::new(Directory::new(seeds.iter().copied())),
            dialled: RefCell::new(own.into_iter().collect()),
            linked: RefCell::default(),
        }
    }

    /// Notes that an entry was reached, or named by the store; returns whether it is new.
    pub fn note(&self, address: SocketAddr, now: BootTime) -> bool {
        self.directory.borrow_mut().refresh(address, now)
    }

    /// Notes an address that another process named; returns whether it is new.
    pub fn hear(&self, address: SocketAddr, now: BootTime) -> bool {
        self.directory.borrow_mut().add_unconfirmed(address, now)
    }

    /// Returns the addresses that have been reached or named.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.directory.borrow().known()
    }

    /// Returns the addresses to which no link is kept yet, and counts them as kept.
    fn take_missing(&self, now: BootTime) -> Vec<SocketAddr> {
        for &address in self.linked.borrow().iter() {
            self.note(address, now);
        }
        let mut directory = self.directory.borrow_mut();
        directory.remove_expired(now);
        let mut dialled = self.dialled.borrow_mut();
        let addresses = directory.addresses().into_iter();
        addresses.filter(|address| dialled.insert(*address)).collect()
    }

    fn is_wanted(&self, address: SocketAddr) -> bool {
        self.directory.borrow().addresses().contains(&address)
    }
}

/// Keeps links to all known entries until the process ends.
pub async fn keep_links<O: LinkOwner>(owner: Rc<O>) {
    loop {
        for address in owner.keeper().take_missing(owner.now()) {
            tokio::task::spawn_local(keep_link(Rc::clone(&owner), address));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn keep_link<O: LinkOwner>(owner: Rc<O>, address: SocketAddr) {
    let mut pause = RECONNECT_PAUSE;
    while owner.keeper().is_wanted(address) {
        if let Ok((sender, mut receiver)) = link::connect(address).await {
            sender.send(Frame::Hello(owner.hello()));
            if let Some(peer) = receiver.greeting(GREETING_PATIENCE).await {
                pause = RECONNECT_PAUSE;
                owner.keeper().linked.borrow_mut().insert(address);
                Rc::clone(&owner).serve(peer, sender, receiver).await;
                owner.keeper().linked.borrow_mut().remove(&address);
            }
        }
        let jitter = 0.5 + fastrand::f64();
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    owner.keeper().dialled.borrow_mut().remove(&address);
}
