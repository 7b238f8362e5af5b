//! The part of an entry that handles the submissions of a group of slices.
//!
//! - [`owned_slice`]: state of a slice that the entry owns
//! - [`ownership`]: acquisition and release of slices when the membership view changes
//! - [`collecting`]: collection of the ids of newly acquired slices from other entries
//! - [`witnesses`]: replication of ids to witnesses, and sealing of slices
//! - [`admission`]: admission of submissions at the entry that owns them
//! - [`recovery`]: recovery of submissions that a previous owner may have started
//! - [`dispatch`]: placement of queued tasks and handling of the reports on them
//! - [`forwarding`]: routing of requests to the entry that owns them
//! - [`answering`]: final answers, cancellation, lookup and eviction of old state

pub mod admission;
pub mod answering;
pub mod collecting;
pub mod dispatch;
pub mod forwarding;
pub mod owned_slice;
pub mod ownership;
pub mod recovery;
pub mod witnesses;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::{Answer, AnswerState, Reason},
    ids::{Epoch, Incarnation, SliceId, SubmissionId, ZoneName, slice_of},
    submission::Submission,
    verdict::Verdict,
};

use self::{
    forwarding::CallerRequest,
    owned_slice::{Arrival, OwnedSlice},
};
use crate::{
    connection::{
        agents::AgentTable,
        placement::PlacementRule,
        quota::QuotaTable,
        remote::{RemoteRequests, RequestTiming},
    },
    effect::{Destination, Effect},
    limits::Limits,
    message::{Attempt, Message, Ticket},
    request::{
        job::{Job, Waiter},
        known::KnownIds,
        queue::FairQueue,
        run_times::RunTimes,
    },
    version::{settings::SettingsTree, view::View},
};

/// State that all shards of an entry share, each part under its own lock.
#[derive(Debug, Default)]
pub struct SharedTables {
    agents: Mutex<AgentTable>,
    quotas: Mutex<QuotaTable>,
    /// End of the time during which no other entry can serve this entry's slices.
    lease_until: Mutex<Option<Instant>>,
}

impl SharedTables {
    /// Locks and returns the table of agents.
    pub fn agents(&self) -> MutexGuard<'_, AgentTable> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the time until which no other entry can serve this entry's slices.
    pub fn set_lease(&self, until: Option<Instant>) {
        *self.lease_until.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }

    /// Returns whether no other entry can serve this entry's slices at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        let until = self.lease_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_some_and(|until| now < until)
    }

    /// Locks and returns the table of quotas.
    pub fn quotas(&self) -> MutexGuard<'_, QuotaTable> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The time at which an input is handled.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic time.
    pub now: Instant,
    /// Wall time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Event counts of a shard since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardCounters {
    /// Answers to local callers by state.
    pub answers: BTreeMap<AnswerState, u64>,
    /// Refusals to local callers by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Requests that were attached to an existing job.
    pub attached: u64,
    /// Recoveries started.
    pub recoveries: u64,
    /// Tasks sent to agents.
    pub placements: u64,
    /// Refused placements, after which the task did not run and may be placed again.
    pub refused_placements: u64,
    /// Placed tasks that were probed because no report arrived.
    pub probes: u64,
    /// Ejections of targets.
    pub ejections: u64,
}

/// Current sizes of a shard's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardGauges {
    /// Ids remembered as owner or witness.
    pub known_ids: usize,
    /// Submissions without a final answer.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub queued_tasks: usize,
    /// Requests forwarded to another entry and not answered yet.
    pub forwarded: usize,
    /// Slices that this entry owns.
    pub owned_slices: usize,
    /// Owned slices that park submissions until their ids are collected.
    pub unready_slices: usize,
    /// Bytes of task results in kept answers.
    pub result_bytes: usize,
}

/// Handles the submissions of a group of slices.
///
/// In each epoch, at most one shard in the system admits ids of a slice.
#[derive(Debug)]
pub struct Shard<P> {
    /// Start of the clock that is sent with forwarded requests.
    started: Instant,
    /// Address and current incarnation of this entry.
    local: Destination,
    /// Previous incarnations of this entry since the process started; their state is kept.
    previous_incarnations: BTreeSet<Incarnation>,
    zone: ZoneName,
    limits: Arc<Limits>,
    tables: Arc<SharedTables>,
    view: Arc<View>,
    settings: Arc<SettingsTree>,
    /// Slices assigned to this shard, whether the entry owns them or not.
    slices: BTreeSet<SliceId>,
    owned: BTreeMap<SliceId, OwnedSlice>,
    /// Latest epoch in which each slice is known to have been sealed.
    sealed: BTreeMap<SliceId, Epoch>,
    known: KnownIds,
    jobs: BTreeMap<SubmissionId, Job>,
    /// Every job without a final answer, by its deadline.
    deadlines: BTreeSet<(Instant, SubmissionId)>,
    /// Requests of local callers that wait for another entry.
    forwards: BTreeMap<Ticket, CallerRequest>,
    /// Requests received from other entries.
    remote: RemoteRequests,
    /// Submissions to handle once an earlier refusal of the same id can no longer arrive.
    delayed: Vec<(Instant, Arrival)>,
    queue: FairQueue,
    run_times: RunTimes,
    placement_rule: P,
    last_attempt: Attempt,
    /// Answered jobs, oldest first.
    answered: VecDeque<(Instant, SubmissionId)>,
    /// Jobs whose answers still contain results, oldest first.
    answers_with_results: VecDeque<SubmissionId>,
    result_bytes: usize,
    last_maintenance: Option<Instant>,
    counters: ShardCounters,
}

/// `retry_after_ms` in answers of an entry that has no lease.
const RETRY_WITHOUT_LEASE_MS: u64 = 1000;
/// Time between checks for messages to resend and state to evict.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

impl<P: PlacementRule> Shard<P> {
    /// Returns a shard that owns nothing.
    pub fn new(
        started: Instant,
        local: Destination,
        zone: ZoneName,
        limits: Arc<Limits>,
        tables: Arc<SharedTables>,
        slices: BTreeSet<SliceId>,
        placement_rule: P,
    ) -> Self {
        Self {
            started,
            local,
            previous_incarnations: BTreeSet::new(),
            zone,
            limits,
            tables,
            view: Arc::default(),
            settings: Arc::default(),
            slices,
            owned: BTreeMap::new(),
            sealed: BTreeMap::new(),
            known: KnownIds::default(),
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            forwards: BTreeMap::new(),
            remote: RemoteRequests::default(),
            delayed: Vec::new(),
            queue: FairQueue::default(),
            run_times: RunTimes::default(),
            placement_rule,
            last_attempt: 0,
            answered: VecDeque::new(),
            answers_with_results: VecDeque::new(),
            result_bytes: 0,
            last_maintenance: None,
            counters: ShardCounters::default(),
        }
    }

    /// Returns the event counts since the shard started.
    pub fn counters(&self) -> &ShardCounters {
        &self.counters
    }

    /// Returns the current sizes of the shard's tables.
    pub fn gauges(&self) -> ShardGauges {
        ShardGauges {
            known_ids: self.known.len(),
            open_jobs: self.deadlines.len(),
            queued_tasks: self.queue.len(),
            forwarded: self.forwards.len(),
            owned_slices: self.owned.len(),
            unready_slices: self.owned.values().filter(|slice| !slice.is_ready()).count(),
            result_bytes: self.result_bytes,
        }
    }

    /// Returns whether no caller waits for an answer of this shard.
    pub fn is_idle(&self) -> bool {
        let is_parked = |slice: &OwnedSlice| !slice.parked.is_empty();
        let is_working = !self.deadlines.is_empty() || !self.delayed.is_empty();
        !is_working && self.forwards.is_empty() && !self.owned.values().any(is_parked)
    }

    /// Applies new settings.
    pub fn apply_settings(
        &mut self,
        moment: Moment,
        settings: &Arc<SettingsTree>,
        effects: &mut Vec<Effect>,
    ) {
        self.settings = Arc::clone(settings);
        self.dispatch(moment, effects);
    }

    /// Handles a submission of a local caller.
    pub fn submit(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        submission: Arc<Submission>,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = moment.now + Duration::from_millis(submission.timeout_ms);
        let request = CallerRequest::submit(submission, deadline);
        self.route(moment, ticket, request, effects);
    }

    /// Handles a cancellation by a local caller.
    pub fn cancel(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        submission_id: SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = moment.now + self.limits.recovery_wait;
        let request = CallerRequest::cancel(submission_id, deadline);
        self.route(moment, ticket, request, effects);
    }

    /// Handles a request of a local caller for the state of a submission.
    pub fn lookup(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        submission_id: SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = moment.now + self.limits.recovery_wait;
        let request = CallerRequest::lookup(submission_id, deadline);
        self.route(moment, ticket, request, effects);
    }

    /// Handles a message from another process.
    pub fn receive(
        &mut self,
        moment: Moment,
        from: Destination,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Forward(forward) => self.handle_forward(moment, from, forward, effects),
            Message::Cancel(lookup) => {
                let waiter = Waiter::Remote(from, lookup.ticket);
                self.cancel_owned(moment, waiter, &lookup.submission_id, effects);
            }
            Message::Lookup(lookup) => {
                let waiter = Waiter::Remote(from, lookup.ticket);
                self.lookup_owned(moment, waiter, &lookup.submission_id, effects);
            }
            Message::Answered(answered) => self.handle_answer(moment, answered, effects),
            Message::NotOwner(not_owner) => {
                self.handle_not_owner(moment, from, &not_owner, effects);
            }
            Message::Note(note) => self.handle_note(moment, from, note, effects),
            Message::NoteAck(ack) => self.handle_note_ack(moment, from, &ack, effects),
            Message::Collect(collect) => self.handle_collect(moment, from, &collect, effects),
            Message::Collected(collected) => {
                self.handle_collected(moment, from, collected, effects);
            }
            Message::Sealed(sealed) => self.handle_sealed(&sealed),
            Message::Report(report) => self.handle_report(moment, from, report, effects),
            Message::QueryReply(reply) => self.handle_query_reply(moment, from, reply, effects),
            _ => {}
        }
    }

    /// Handles expired deadlines, resends and evictions, then places queued tasks.
    pub fn tick(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        self.expire_jobs(moment, effects);
        self.admit_delayed(moment, effects);
        let is_due =
            |last: Instant| moment.now.saturating_duration_since(last) >= MAINTENANCE_INTERVAL;
        if self.last_maintenance.is_none_or(is_due) {
            self.last_maintenance = Some(moment.now);
            self.maintain_slices(moment, effects);
            self.maintain_jobs(moment, effects);
            self.maintain_forwards(moment, effects);
            self.evict_expired(moment);
        }
        self.dispatch(moment, effects);
    }

    fn owner_of(&self, submission_id: &str) -> Option<Destination> {
        let incarnation = self.view.owner_of(slice_of(submission_id))?;
        self.destination_of(incarnation)
    }

    fn destination_of(&self, incarnation: Incarnation) -> Option<Destination> {
        let address = self.view.members.get(&incarnation)?.address;
        Some(Destination { address, incarnation })
    }

    /// Sends an answer to a local or remote caller.
    fn reply(&mut self, moment: Moment, waiter: Waiter, answer: Answer, effects: &mut Vec<Effect>) {
        let answer = self.qualify_answer(moment, answer);
        match waiter {
            Waiter::Local(ticket) => self.answer_local(ticket, answer, effects),
            Waiter::Remote(to, ticket) => {
                let timing = self.remote.record_answer(moment.now, to, ticket);
                if answer.ran == Verdict::NotRun {
                    self.remote.record_refusal(moment.now, to, ticket, &answer.submission_id);
                }
                let RequestTiming { sent_ms, held_ms } = timing;
                let answered = crate::message::Answered { ticket, answer, sent_ms, held_ms };
                effects.push(Effect::send(to, Message::Answered(answered)));
            }
        }
    }

    /// Turns "not run" into "unknown" if this entry has no lease, since another entry may then have
    /// started the submission.
    fn qualify_answer(&self, moment: Moment, answer: Answer) -> Answer {
        if answer.ran != Verdict::NotRun || self.tables.has_lease(moment.now) {
            return answer;
        }
        let message = "nothing was started here, but this entry may have been replaced";
        let retry_after_ms = answer.retry_after_ms.or(Some(RETRY_WITHOUT_LEASE_MS));
        let reason = answer.reason.unwrap_or(Reason::OwnerUnreachable);
        Answer::unknown(answer.submission_id, reason, message, retry_after_ms)
    }

    fn answer_local(&mut self, ticket: Ticket, answer: Answer, effects: &mut Vec<Effect>) {
        *self.counters.answers.entry(answer.state).or_default() += 1;
        if let Some(reason) = answer.reason.filter(|_| answer.state == AnswerState::Refused) {
            *self.counters.refusals.entry(reason).or_default() += 1;
        }
        effects.push(Effect::answer(ticket, answer));
    }
}
