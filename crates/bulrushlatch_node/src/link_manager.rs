//! Maintains a link to every known entry and reopens broken links.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bulrushlatch_dispatch::{clock::BootTime, directory::Directory, frame::Hello};

use crate::link::{self, Frame, LinkReceiver, LinkSender};

/// Time within which an entry must send its hello on a link that this process opened.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean pause before a broken link is reopened: well below the contact limit, after which an agent
/// stops the runs of a silent entry. The actual pause varies by up to half.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Longest mean pause between attempts, reached for addresses on which no process listens.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// The same while no link is open, and for [`DISCOVERY_TIME`] after one has opened: processes that
/// lost power together also return together, and nothing is served before the links are open.
const MAX_DISCOVERY_PAUSE: Duration = Duration::from_millis(40);
/// Time after a link has opened for which others are expected to open.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Interval between checks for addresses without a link.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Known addresses of entries, and the state of the links to them.
#[derive(Debug)]
pub struct LinkManager {
    directory: RefCell<Directory>,
    /// Addresses to which a task maintains a link. Includes the process's own address, so that it
    /// does not connect to itself.
    maintained: RefCell<BTreeSet<SocketAddr>>,
    /// Addresses to which a link is open.
    open: RefCell<BTreeSet<SocketAddr>>,
    /// When a link last opened.
    opened_at: Cell<BootTime>,
}

/// A process that maintains links to entries.
pub trait LinkOwner: 'static {
    /// Returns the state of the process's links.
    fn link_manager(&self) -> &LinkManager;

    /// Returns the current time.
    fn now(&self) -> BootTime;

    /// Returns the first frame that this process sends on a link.
    fn hello(&self) -> Hello;

    /// Handles the frames of an open link until it closes.
    fn serve(
        self: Rc<Self>,
        peer: Hello,
        sender: LinkSender,
        receiver: LinkReceiver,
    ) -> impl Future<Output = ()>;
}

impl LinkManager {
    /// Returns a manager that knows the entries at `seeds`, the addresses given in the settings.
    /// `own` is the link address of this process, if it has one.
    pub fn new(seeds: &[SocketAddr], own: Option<SocketAddr>) -> Self {
        Self {
            directory: RefCell::new(Directory::new(seeds.iter().copied())),
            maintained: RefCell::new(own.into_iter().collect()),
            open: RefCell::default(),
            opened_at: Cell::new(BootTime::ZERO),
        }
    }

    /// Records that an entry was reached, or named by the store; returns whether it is new.
    pub fn refresh(&self, address: SocketAddr, now: BootTime) -> bool {
        self.directory.borrow_mut().refresh(address, now)
    }

    /// Adds an address that another process named; returns whether it is new.
    pub fn add_unconfirmed(&self, address: SocketAddr, now: BootTime) -> bool {
        self.directory.borrow_mut().add_unconfirmed(address, now)
    }

    /// Returns the addresses that were reached, or named by the store or another process. Addresses
    /// that only the settings name are left out.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.directory.borrow().known()
    }

    /// Returns the addresses to which no task maintains a link yet, and marks them as maintained.
    fn claim_unlinked(&self, now: BootTime) -> Vec<SocketAddr> {
        // An address does not expire while a link to it is open.
        for &address in self.open.borrow().iter() {
            self.refresh(address, now);
        }
        let mut directory = self.directory.borrow_mut();
        directory.remove_expired(now);
        let mut maintained = self.maintained.borrow_mut();
        let addresses = directory.addresses().into_iter();
        addresses.filter(|address| maintained.insert(*address)).collect()
    }

    fn record_open(&self, address: SocketAddr, now: BootTime) {
        self.open.borrow_mut().insert(address);
        self.opened_at.set(now);
    }

    fn max_pause(&self, now: BootTime) -> Duration {
        let is_discovering = now.saturating_sub(self.opened_at.get()) < DISCOVERY_TIME;
        if is_discovering || self.open.borrow().is_empty() {
            MAX_DISCOVERY_PAUSE
        } else {
            MAX_RECONNECT_PAUSE
        }
    }

    fn needs_link(&self, address: SocketAddr) -> bool {
        self.directory.borrow().addresses().contains(&address)
    }
}

/// Maintains links to all known entries until the process ends.
pub async fn maintain_links<O: LinkOwner>(owner: Rc<O>) {
    loop {
        for address in owner.link_manager().claim_unlinked(owner.now()) {
            tokio::task::spawn_local(maintain_link(Rc::clone(&owner), address));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Maintains the link to `address` until the address is no longer known.
async fn maintain_link<O: LinkOwner>(owner: Rc<O>, address: SocketAddr) {
    let mut pause = RECONNECT_PAUSE;
    while owner.link_manager().needs_link(address) {
        if let Ok((sender, mut receiver)) = link::connect(address).await {
            sender.send(Frame::Hello(owner.hello()));
            if let Some(peer) = receiver.receive_hello(&sender, HELLO_TIMEOUT).await {
                pause = RECONNECT_PAUSE;
                owner.link_manager().record_open(address, owner.now());
                Rc::clone(&owner).serve(peer, sender, receiver).await;
                owner.link_manager().open.borrow_mut().remove(&address);
            }
        }
        let jitter = 0.5 + fastrand::f64();
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(owner.link_manager().max_pause(owner.now()));
    }
    owner.link_manager().maintained.borrow_mut().remove(&address);
}
