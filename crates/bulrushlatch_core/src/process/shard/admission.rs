//! Admission of submissions at the entry that owns them.

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
        job::{Job, JobPhase, Waiter, WitnessWait},
        known::KnownId,
        queue::{QueuedTask, TaskKey},
    },
    version::policy::AdmissionPolicy,
};

/// Largest assumed clock error of callers, whose ids contain the time of their creation.
const CALLER_CLOCK_SKEW_MS: u64 = 5_000;
/// Smallest and largest `retry_after_ms` in an answer.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 30_000);
/// `retry_after_ms` when no target accepts tasks or too many ids are kept.
const RETRY_WITHOUT_ESTIMATE_MS: u64 = 1000;

/// A submission is refused if its estimated time times this exceeds the time left, unless the
/// estimated queue wait is 0 ms. The actual wait may be longer than the estimate, which ignores
/// the order of tasks.
const WAIT_SAFETY_FACTOR: u64 = 2;

/// Why a submission is refused, and when it may be submitted again.
struct Refusal {
    reason: Reason,
    message: String,
    retry_after_ms: Option<u64>,
}

impl<P: PlacementRule> Shard<P> {
    /// Handles a submission whose slice this entry owns.
    ///
    /// Attaches the caller to an open or answered job, starts recovery if a previous owner may have
    /// admitted the id, and admits or refuses a new submission.
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
            self.delayed.push((until, arrival));
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
            if let Some(answer) = known.id.final_answer.clone() {
                self.reply(moment, waiter, *answer, effects);
                return;
            }
            self.recover(moment, waiter, submission, deadline, false, effects);
            return;
        }
        let created_ms = uuid_v7_time_ms(&submission_id);
        let window_ms = self.limits.id_window.as_millis() as u64;
        if created_ms.is_some_and(|created_ms| created_ms + window_ms < moment.wall_ms) {
            self.reply(moment, waiter, too_old(submission_id), effects);
            return;
        }
        // No previous owner can have admitted an id that was created after it lost the slice.
        let is_created_since =
            created_ms.is_some_and(|created_ms| created_ms > owned_since_ms + CALLER_CLOCK_SKEW_MS);
        if !knows_all_ids && !is_created_since {
            self.recover(moment, waiter, submission, deadline, true, effects);
            return;
        }
        let waiters = BTreeSet::from([waiter]);
        self.admit_new(moment, waiters, submission, deadline, witness, effects);
    }

    /// Admits or refuses a submission of which no task has ever started.
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
        if let Err(refusal) = self.check_admission(moment, &submission, deadline) {
            let Refusal { reason, message, retry_after_ms } = refusal;
            let answer = Answer::refused(submission_id, reason, message, retry_after_ms);
            for waiter in waiters {
                self.reply(moment, waiter, answer.clone(), effects);
            }
            return;
        }
        let phase = JobPhase::AwaitingWitness(WitnessWait {
            since: moment.now,
            last_sent: moment.now,
            sent_notes: 0,
        });
        let mut job = Job::new(submission, deadline, phase);
        job.waiters = waiters;
        self.deadlines.insert((deadline, submission_id.clone()));
        let id = KnownId::new(submission_id.clone(), job.digest, self.view.next_offset);
        self.known.remember(moment.now, id).holders.extend(witness);
        self.jobs.insert(submission_id.clone(), job);
        self.send_note_or_activate(moment, &submission_id, effects);
    }

    /// Queues a job's tasks if another member holds its id, or else sends the id to a witness.
    pub(super) fn send_note_or_activate(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_replicated(submission_id) {
            self.activate(submission_id);
            self.dispatch(moment, effects);
            return;
        }
        let witnesses = self.witnesses_of(slice_of(submission_id));
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        let JobPhase::AwaitingWitness(wait) = &mut job.phase else { return };
        let next = wait.sent_notes % witnesses.len().max(1);
        wait.sent_notes += 1;
        wait.last_sent = moment.now;
        let Some(&witness) = witnesses.get(next) else { return };
        self.send_note(moment, witness, std::slice::from_ref(submission_id), effects);
    }

    /// Makes a job active and puts its unplaced tasks into the queue.
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

    /// Adds a caller to an open job, or sends it the final answer of an answered one.
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

    /// Checks a new submission against the settings, the capacity of its service, the number of
    /// remembered ids and the length of the queue.
    fn check_admission(
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
        let capacity = agents.capacity(moment.now, self.limits.silence_limit, &submission.service);
        drop(agents);
        let Some(capacity) = capacity else {
            return refuse(Reason::UnknownService, "service: no target has announced it");
        };
        check_sizes(submission, &policy, capacity)?;
        if capacity.slots == 0 && !capacity.is_any_silent {
            let message = "every target of the service is leaving or drained";
            return refuse_for_now(Reason::TargetUnreachable, message, RETRY_WITHOUT_ESTIMATE_MS);
        }
        if self.known.len() >= self.limits.max_ids {
            let message = "too many ids are kept";
            return refuse_for_now(Reason::IdTableFull, message, RETRY_WITHOUT_ESTIMATE_MS);
        }
        self.check_queue(moment, submission, &policy, capacity, deadline)
    }

    /// Checks that the team's queue has capacity and that the deadline can be met at the current
    /// load.
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
        let remaining_ms = deadline.saturating_duration_since(moment.now).as_millis() as u64;
        if needed_ms * WAIT_SAFETY_FACTOR > remaining_ms && wait_ms > 0 {
            let message = format!("about {needed_ms} ms are needed at the current load");
            return refuse_for_now(Reason::DeadlineUnreachable, message, wait_ms);
        }
        Ok(())
    }
}

impl<P: PlacementRule> Shard<P> {
    /// Returns the time in milliseconds that the queued work of a service is expected to take.
    pub(super) fn queue_wait_ms(&self, moment: Moment, service: &ServiceName) -> u64 {
        let agents = self.tables.agents();
        let capacity = agents.capacity(moment.now, self.limits.silence_limit, service);
        self.queue.work_slot_ms(service) / self.own_slots(capacity.unwrap_or_default())
    }

    /// Returns the shard's part of a service's slots, in proportion to its share of all slices; the
    /// other shards place tasks on the rest.
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

/// Returns the `retry_after_ms` to send for an expected wait.
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
