//! An entry: its membership, its shards and the tables that these share.
//!
//! - [`routing`]: routing of received messages to the shards

pub mod routing;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bulrushlatch_log::platform_log::{LogPage, StreamName};
use bulrushlatch_protocol::{
    answer::{Answer, Reason},
    ids::{Incarnation, Offset, SLICE_COUNT, SliceId, SubmissionId, TeamId, slice_of},
    submission::Submission,
};

use super::{
    membership::{EntryIdentity, Membership, StateChange},
    shard::{Moment, Shard, ShardCounters, ShardGauges, SharedTables},
};
use crate::{
    clock::Clock,
    connection::{
        placement::PlacementRule,
        quota::{QuotaMessage, QuotaShare},
    },
    effect::{Destination, Effect},
    limits::Limits,
    message::{Envelope, Message, StateUpdate, Ticket},
    version::{policy::team_quota, settings::SettingsTree, view::View},
};

/// One entry. All methods may be called from any thread.
///
/// Locks are acquired in the order membership, shard, shared tables, and a shard's lock is never
/// held while another shard's is acquired.
#[derive(Debug)]
pub struct Entry<C, P> {
    clock: C,
    limits: Arc<Limits>,
    membership: Mutex<Membership>,
    shards: Vec<Mutex<Shard<P>>>,
    tables: Arc<SharedTables>,
    is_shutting_down: AtomicBool,
}

/// Counters and gauges of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntryStatus {
    /// Sum of the counters of all shards.
    pub counters: ShardCounters,
    /// Sum of the gauges of all shards.
    pub gauges: ShardGauges,
}

impl<C: Clock, P: PlacementRule> Entry<C, P> {
    /// Returns an entry without agreed state, with one shard for each rule in `rules`.
    pub fn new(
        clock: C,
        identity: EntryIdentity,
        limits: Arc<Limits>,
        seeds: Vec<SocketAddr>,
        rules: Vec<P>,
    ) -> Self {
        let tables = Arc::new(SharedTables::default());
        let local = Destination { address: identity.address, incarnation: identity.incarnation };
        let shard_count = rules.len();
        let now = clock.now();
        let shards = rules.into_iter().enumerate().map(|(index, rule)| {
            let slices = (0..SLICE_COUNT).filter(|&slice| shard_of(slice, shard_count) == index);
            let slices: BTreeSet<SliceId> = slices.collect();
            let zone = identity.zone.clone();
            let (limits, tables) = (Arc::clone(&limits), Arc::clone(&tables));
            let shard = Shard::new(now, local, zone, limits, tables, slices, rule);
            Mutex::new(shard)
        });
        let shards = shards.collect();
        let membership = Membership::new(identity, Arc::clone(&limits), seeds, now);
        Self {
            clock,
            limits,
            membership: Mutex::new(membership),
            shards,
            tables,
            is_shutting_down: AtomicBool::new(false),
        }
    }

    /// Handles a submission of a local caller, which waits for the answer under `ticket`.
    pub fn submit(&self, ticket: Ticket, submission: Submission, effects: &mut Vec<Effect>) {
        if self.is_shutting_down.load(Ordering::Relaxed) {
            let answer = Answer::unknown(
                submission.submission_id,
                Reason::ShuttingDown,
                "the entry is shutting down; ask another one",
                Some(self.limits.heartbeat.as_millis() as u64),
            );
            effects.push(Effect::answer(ticket, answer));
            return;
        }
        let moment = self.moment();
        let mut shard = self.shard_for(&submission.submission_id);
        shard.submit(moment, ticket, Arc::new(submission), effects);
    }

    /// Handles a local caller's request to cancel a submission.
    pub fn cancel(&self, ticket: Ticket, submission_id: SubmissionId, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        self.shard_for(&submission_id).cancel(moment, ticket, submission_id, effects);
    }

    /// Handles a local caller's query for the state of a submission.
    pub fn lookup(&self, ticket: Ticket, submission_id: SubmissionId, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        self.shard_for(&submission_id).lookup(moment, ticket, submission_id, effects);
    }

    /// Handles the messages of one envelope.
    pub fn receive(&self, envelope: Envelope, effects: &mut Vec<Effect>) {
        let from = Destination { address: envelope.from_address, incarnation: envelope.from };
        for message in envelope.messages {
            // State updates and heartbeats are valid for any receiver; all other messages are
            // only for the incarnation that they name.
            if let Message::StateUpdate(update) = &message {
                self.adopt(update, effects);
            } else if let Message::EntryHeartbeat(heartbeat) = &message {
                let now = self.clock.now();
                let mut membership = self.membership();
                membership.handle_entry_heartbeat(now, from, heartbeat, effects);
                self.tables.set_lease(membership.lease_until(now));
            } else if envelope.to == 0 || envelope.to == self.incarnation() {
                self.receive_message(from, message, effects);
            }
        }
    }

    /// Applies records that were read from the log.
    pub fn apply_page(&self, stream: StreamName, page: &LogPage, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        let mut membership = self.membership();
        let change = membership.apply_page(moment.now, stream, page);
        self.apply_change(moment, &membership, change, effects);
    }

    /// Runs the due work of membership, shards and quotas; to be called every few milliseconds.
    pub fn tick(&self, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        {
            let mut membership = self.membership();
            let mut agents = self.tables.agents();
            agents.forget_unregistered_loads(moment.now, self.limits.agent_gone_after);
            membership.tick(moment.now, moment.wall_ms, &agents, effects);
        }
        for shard in &self.shards {
            lock(shard).tick(moment, effects);
        }
        let settings = self.settings();
        let quota_of = |team: &TeamId| team_quota(&settings, team);
        let messages = self.tables.quotas().tick(moment.now, quota_of);
        self.send_quota_messages(messages, effects);
    }

    /// Stops accepting submissions, and leaves the membership so that other entries own the slices.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        self.membership().begin_leaving();
    }

    /// Returns whether the process can exit without losing work: this entry is no longer a member,
    /// and no caller waits for an answer here.
    pub fn can_exit(&self) -> bool {
        let is_member = self.membership().is_member();
        !is_member && self.shards.iter().all(|shard| lock(shard).is_idle())
    }

    /// Returns whether the entry can serve callers: synced, a member and not shutting down.
    pub fn is_ready(&self) -> bool {
        let membership = self.membership();
        let is_shutting_down = self.is_shutting_down.load(Ordering::Relaxed);
        membership.is_synced() && membership.is_member() && !is_shutting_down
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.membership().identity().incarnation
    }

    /// Returns the offset to read a stream from next.
    pub fn next_offset(&self, stream: StreamName) -> Offset {
        self.membership().next_offset(stream)
    }

    /// Returns the membership view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(self.membership().view())
    }

    /// Returns the settings tree.
    pub fn settings(&self) -> Arc<SettingsTree> {
        Arc::clone(self.membership().settings())
    }

    /// Returns the tables that the shards share.
    pub fn tables(&self) -> &SharedTables {
        &self.tables
    }

    /// Locks the membership.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Returns the counters and gauges, summed over all shards.
    pub fn status(&self) -> EntryStatus {
        let mut status = EntryStatus::default();
        for shard in &self.shards {
            let shard = lock(shard);
            status.add(shard.counters(), shard.gauges());
        }
        status
    }

    fn send_quota_messages(
        &self,
        messages: impl IntoIterator<Item = QuotaMessage>,
        effects: &mut Vec<Effect>,
    ) {
        let mut messages = messages.into_iter().peekable();
        if messages.peek().is_none() {
            return;
        }
        let view = self.view();
        for message in messages {
            let (incarnation, message) = match message {
                QuotaMessage::Request(to, request) => (to, Message::QuotaRequest(request)),
                QuotaMessage::Loan(to, loan) => (to, Message::QuotaLoan(loan)),
            };
            let Some(member) = view.members.get(&incarnation) else { continue };
            let to = Destination { address: member.address, incarnation };
            effects.push(Effect::send(to, message));
        }
    }

    fn adopt(&self, update: &StateUpdate, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        let mut membership = self.membership();
        let change = membership.adopt(moment.now, update);
        self.apply_change(moment, &membership, change, effects);
    }

    /// Applies changed state to the agent table, quotas and shards while the membership is locked.
    fn apply_change(
        &self,
        moment: Moment,
        membership: &Membership,
        change: StateChange,
        effects: &mut Vec<Effect>,
    ) {
        let view = membership.view();
        let settings = membership.settings();
        self.tables.set_lease(membership.lease_until(moment.now));
        if change.view {
            self.tables.agents().apply_view(view, settings);
        }
        if change.settings {
            self.tables.agents().apply_settings(settings);
        }
        let incarnation = membership.identity().incarnation;
        if change.view || change.new_incarnation {
            let others = view.members.keys().copied().filter(|&member| member != incarnation);
            let rank = view.members.keys().filter(|&&member| member < incarnation).count();
            let members = view.members.len() as u64;
            let share = QuotaShare { rank: rank as u64, members };
            self.tables.quotas().change_members(view.epoch, share, others.collect());
        }
        for shard in &self.shards {
            let mut shard = lock(shard);
            if change.view || change.new_incarnation {
                shard.apply_view(moment, view, incarnation, effects);
            }
            if change.settings {
                shard.apply_settings(moment, settings, effects);
            }
        }
    }

    fn shard_for(&self, submission_id: &str) -> MutexGuard<'_, Shard<P>> {
        lock(&self.shards[shard_of(slice_of(submission_id), self.shards.len())])
    }

    fn moment(&self) -> Moment {
        Moment { now: self.clock.now(), wall_ms: self.clock.wall_ms() }
    }
}

impl EntryStatus {
    fn add(&mut self, counters: &ShardCounters, gauges: ShardGauges) {
        for (&state, count) in &counters.answers {
            *self.counters.answers.entry(state).or_default() += count;
        }
        for (&reason, count) in &counters.refusals {
            *self.counters.refusals.entry(reason).or_default() += count;
        }
        self.counters.attached += counters.attached;
        self.counters.recoveries += counters.recoveries;
        self.counters.placements += counters.placements;
        self.counters.refused_placements += counters.refused_placements;
        self.counters.probes += counters.probes;
        self.counters.ejections += counters.ejections;
        self.gauges.known_ids += gauges.known_ids;
        self.gauges.open_jobs += gauges.open_jobs;
        self.gauges.queued_tasks += gauges.queued_tasks;
        self.gauges.forwarded += gauges.forwarded;
        self.gauges.owned_slices += gauges.owned_slices;
        self.gauges.unready_slices += gauges.unready_slices;
        self.gauges.result_bytes += gauges.result_bytes;
    }
}

fn shard_of(slice: SliceId, shard_count: usize) -> usize {
    usize::from(slice) % shard_count
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
