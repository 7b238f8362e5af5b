//! How an entry takes part in the agreed membership.
//!
//! - [`writing`]: the records and snapshots that an entry appends to the log

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
    effect::{Destination, Effect},
    limits::{Limits, jittered},
    message::{AgentDescription, AgentHeartbeat, Directive, EntryHeartbeat, Message, StateUpdate},
    version::{
        policy::is_drain_requested, settings::SettingsTree, stream::StreamReader, view::View,
    },
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

    /// Records an entry's heartbeat, and sends newer state to the entry if it lags.
    pub fn handle_entry_heartbeat(
        &mut self,
        now: Instant,
        from: Destination,
        heartbeat: &EntryHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.peers.get(&from.incarnation);
        let echoed = heartbeat.echo_ms.map(|ms| self.started + Duration::from_millis(ms));
        let peer = PeerState {
            last_heartbeat: now,
            sent_ms: known.map_or(0, |known| known.sent_ms).max(heartbeat.sent_ms),
            echoed: known.and_then(|known| known.echoed).max(echoed),
            ownership_offset: heartbeat.ownership_offset,
            settings_offset: heartbeat.settings_offset,
            silent_agents: heartbeat.silent_agents.iter().copied().collect(),
        };
        self.peers.insert(from.incarnation, peer);
        let lags_in_view = heartbeat.ownership_offset < self.view.next_offset();
        let lags_in_settings = heartbeat.settings_offset < self.settings.next_offset();
        if !lags_in_view && !lags_in_settings {
            return;
        }
        let update = StateUpdate {
            view: lags_in_view.then(|| Arc::clone(self.view())),
            settings: lags_in_settings.then(|| Arc::clone(self.settings())),
        };
        effects.push(Effect::send(from, Message::StateUpdate(update)));
    }

    /// Records an agent's heartbeat, and sends a directive if the agent lags or was declared gone.
    pub fn handle_agent_heartbeat(
        &mut self,
        now: Instant,
        from: Destination,
        heartbeat: &AgentHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let description = &heartbeat.agent;
        let is_registered = self.view().agents.contains_key(&from.incarnation);
        if !is_registered && !self.view().is_gone(from.incarnation) {
            let unregistered =
                self.unregistered_agents.entry(from.incarnation).or_insert_with(|| {
                    UnregisteredAgent {
                        description: description.clone(),
                        first_heartbeat: now,
                        last_heartbeat: now,
                    }
                });
            unregistered.last_heartbeat = now;
        }
        let is_gone = self.view().is_gone(from.incarnation);
        let lags = heartbeat.settings_offset < self.settings.next_offset()
            || heartbeat.ownership_offset < self.view.next_offset();
        if !lags && !is_gone {
            return;
        }
        let directive = Directive {
            settings_offset: self.settings.next_offset(),
            ownership_offset: self.view.next_offset(),
            drain: is_drain_requested(self.settings(), &description.name),
            gone: is_gone,
            entries: self.view().members.values().map(|member| member.address).collect(),
        };
        effects.push(Effect::send(from, Message::Directive(directive)));
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

    /// Returns the time since the last heartbeat of another entry.
    pub fn silent_for(&self, now: Instant, peer: Incarnation) -> Option<Duration> {
        self.peers.get(&peer).map(|peer| now.saturating_duration_since(peer.last_heartbeat))
    }

    /// Returns the settings offset in the last heartbeat of another entry.
    pub fn settings_offset_of(&self, peer: Incarnation) -> Option<Offset> {
        self.peers.get(&peer).map(|peer| peer.settings_offset)
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

    fn send_heartbeats(
        &mut self,
        now: Instant,
        silent_agents: &[Incarnation],
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + jittered(self.limits.heartbeat, &mut self.random);
        let sent = now.saturating_duration_since(self.started);
        for to in self.heartbeat_receivers() {
            let heartbeat = EntryHeartbeat {
                ownership_offset: self.view.next_offset(),
                settings_offset: self.settings.next_offset(),
                silent_agents: silent_agents.to_vec(),
                sent_ms: sent.as_millis() as u64,
                echo_ms: self.peers.get(&to.incarnation).map(|peer| peer.sent_ms),
            };
            effects.push(Effect::send(to, Message::EntryHeartbeat(heartbeat)));
        }
    }

    /// Returns the other members, and also the seeds while this entry is not a member, since it
    /// may not know any member yet.
    fn heartbeat_receivers(&self) -> Vec<Destination> {
        let own_incarnation = self.identity.incarnation;
        let members =
            self.view().members.iter().filter(|(incarnation, _)| **incarnation != own_incarnation);
        let members = members
            .map(|(&incarnation, member)| Destination { address: member.address, incarnation });
        let mut receivers: Vec<Destination> = members.collect();
        if !self.is_member() {
            let own_address = self.identity.address;
            let seeds = self.seeds.iter().copied().filter(|address| *address != own_address);
            receivers.extend(seeds.map(|address| Destination { address, incarnation: 0 }));
        }
        receivers
    }

    fn silent_agents(&self, now: Instant, agents: &AgentTable) -> Vec<Incarnation> {
        let is_silent = |agent: &Incarnation| {
            let silent_for = agents.silent_for(now, *agent);
            let known_for = now.saturating_duration_since(self.view_since);
            silent_for.unwrap_or(known_for) >= self.limits.agent_gone_after
        };
        self.view().agents.keys().copied().filter(is_silent).collect()
    }
}
