//! What happens to a submission that arrives at its owner.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use bulrushlatch_protocol::{
    answer::{Answer, Reason},
    ids::{Incarnation, SLICE_COUNT, ServiceName, SubmissionId, slice_of, uuid_v7_time_ms},
    submission::Submission,
    verdict::Verdict,
};

use super::{Moment, Shard, owned_slice::Arrival};
use crate::{
    connection::{agents::ServiceCapacity, placement::PlacementRule},
    effect::Effect,
    request::{
        job::{Job, JobPhase, Noting, Waiter},
        known::KnownId,
        queue::{QueuedTask, TaskKey},
    },
    version::policy::AdmissionPolicy,
};

/// Allowance for the clocks of callers that put the time into their ids.
const CALLER_CLOCK_SKEW_MS: u64 = 5_000;
/// Shortest and longest advice on when to come back.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 30_000);

/// Factor by which the true wait may exceed the estimate, which knows no order of tasks.
const WAIT_MARGIN: u64 = 2;

/// Why a submission is refused, and when it may come back.
struct Refusal {
    reason: Reason,
    message: String,
    retry_after_ms: Option<u64>,
}

impl<P: PlacementRule> Shard<P> {
    /// Attaches to a known submission, or judges a new one. This entry owns its slice.
    pub(super) fn admit(&mut self, moment: Moment, arrival: Arrival, effects: &mut Vec<Effect>) {
        let submission_id = arrival.submission.submission_id.clone();
        if self.jobs.contains_key(&submission_id) {
            self.attach(moment, arrival.waiter, &arrival.submission, effects);
            return;
        }
        let Some(owned) = self.owned.get_mut(&slice_of(&submission_id)) else { return };
        if !owned.is_ready() {
            owned.parked.push(arrival);
            return;
        }
        let hold_until = self.remote.hold_until(&submission_id);
        if let Some(until) = hold_until.filter(|until| *until > moment.now) {
            self.held.push((until, arrival));
            return;
        }
        let Arrival { waiter, submission, deadline, witness } = arrival;
        let knows_all_ids = owned.knows_all_ids;
        let owned_since_ms = owned.since_wall_ms;
        if let Some(known) = self.known.get(&submission_id) {
            if known.id.digest != submission.digest() {
                self.reply(moment, waiter, conflict(submission_id), effects);
                return;
            }
            if let Some(closing) = known.id.closing.clone() {
                self.reply(moment, waiter, *closing, effects);
                return;
            }
            self.recover(moment, waiter, submission, deadline, false, effects);
            return;
        }
        let made_ms = uuid_v7_time_ms(&submission_id);
        let window_ms = self.limits.id_window.as_millis() as u64;
        if made_ms.is_some_and(|made_ms| made_ms + window_ms < moment.wall_ms) {
            self.reply(moment, waiter, too_old(submission_id), effects);
            return;
        }
        let is_made_since =
            made_ms.is_some_and(|made_ms| made_ms > owned_since_ms + CALLER_CLOCK_SKEW_MS);
        if !knows_all_ids && !is_made_since {
            self.recover(moment, waiter, submission, deadline, true, effects);
            return;
        }
        let waiters = BTreeSet::from([waiter]);
        self.admit_new(moment, waiters, submission, deadline, witness, effects);
    }

    /// Judges a submission of which nothing has ever started.
    pub(super) fn admit_new(
        &mut self,
        moment: Moment,
        waiters: BTreeSet<Waiter>,
        submission: Arc<Submission>,
        deadline: Instant,
        witness: Option<Incarnation>,
        effects: &mut Vec<Effect>,
    ) {
        let submission_id = submission.submission_id.clone();
        if let Err(refusal) = self.judge(moment, &submission, deadline) {
            let Refusal { reason, message, retry_after_ms } = refusal;
            let answer = Answer::refused(submission_id, reason, message, retry_after_ms);
            for waiter in waiters {
                self.reply(moment, waiter, answer.clone(), effects);
            }
            return;
        }
        let phase = JobPhase::Noting(Noting { since: moment.now, last_sent: moment.now, asked: 0 });
        let mut job = Job::new(submission, deadline, phase);
        job.waiters = waiters;
        self.deadlines.insert((deadline, submission_id.clone()));
        let id = KnownId::new(submission_id.clone(), job.digest, self.view.next_offset);
        self.known.remember(moment.now, id).holders.extend(witness);
        self.jobs.insert(submission_id.clone(), job);
        self.note_or_activate(moment, &submission_id, effects);
    }

    /// Lets a job's tasks be placed once another member holds its id.
    pub(super) fn note_or_activate(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_paired(submission_id) {
            self.activate(submission_id);
            self.dispatch(moment, effects);
            return;
        }
        let witnesses = self.witnesses_of(slice_of(submission_id));
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        let JobPhase::Noting(noting) = &mut job.phase else { return };
        let next = noting.asked % witnesses.len().max(1);
        noting.asked += 1;
        noting.last_sent = moment.now;
        let Some(&witness) = witnesses.get(next) else { return };
        self.send_note(moment, witness, std::slice::from_ref(submission_id), effects);
    }

    /// Puts the tasks of a job into the queue.
    pub(super) fn activate(&mut self, submission_id: &SubmissionId) {
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        job.phase = JobPhase::Active;
        let submission = Arc::clone(&job.submission);
        let deadline = job.deadline;
        let queued = job.queued_indices();
        for index in queued {
            let task = &submission.tasks[index as usize];
            let expected_ms =
                self.run_times.expected_ms(&submission.service, &task.kind, task.expected_ms);
            let key = TaskKey { submission_id: submission_id.clone(), index };
            let queued = QueuedTask { key, slots: task.slots, expected_ms };
            self.queue.push(&submission.service, &submission.team, deadline, queued);
        }
    }

    fn attach(
        &mut self,
        moment: Moment,
        waiter: Waiter,
        submission: &Submission,
        effects: &mut Vec<Effect>,
    ) {
        let submission_id = &submission.submission_id;
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        if job.digest != submission.digest() {
            self.reply(moment, waiter, conflict(submission_id.clone()), effects);
            return;
        }
        self.counters.attached += 1;
        if let JobPhase::Answered(answer) = &job.phase {
            let answer = Answer::clone(answer);
            self.reply(moment, waiter, answer, effects);
            return;
        }
        job.waiters.insert(waiter);
    }

    fn judge(
        &self,
        moment: Moment,
        submission: &Submission,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let policy = AdmissionPolicy::of(&self.settings, submission);
        let Some(policy) = policy else {
            return refuse(Reason::UnknownTeam, "team: no such branch in the settings tree");
        };
        if !policy.enabled {
            return refuse(Reason::UnknownService, "service: not enabled for the team");
        }
        if submission.timeout_ms > policy.max_timeout_ms {
            let message = format!("timeout_ms: the team's limit is {}", policy.max_timeout_ms);
            return refuse(Reason::BadRequest, message);
        }
        let agents = self.tables.agents();
        let capacity = agents.capacity(moment.now, self.limits.silence, &submission.service);
        drop(agents);
        let Some(capacity) = capacity else {
            return refuse(Reason::UnknownService, "service: no target has announced it");
        };
        check_sizes(submission, &policy, capacity)?;
        if capacity.slots == 0 && !capacity.is_any_silent {
            let message = "every target of the service is leaving or drained";
            return refuse_for_now(Reason::TargetUnreachable, message, 1000);
        }
        if self.known.len() >= self.limits.max_ids {
            return refuse_for_now(Reason::IdTableFull, "too many ids are kept", 1000);
        }
        self.check_queue(moment, submission, &policy, capacity, deadline)
    }

    /// Refuses what would wait longer than its deadline, at the rate at which slots are used.
    fn check_queue(
        &self,
        moment: Moment,
        submission: &Submission,
        policy: &AdmissionPolicy,
        capacity: ServiceCapacity,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let service = &submission.service;
        let own_slots = self.own_slots(capacity);
        let wait_ms = self.queue_wait_ms(moment, service);
        let queued = self.queue.team_len(service, &submission.team) + submission.tasks.len();
        if queued as u64 > policy.max_queued_tasks {
            return refuse_for_now(Reason::QueueFull, "the team's queue is full", wait_ms);
        }
        let tasks = submission.tasks.iter();
        let expected = tasks.map(|task| {
            let expected_ms = self.run_times.expected_ms(service, &task.kind, task.expected_ms);
            (expected_ms, expected_ms * u64::from(task.slots))
        });
        let (longest_ms, work_slot_ms) =
            expected.fold((0, 0), |(longest, work), (run, cost)| (longest.max(run), work + cost));
        let needed_ms = wait_ms + longest_ms.max(work_slot_ms / own_slots);
        let time_left_ms = deadline.saturating_duration_since(moment.now).as_millis() as u64;
        if needed_ms * WAIT_MARGIN > time_left_ms && wait_ms > 0 {
            let message = format!("about {needed_ms} ms are needed at the current load");
            return refuse_for_now(Reason::DeadlineUnreachable, message, wait_ms);
        }
        Ok(())
    }
}

impl<P: PlacementRule> Shard<P> {
    /// Returns how long the work that waits for a service will take.
    pub(super) fn queue_wait_ms(&self, moment: Moment, service: &ServiceName) -> u64 {
        let agents = self.tables.agents();
        let capacity = agents.capacity(moment.now, self.limits.silence, service);
        self.queue.work_slot_ms(service) / self.own_slots(capacity.unwrap_or_default())
    }

    /// Returns this shard's part of the slots; the others have work of their own.
    fn own_slots(&self, capacity: ServiceCapacity) -> u64 {
        let owned = self.owned.len() as u64;
        (capacity.slots * owned / u64::from(SLICE_COUNT)).max(1)
    }
}

fn check_sizes(
    submission: &Submission,
    policy: &AdmissionPolicy,
    capacity: ServiceCapacity,
) -> Result<(), Refusal> {
    for (index, task) in submission.tasks.iter().enumerate() {
        let fits_quota = policy.quota_slots.is_none_or(|quota| u64::from(task.slots) <= quota);
        if task.slots > capacity.largest_slots || !fits_quota {
            let message = format!("tasks[{index}].slots: more than any target or the quota has");
            return refuse(Reason::NeverFits, message);
        }
    }
    Ok(())
}

fn refuse(reason: Reason, message: impl Into<String>) -> Result<(), Refusal> {
    Err(Refusal { reason, message: message.into(), retry_after_ms: None })
}

fn refuse_for_now(reason: Reason, message: impl Into<String>, wait_ms: u64) -> Result<(), Refusal> {
    let retry_after_ms = Some(retry_after_ms(wait_ms));
    Err(Refusal { reason, message: message.into(), retry_after_ms })
}

/// Returns the advice on when to come back, for a wait that is expected.
pub(super) fn retry_after_ms(wait_ms: u64) -> u64 {
    let (shortest_ms, longest_ms) = RETRY_AFTER_RANGE_MS;
    wait_ms.clamp(shortest_ms, longest_ms)
}

fn conflict(submission_id: SubmissionId) -> Answer {
    let message = "submission_id: it was used with another body";
    let refused = Answer::refused(submission_id, Reason::Conflict, message, None);
    Answer { ran: Verdict::MayHaveRun, ..refused }
}

fn too_old(submission_id: SubmissionId) -> Answer {
    let message = "submission_id: it is older than the time for which ids are kept";
    Answer::unknown(submission_id, Reason::TooOld, message, None)
}
