//! How an entry takes part in the agreed membership.
//!
//! - `heartbeats`: heartbeats of entries and agents
//! - [`writing`]: the records and snapshots that an entry appends to the log

mod heartbeats;
pub mod writing;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_log::platform_log::{LogPage, StreamName};
use bulrushlatch_protocol::ids::{Incarnation, Offset, ProcessName, ZoneName};

use self::writing::WriteKey;
use super::snapshot_watch::SnapshotWatch;
use crate::{
    connection::agents::AgentTable,
    effect::Effect,
    limits::Limits,
    message::{AgentDescription, StateUpdate},
    version::{settings::SettingsTree, stream::StreamReader, view::View},
};

/// Time after which silent entries that are not members, and past writes, are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Margin of the lease for clocks that run at different rates and for the time of an answer.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Identity of an entry; the incarnation may change during the lifetime of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Name, stable over restarts.
    pub name: ProcessName,
    /// Address at which other processes reach the entry.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
}

/// The parts of the agreed state that changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChange {
    /// The membership view advanced.
    pub view: bool,
    /// The settings tree advanced.
    pub settings: bool,
    /// This entry was removed and continues under a new incarnation.
    pub new_incarnation: bool,
}

/// Follows the log's streams, monitors the other entries and appends membership records.
#[derive(Debug)]
pub struct Membership {
    identity: EntryIdentity,
    limits: Arc<Limits>,
    view: StreamReader<View>,
    settings: StreamReader<SettingsTree>,
    /// Addresses that also get heartbeats while this entry is not a member.
    seeds: Vec<SocketAddr>,
    /// Other entries from which a heartbeat was received.
    peers: BTreeMap<Incarnation, PeerState>,
    /// Agents that sent a heartbeat and are not registered yet.
    unregistered_agents: BTreeMap<Incarnation, UnregisteredAgent>,
    /// When each record was last appended, so that it is not repeated too soon.
    last_writes: BTreeMap<WriteKey, Instant>,
    next_heartbeat: Instant,
    /// Zero point of the clock in this entry's heartbeats.
    started: Instant,
    /// When the ownership stream was last read to its end.
    last_ownership_read: Option<Instant>,
    /// When the view last changed at this process.
    view_since: Instant,
    view_snapshots: SnapshotWatch,
    settings_snapshots: SnapshotWatch,
    is_leaving: bool,
    random: fastrand::Rng,
}

#[derive(Clone, Debug)]
struct PeerState {
    last_heartbeat: Instant,
    /// The peer's clock in its latest heartbeat.
    sent_ms: u64,
    /// Send time of the latest heartbeat of this entry that the peer has received.
    echoed: Option<Instant>,
    ownership_offset: Offset,
    settings_offset: Offset,
    silent_agents: BTreeSet<Incarnation>,
}

#[derive(Clone, Debug)]
struct UnregisteredAgent {
    description: AgentDescription,
    first_heartbeat: Instant,
    last_heartbeat: Instant,
}

impl Membership {
    /// Returns the membership of an entry without agreed state.
    pub fn new(
        identity: EntryIdentity,
        limits: Arc<Limits>,
        seeds: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        let random = fastrand::Rng::with_seed(identity.incarnation);
        Self {
            identity,
            limits,
            view: StreamReader::default(),
            settings: StreamReader::default(),
            seeds,
            peers: BTreeMap::new(),
            unregistered_agents: BTreeMap::new(),
            last_writes: BTreeMap::new(),
            next_heartbeat: now,
            started: now,
            last_ownership_read: None,
            view_since: now,
            view_snapshots: SnapshotWatch::new(now),
            settings_snapshots: SnapshotWatch::new(now),
            is_leaving: false,
            random,
        }
    }

    /// Returns the identity with the current incarnation.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Returns the membership view.
    pub fn view(&self) -> &Arc<View> {
        self.view.state()
    }

    /// Returns the settings tree.
    pub fn settings(&self) -> &Arc<SettingsTree> {
        self.settings.state()
    }

    /// Returns whether each stream has been read to its end or its state adopted from another
    /// entry.
    pub fn is_synced(&self) -> bool {
        self.view.is_synced() && self.settings.is_synced()
    }

    /// Returns whether this entry is in the view.
    pub fn is_member(&self) -> bool {
        self.view().members.contains_key(&self.identity.incarnation)
    }

    /// Returns the number of log records that could not be parsed.
    pub fn unreadable_records(&self) -> u64 {
        self.view.unreadable_records() + self.settings.unreadable_records()
    }

    /// Returns the offset to read a stream from next.
    pub fn next_offset(&self, stream: StreamName) -> Offset {
        match stream {
            StreamName::Ownership => self.view.next_offset(),
            StreamName::Settings => self.settings.next_offset(),
        }
    }

    /// Starts to leave the membership; the other entries then own the slices of this one.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Applies a page that was read from the log to the state of its stream.
    pub fn apply_page(&mut self, now: Instant, stream: StreamName, page: &LogPage) -> StateChange {
        let mut change = StateChange::default();
        match stream {
            StreamName::Ownership => {
                let was_synced = self.view.is_synced();
                change.view = self.view.apply_page(page);
                self.view_snapshots.update(now, &self.view, was_synced);
                if page.next_offset == self.view.next_offset() {
                    self.last_ownership_read = Some(now);
                }
            }
            StreamName::Settings => {
                let was_synced = self.settings.is_synced();
                change.settings = self.settings.apply_page(page);
                self.settings_snapshots.update(now, &self.settings, was_synced);
            }
        }
        self.after_change(now, change)
    }

    /// Adopts the state of another entry where it is newer.
    pub fn adopt(&mut self, now: Instant, update: &StateUpdate) -> StateChange {
        let view = update.view.as_ref().is_some_and(|view| self.view.adopt(view));
        let settings = update.settings.as_ref().is_some_and(|tree| self.settings.adopt(tree));
        self.after_change(now, StateChange { view, settings, new_incarnation: false })
    }

    /// Sends due heartbeats, and appends due joins, removals, registrations and snapshots.
    pub fn tick(
        &mut self,
        now: Instant,
        wall_ms: u64,
        agents: &AgentTable,
        effects: &mut Vec<Effect>,
    ) {
        self.forget_old(now);
        let silent_agents = self.silent_agents(now, agents);
        self.send_heartbeats(now, &silent_agents, effects);
        if !self.is_synced() {
            return;
        }
        self.write_own_membership(now, wall_ms, effects);
        if self.is_member() {
            self.write_removals(now, wall_ms, effects);
            self.write_agent_records(now, wall_ms, &silent_agents, agents, effects);
            self.write_snapshots(now, effects);
        }
    }

    /// Returns the time until which no other entry can serve the slices that this one owns.
    ///
    /// Another member removes this entry only after it has received no heartbeat from it for the
    /// silence limit, and an entry that joins serves without this entry's reply only after the
    /// recovery wait. So the lease runs from the latest heartbeat that all other members are known
    /// to have received (it or a later one), and from the latest proof that no entry joined: a read
    /// of the log to its end, or heartbeats in which no member shows a newer view.
    pub fn lease_until(&self, now: Instant) -> Option<Instant> {
        if !self.is_member() {
            return None;
        }
        let own_incarnation = self.identity.incarnation;
        let others = self.view().members.keys().filter(|&&member| member != own_incarnation);
        let others: Option<Vec<&PeerState>> = others.map(|other| self.peers.get(other)).collect();
        let others = others?;
        let oldest_echo = others.iter().map(|peer| peer.echoed).min();
        let removal_lease = match oldest_echo {
            Some(echoed) => Some(echoed? + self.limits.silence_limit),
            None => None,
        };
        let is_current = |peer: &&PeerState| peer.ownership_offset <= self.view.next_offset();
        let members_agree = !others.is_empty() && others.iter().all(is_current);
        let last_read = self.last_ownership_read.map(|read| read + self.limits.recovery_wait);
        let join_lease = if members_agree { removal_lease.max(last_read) } else { last_read };
        let lease = join_lease?.min(removal_lease.unwrap_or(join_lease?));
        lease.checked_sub(LEASE_MARGIN).filter(|until| *until > now)
    }

    /// Forgets silent entries that are not members, and writes that may be repeated by now.
    fn forget_old(&mut self, now: Instant) {
        let view = Arc::clone(self.view());
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FORGET_AFTER;
        self.peers.retain(|incarnation, peer| {
            view.members.contains_key(incarnation) || is_recent(peer.last_heartbeat)
        });
        self.last_writes.retain(|_, at| is_recent(*at));
    }

    fn after_change(&mut self, now: Instant, mut change: StateChange) -> StateChange {
        if change.view {
            self.view_since = now;
            let view = Arc::clone(self.view());
            self.unregistered_agents.retain(|incarnation, _| {
                !view.agents.contains_key(incarnation) && !view.is_gone(*incarnation)
            });
            change.new_incarnation = self.renew_incarnation_if_removed(&view);
        }
        change
    }

    fn renew_incarnation_if_removed(&mut self, view: &View) -> bool {
        let own_incarnation = self.identity.incarnation;
        let was_removed =
            view.departed.iter().any(|departed| departed.incarnation == own_incarnation);
        if !was_removed || self.is_leaving {
            return false;
        }
        self.identity.incarnation = self.random.u64(1..);
        self.last_writes.clear();
        true
    }
}
