//! The submissions of a group of slices at an entry.
//!
//! - [`owned_slice`]: a slice that the entry owns, and what waits for it
//! - [`ownership`]: gaining and giving up slices
//! - [`collecting`]: asking the other entries for the ids of gained slices
//! - [`witnesses`]: other entries that remember ids, and sealing
//! - [`admission`]: what happens to a submission that arrives
//! - [`recovery`]: submissions that another owner may have begun
//! - [`dispatch`]: placing tasks and taking their reports
//! - [`forwarding`]: requests whose owner is another entry
//! - [`answering`]: final answers and how long they are kept

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
    forwarding::ForwardedRequest,
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
    /// Until when no other entry can serve what this one owns.
    lease_until: Mutex<Option<Instant>>,
}

impl SharedTables {
    /// Locks the agents.
    pub fn agents(&self) -> MutexGuard<'_, AgentTable> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes until when no other entry can serve what this one owns.
    pub fn set_lease(&self, until: Option<Instant>) {
        *self.lease_until.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }

    /// Returns whether no other entry can serve what this one owns.
    pub fn has_lease(&self, now: Instant) -> bool {
        let until = self.lease_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_some_and(|until| now < until)
    }

    /// Locks the quotas.
    pub fn quotas(&self) -> MutexGuard<'_, QuotaTable> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The time at which an input is handled.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time that never goes back.
    pub now: Instant,
    /// Wall time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Counts of what a shard did since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardCounters {
    /// Answers by state.
    pub answers: BTreeMap<AnswerState, u64>,
    /// Refusals by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Submissions that were attached to one already known.
    pub attached: u64,
    /// Submissions whose tasks agents were asked for.
    pub recoveries: u64,
    /// Tasks sent to agents.
    pub placements: u64,
    /// Placements that agents refused.
    pub refused_placements: u64,
    /// Tasks asked for because no report came.
    pub probes: u64,
    /// Targets ejected.
    pub ejections: u64,
}

/// What a shard holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardGauges {
    /// Ids remembered as owner or witness.
    pub known_ids: usize,
    /// Submissions that have no final answer yet.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub queued_tasks: usize,
    /// Requests that wait for another entry.
    pub forwarded: usize,
    /// Slices owned.
    pub owned_slices: usize,
    /// Owned slices that cannot take unknown ids yet.
    pub unready_slices: usize,
    /// Bytes of kept results.
    pub result_bytes: usize,
}

/// The submissions of a group of slices.
///
/// For every slice there is at most one shard in the system that admits ids of it in one epoch.
#[derive(Debug)]
pub struct Shard<P> {
    /// Start of the clock that is sent with forwarded requests.
    started: Instant,
    me: Destination,
    /// Earlier incarnations of this entry, whose memory it still has.
    formers: BTreeSet<Incarnation>,
    zone: ZoneName,
    limits: Arc<Limits>,
    tables: Arc<SharedTables>,
    view: Arc<View>,
    settings: Arc<SettingsTree>,
    /// Slices that this shard would hold if the entry owned them.
    slices: BTreeSet<SliceId>,
    owned: BTreeMap<SliceId, OwnedSlice>,
    /// Latest epoch in which each slice is known to have been sealed.
    sealed: BTreeMap<SliceId, Epoch>,
    known: KnownIds,
    jobs: BTreeMap<SubmissionId, Job>,
    /// Every job without a final answer, by its deadline.
    deadlines: BTreeSet<(Instant, SubmissionId)>,
    forwards: BTreeMap<Ticket, ForwardedRequest>,
    remote: RemoteRequests,
    /// Submissions that wait until a refusal of the same id is no longer on its way.
    held: Vec<(Instant, Arrival)>,
    queue: FairQueue,
    run_times: RunTimes,
    rule: P,
    last_attempt: Attempt,
    /// Answered jobs, oldest first.
    answered: VecDeque<(Instant, SubmissionId)>,
    /// Answers that still have their results, oldest first.
    with_results: VecDeque<SubmissionId>,
    result_bytes: usize,
    last_maintenance: Option<Instant>,
    counters: ShardCounters,
}

/// Advice on when to come back to an entry that has no lease.
const RETRY_WITHOUT_LEASE_MS: u64 = 1000;
/// Time between looks at everything that may need to be sent again.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

impl<P: PlacementRule> Shard<P> {
    /// Returns a shard that owns nothing.
    pub fn new(
        started: Instant,
        me: Destination,
        zone: ZoneName,
        limits: Arc<Limits>,
        tables: Arc<SharedTables>,
        slices: BTreeSet<SliceId>,
        rule: P,
    ) -> Self {
        Self {
            started,
            me,
            formers: BTreeSet::new(),
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
            held: Vec::new(),
            queue: FairQueue::default(),
            run_times: RunTimes::default(),
            rule,
            last_attempt: 0,
            answered: VecDeque::new(),
            with_results: VecDeque::new(),
            result_bytes: 0,
            last_maintenance: None,
            counters: ShardCounters::default(),
        }
    }

    /// Returns what the shard did since it started.
    pub fn counters(&self) -> &ShardCounters {
        &self.counters
    }

    /// Returns what the shard holds now.
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

    /// Returns whether no caller waits for anything here.
    pub fn is_idle(&self) -> bool {
        let is_parked = |slice: &OwnedSlice| !slice.parked.is_empty();
        let is_working = !self.deadlines.is_empty() || !self.held.is_empty();
        !is_working && self.forwards.is_empty() && !self.owned.values().any(is_parked)
    }

    /// Takes new settings into account.
    pub fn apply_settings(
        &mut self,
        moment: Moment,
        settings: &Arc<SettingsTree>,
        effects: &mut Vec<Effect>,
    ) {
        self.settings = Arc::clone(settings);
        self.dispatch(moment, effects);
    }

    /// Takes the submission of a local caller.
    pub fn submit(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        submission: Arc<Submission>,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = moment.now + Duration::from_millis(submission.timeout_ms);
        let request = ForwardedRequest::submit(submission, deadline);
        self.route(moment, ticket, request, effects);
    }

    /// Takes the cancellation of a local caller.
    pub fn cancel(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        submission_id: SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = moment.now + self.limits.recovery_wait;
        let request = ForwardedRequest::cancel(submission_id, deadline);
        self.route(moment, ticket, request, effects);
    }

    /// Takes the question of a local caller.
    pub fn lookup(
        &mut self,
        moment: Moment,
        ticket: Ticket,
        submission_id: SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let deadline = moment.now + self.limits.recovery_wait;
        let request = ForwardedRequest::lookup(submission_id, deadline);
        self.route(moment, ticket, request, effects);
    }

    /// Takes a message from another process.
    pub fn receive(
        &mut self,
        moment: Moment,
        from: Destination,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Forward(forward) => self.take_forward(moment, from, forward, effects),
            Message::Cancel(lookup) => {
                let waiter = Waiter::Remote(from, lookup.ticket);
                self.cancel_here(moment, waiter, &lookup.submission_id, effects);
            }
            Message::Lookup(lookup) => {
                let waiter = Waiter::Remote(from, lookup.ticket);
                self.lookup_here(moment, waiter, &lookup.submission_id, effects);
            }
            Message::Answered(answered) => self.take_answer(moment, answered, effects),
            Message::NotOwner(not_owner) => self.take_not_owner(moment, from, &not_owner, effects),
            Message::Note(note) => self.take_note(moment, from, note, effects),
            Message::NoteAck(ack) => self.take_note_ack(moment, from, &ack, effects),
            Message::Collect(collect) => self.take_collect(moment, from, &collect, effects),
            Message::Collected(collected) => {
                self.take_collected(moment, from, collected, effects);
            }
            Message::Sealed(sealed) => self.take_sealed(&sealed),
            Message::Report(report) => self.take_report(moment, from, report, effects),
            Message::QueryReply(reply) => self.take_query_reply(moment, from, reply, effects),
            _ => {}
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        self.give_up_late_jobs(moment, effects);
        self.admit_held(moment, effects);
        let is_due =
            |last: Instant| moment.now.saturating_duration_since(last) >= MAINTENANCE_INTERVAL;
        if self.last_maintenance.is_none_or(is_due) {
            self.last_maintenance = Some(moment.now);
            self.maintain_slices(moment, effects);
            self.maintain_jobs(moment, effects);
            self.maintain_forwards(moment, effects);
            self.forget_old(moment);
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

    fn reply(&mut self, moment: Moment, waiter: Waiter, answer: Answer, effects: &mut Vec<Effect>) {
        let answer = self.qualified(moment, answer);
        match waiter {
            Waiter::Local(ticket) => self.answer_local(ticket, answer, effects),
            Waiter::Remote(to, ticket) => {
                let timing = self.remote.answer(moment.now, to, ticket);
                if answer.ran == Verdict::NotRun {
                    self.remote.refuse(moment.now, to, ticket, &answer.submission_id);
                }
                let RequestTiming { sent_ms, held_ms } = timing;
                let answered = crate::message::Answered { ticket, answer, sent_ms, held_ms };
                effects.push(Effect::send(to, Message::Answered(answered)));
            }
        }
    }

    /// Without a lease another entry may have started what this one knows nothing of.
    fn qualified(&self, moment: Moment, answer: Answer) -> Answer {
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
