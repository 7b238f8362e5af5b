//! Final answers, cancellation, lookup and eviction of old state.

use std::sync::Arc;

use bulrushlatch_protocol::{
    answer::{Answer, AnswerState, Reason, TaskFailure},
    ids::{Incarnation, SubmissionId, slice_of},
    submission::Submission,
    verdict::Verdict,
};

use super::{Moment, Shard, admission::retry_after_ms};
use crate::{
    connection::placement::PlacementRule,
    effect::Effect,
    message::{DropTasks, Message},
    request::{
        job::{Job, JobPhase, TaskState, Waiter},
        queue::TaskKey,
    },
};

impl<P: PlacementRule> Shard<P> {
    /// Answers a job if every task has completed or one has failed; returns whether it did.
    pub(super) fn answer_if_ended(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(job) = self.jobs.get(submission_id) else { return false };
        if let Some(answer) = job.complete_answer() {
            self.finish(moment, submission_id, &answer, effects);
            return true;
        }
        let failures = job.failures();
        let Some(first) = failures.first() else { return false };
        let reason = first.reason;
        self.fail_job(moment, submission_id, reason, failures, effects);
        true
    }

    /// Cancels a submission at its owner; one that is already answered keeps its answer.
    pub(super) fn cancel_owned(
        &mut self,
        moment: Moment,
        waiter: Waiter,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let is_open = self.jobs.get(submission_id).is_some_and(|job| !job.is_answered());
        if is_open {
            if let Some(job) = self.jobs.get_mut(submission_id) {
                job.waiters.insert(waiter);
            }
            self.fail_job(moment, submission_id, Reason::Cancelled, Vec::new(), effects);
            return;
        }
        self.lookup_owned(moment, waiter, submission_id, effects);
    }

    /// Replies with the state of a submission, or redirects a remote caller if it is not owned.
    pub(super) fn lookup_owned(
        &mut self,
        moment: Moment,
        waiter: Waiter,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        if !self.owns(submission_id) {
            if let Waiter::Remote(to, ticket) = waiter {
                self.send_not_owner(to, ticket, effects);
            }
            return;
        }
        let answer = self.current_answer(submission_id);
        self.reply(moment, waiter, answer, effects);
    }

    /// Fails the jobs and answers the parked requests whose deadline has passed.
    pub(super) fn expire_jobs(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        while let Some((deadline, submission_id)) = self.deadlines.first().cloned() {
            if deadline > moment.now {
                break;
            }
            self.fail_job(moment, &submission_id, Reason::TimedOut, Vec::new(), effects);
        }
        self.expire_parked(moment, effects);
    }

    fn expire_parked(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let mut expired = Vec::new();
        for owned in self.owned.values_mut() {
            expired.extend(owned.parked.extract_if(.., |parked| parked.deadline <= moment.now));
        }
        for parked in expired {
            let answer = Answer::unknown(
                parked.submission.submission_id.clone(),
                Reason::RecordsLost,
                "the ids of a lost entry were not collected in time",
                Some(self.limits.recovery_wait.as_millis() as u64),
            );
            self.reply(moment, parked.waiter, answer, effects);
        }
    }

    /// Resends notes, queries and probes without a reply, and ends waits that took too long.
    pub(super) fn maintain_jobs(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let open: Vec<SubmissionId> = self.deadlines.iter().map(|(_, id)| id.clone()).collect();
        for submission_id in open {
            let Some(job) = self.jobs.get(&submission_id) else { continue };
            match &job.phase {
                JobPhase::AwaitingWitness(wait) => {
                    let since_sent = moment.now.saturating_duration_since(wait.last_sent);
                    let is_resend_due = since_sent >= self.limits.resend;
                    self.maintain_witness_wait(moment, &submission_id, is_resend_due, effects);
                }
                JobPhase::Recovering(_) => {
                    self.maintain_recovery(moment, &submission_id, effects);
                }
                JobPhase::Active => self.probe_placed_tasks(moment, &submission_id, effects),
                JobPhase::Answered(_) => {}
            }
        }
    }

    /// Evicts answers after the id window and remembered ids after their lifetime.
    pub(super) fn evict_expired(&mut self, moment: Moment) {
        self.remote.forget_old(moment.now);
        while let Some((since, _)) = self.answered.front() {
            if moment.now.saturating_duration_since(*since) < self.limits.id_window {
                break;
            }
            let Some((_, submission_id)) = self.answered.pop_front() else { break };
            let is_answered = self.jobs.get(&submission_id).is_some_and(Job::is_answered);
            if is_answered {
                self.remove_job(&submission_id);
            }
        }
        while self.answers_with_results.front().is_some_and(|id| !self.jobs.contains_key(id)) {
            self.answers_with_results.pop_front();
        }
        let Some(oldest) = moment.now.checked_sub(self.id_lifetime()) else { return };
        while let Some(submission_id) = self.known.pop_expired(oldest) {
            if self.jobs.contains_key(&submission_id) {
                self.known.defer_expiry(moment.now, submission_id);
            } else {
                self.known.forget(&submission_id);
            }
        }
    }

    /// Removes a job from all tables without answering its callers.
    pub(super) fn remove_job(&mut self, submission_id: &SubmissionId) -> Option<Job> {
        self.release_tasks(submission_id);
        let job = self.jobs.remove(submission_id)?;
        self.deadlines.remove(&(job.deadline, submission_id.clone()));
        if let JobPhase::Answered(answer) = &job.phase {
            self.result_bytes = self.result_bytes.saturating_sub(result_bytes(answer));
        }
        Some(job)
    }

    fn current_answer(&self, submission_id: &SubmissionId) -> Answer {
        if let Some(job) = self.jobs.get(submission_id) {
            return match &job.phase {
                JobPhase::Answered(answer) => Answer::clone(answer),
                _ => Answer::running(submission_id.clone()),
            };
        }
        let known = self.known.get(submission_id);
        if let Some(answer) = known.and_then(|known| known.id.final_answer.as_deref()) {
            return answer.clone();
        }
        let slice = self.owned.get(&slice_of(submission_id));
        let knows_all_ids = slice.is_some_and(|owned| owned.knows_all_ids);
        if known.is_none() && knows_all_ids {
            let message = "the id is not known";
            return Answer::refused(submission_id.clone(), Reason::NotFound, message, None);
        }
        let message = "its owner was lost; submit it again to have it looked for";
        Answer::unknown(submission_id.clone(), Reason::RecordsLost, message, None)
    }

    /// Ends a job that did not complete. If nothing of it started, its id may be used again.
    fn fail_job(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        reason: Reason,
        failures: Vec<TaskFailure>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        let verdict = job.verdict();
        let is_recovering = matches!(job.phase, JobPhase::Recovering(_));
        let agents = job.agents_with_tasks();
        self.send_drop(submission_id, &agents, effects);
        if verdict == Verdict::NotRun {
            let retry_after_ms = self.retry_after_ms(moment, submission_id, reason);
            let message = failures.first().map(|failure| failure.message.clone());
            let message = message.unwrap_or_else(|| "nothing of it was started".to_owned());
            let refused = Answer::refused(submission_id.clone(), reason, message, retry_after_ms);
            self.refuse_job(moment, submission_id, &Answer { failures, ..refused }, effects);
        } else if is_recovering {
            let message = "it was given up before agents had told of its tasks";
            let unknown = Answer::unknown(submission_id.clone(), reason, message, None);
            self.fail_recovering_job(moment, submission_id, &unknown, effects);
        } else {
            let failed = Answer::failed(submission_id.clone(), verdict, reason, failures);
            self.finish(moment, submission_id, &failed, effects);
        }
    }

    /// Answers the callers of a job that completed or may have run, and keeps the answer for later
    /// requests.
    fn finish(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        answer: &Answer,
        effects: &mut Vec<Effect>,
    ) {
        self.release_tasks(submission_id);
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        self.deadlines.remove(&(job.deadline, submission_id.clone()));
        let waiters = std::mem::take(&mut job.waiters);
        let tasks = Vec::new();
        job.submission = Arc::new(Submission { tasks, ..Submission::clone(&job.submission) });
        job.phase = JobPhase::Answered(Box::new(answer.clone()));
        self.answered.push_back((moment.now, submission_id.clone()));
        if answer.state == AnswerState::Complete {
            self.result_bytes += result_bytes(answer);
            self.answers_with_results.push_back(submission_id.clone());
            self.drop_oldest_results();
        } else if let Some(known) = self.known.get_mut(submission_id) {
            known.id.final_answer = Some(Box::new(answer.clone()));
        }
        for waiter in waiters {
            self.reply(moment, waiter, answer.clone(), effects);
        }
    }

    /// Answers a job of which nothing has started or will start, and forgets its id, so that the
    /// id may be submitted again as a new one.
    fn refuse_job(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        answer: &Answer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.remove_job(submission_id) else { return };
        self.known.forget(submission_id);
        if let Some(owned) = self.owned.get_mut(&slice_of(submission_id)) {
            owned.unreplicated.remove(submission_id);
        }
        for waiter in job.waiters {
            self.reply(moment, waiter, answer.clone(), effects);
        }
    }

    /// Answers a job that failed during recovery. Its id stays known, so that a later submission of
    /// the same id queries the agents again.
    fn fail_recovering_job(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        answer: &Answer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.remove_job(submission_id) else { return };
        for waiter in job.waiters {
            self.reply(moment, waiter, answer.clone(), effects);
        }
    }

    fn maintain_witness_wait(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        is_resend_due: bool,
        effects: &mut Vec<Effect>,
    ) {
        let waited = self.witness_wait(moment, submission_id);
        if waited >= self.limits.witness_wait {
            let reason = Reason::WitnessUnavailable;
            self.fail_job(moment, submission_id, reason, Vec::new(), effects);
        } else if is_resend_due {
            self.send_note_or_activate(moment, submission_id, effects);
        }
    }

    /// Removes a job's tasks from the queue and releases the slots of its placed tasks.
    fn release_tasks(&mut self, submission_id: &SubmissionId) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        for (index, task) in job.tasks.iter().enumerate() {
            match task {
                TaskState::Queued(_) if matches!(job.phase, JobPhase::Active) => {
                    let submission_id = submission_id.clone();
                    let key = TaskKey { submission_id, index: index as u32 };
                    let submission = &job.submission;
                    self.queue.remove(&submission.service, &submission.team, job.deadline, &key);
                }
                TaskState::Placed(placed) if job.holds_slots() => {
                    self.release_slots(submission_id, index, placed.agent);
                }
                _ => {}
            }
        }
    }

    fn send_drop(
        &self,
        submission_id: &SubmissionId,
        agents: &[Incarnation],
        effects: &mut Vec<Effect>,
    ) {
        for &agent in agents {
            let Some(to) = self.tables.agents().destination(agent) else { continue };
            let submission_id = submission_id.clone();
            effects.push(Effect::send(to, Message::Drop(DropTasks { submission_id })));
        }
    }

    /// Returns the time in which the queued work of the service is expected to be done, or `None`
    /// if the job was cancelled.
    fn retry_after_ms(
        &self,
        moment: Moment,
        submission_id: &SubmissionId,
        reason: Reason,
    ) -> Option<u64> {
        if reason == Reason::Cancelled {
            return None;
        }
        let service = &self.jobs.get(submission_id)?.submission.service;
        Some(retry_after_ms(self.queue_wait_ms(moment, service)))
    }

    fn drop_oldest_results(&mut self) {
        while self.result_bytes > self.limits.max_result_bytes {
            let Some(submission_id) = self.answers_with_results.pop_front() else { return };
            let Some(job) = self.jobs.get_mut(&submission_id) else { continue };
            let JobPhase::Answered(answer) = &mut job.phase else { continue };
            self.result_bytes = self.result_bytes.saturating_sub(result_bytes(answer));
            let message = "it completed, but its results are no longer kept";
            let unknown =
                Answer::unknown(submission_id.clone(), Reason::ResultsDropped, message, None);
            **answer = Answer { ran: Verdict::Ran, ..unknown };
        }
    }
}

fn result_bytes(answer: &Answer) -> usize {
    answer.results.iter().map(|result| result.get().len()).sum()
}
