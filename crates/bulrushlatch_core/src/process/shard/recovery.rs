//! Submissions that another owner may have begun.
//!
//! The new owner asks every agent that may have a task of the submission. An agent that answers
//! refuses all older owners of the slice from then on, so what it has not seen it never starts
//! for them. Only if every such agent has answered may the remaining tasks be placed.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use bulrushlatch_protocol::{
    answer::{Answer, Reason},
    ids::{Incarnation, SubmissionId},
    submission::Submission,
};

use super::{Moment, Shard};
use crate::{
    connection::placement::PlacementRule,
    effect::{Destination, Effect},
    message::{Message, Query, QueryReply, TaskReport, TaskReportState},
    request::{
        job::{DoneTask, Job, JobPhase, Noting, PlacedTask, Recovering, TaskState, Waiter},
        known::{KnownId, TaskWhereabouts},
    },
};

/// Agents that may have tasks of a submission.
struct Suspects {
    /// Agents that can answer.
    present: BTreeSet<Incarnation>,
    /// Whether some cannot answer any more.
    is_any_lost: bool,
}

impl<P: PlacementRule> Shard<P> {
    /// Begins to ask agents; `may_be_new` when nobody is known to have admitted the id.
    pub(super) fn recover(
        &mut self,
        moment: Moment,
        waiter: Waiter,
        submission: Arc<Submission>,
        deadline: Instant,
        may_be_new: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.counters.recoveries += 1;
        let submission_id = submission.submission_id.clone();
        let suspects = self.suspects(&submission_id);
        let recovering = Recovering {
            since: moment.now,
            last_sent: moment.now,
            waiting: suspects.present,
            lost_agent: suspects.is_any_lost,
            may_be_new,
        };
        let mut job = Job::new(submission, deadline, JobPhase::Recovering(recovering));
        job.waiters.insert(waiter);
        self.deadlines.insert((deadline, submission_id.clone()));
        self.jobs.insert(submission_id.clone(), job);
        self.send_queries(&submission_id, effects);
        self.conclude_recovery(moment, &submission_id, effects);
    }

    pub(super) fn take_query_reply(
        &mut self,
        moment: Moment,
        from: Destination,
        reply: QueryReply,
        effects: &mut Vec<Effect>,
    ) {
        let submission_id = reply.submission_id;
        let Some(job) = self.jobs.get_mut(&submission_id) else { return };
        let JobPhase::Recovering(recovering) = &mut job.phase else { return };
        if reply.epoch != self.view.epoch || !recovering.waiting.remove(&from.incarnation) {
            return;
        }
        for report in reply.tasks {
            locate(job, moment.now, from.incarnation, report);
        }
        self.conclude_recovery(moment, &submission_id, effects);
    }

    /// Asks silent agents again, and gives up on those that were lost or waited for too long.
    pub(super) fn maintain_recovery(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let view = Arc::clone(&self.view);
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        let JobPhase::Recovering(recovering) = &mut job.phase else { return };
        let waiting_before = recovering.waiting.len();
        recovering.waiting.retain(|agent| view.agents.contains_key(agent));
        recovering.lost_agent |= recovering.waiting.len() < waiting_before;
        let waited = moment.now.saturating_duration_since(recovering.since);
        if waited >= self.limits.recovery_wait {
            recovering.lost_agent |= !recovering.waiting.is_empty();
            recovering.waiting.clear();
        }
        let since_sent = moment.now.saturating_duration_since(recovering.last_sent);
        if since_sent >= self.limits.resend {
            recovering.last_sent = moment.now;
            self.send_queries(submission_id, effects);
        }
        self.conclude_recovery(moment, submission_id, effects);
    }

    fn suspects(&mut self, submission_id: &str) -> Suspects {
        let known = self.known.get_mut(submission_id);
        let whereabouts = known.and_then(|known| known.id.whereabouts.take());
        if let Some(whereabouts) = whereabouts {
            return self.named_suspects(&whereabouts);
        }
        let known = self.known.get(submission_id);
        let admitted_offset = known.map_or(0, |known| known.id.admitted_offset);
        let is_any_lost = self.view.is_agent_memory_lost_since(admitted_offset);
        Suspects { present: self.view.agents.keys().copied().collect(), is_any_lost }
    }

    /// The former owner said itself where its tasks are.
    fn named_suspects(&self, whereabouts: &[TaskWhereabouts]) -> Suspects {
        let named = whereabouts.iter().filter_map(|whereabouts| match whereabouts {
            TaskWhereabouts::At(agent) => Some(*agent),
            TaskWhereabouts::Nowhere => None,
        });
        let named: BTreeSet<Incarnation> = named.collect();
        let is_present = |agent: &Incarnation| self.view.agents.contains_key(agent);
        let is_any_lost = !named.iter().all(is_present);
        Suspects { present: named.into_iter().filter(is_present).collect(), is_any_lost }
    }

    fn send_queries(&self, submission_id: &SubmissionId, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        let JobPhase::Recovering(recovering) = &job.phase else { return };
        for &agent in &recovering.waiting {
            let Some(registered) = self.view.agents.get(&agent) else { continue };
            let address = registered.description.address;
            let to = Destination { address, incarnation: agent };
            let query = Query { epoch: self.view.epoch, submission_id: submission_id.clone() };
            effects.push(Effect::send(to, Message::Query(query)));
        }
    }

    fn conclude_recovery(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        let JobPhase::Recovering(recovering) = &job.phase else { return };
        if !recovering.waiting.is_empty() {
            return;
        }
        let lost_agent = recovering.lost_agent;
        let may_be_new = recovering.may_be_new;
        let is_unseen = job.tasks.iter().all(|task| matches!(task, TaskState::Queued(_)));
        let is_any_unseen = job.tasks.iter().any(|task| matches!(task, TaskState::Queued(_)));
        if lost_agent && is_any_unseen {
            self.give_up_recovery(moment, submission_id, effects);
        } else if may_be_new && is_unseen {
            self.restart_as_new(moment, submission_id, effects);
        } else {
            self.resume(moment, submission_id, effects);
        }
    }

    /// Some tasks may be at agents that cannot say. Nothing is placed; the id can be asked for
    /// again, since a lost agent may come back.
    fn give_up_recovery(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.take_job(submission_id) else { return };
        let retry_after_ms = self.limits.agent_gone.as_millis() as u64;
        let answer = Answer::unknown(
            submission_id.clone(),
            Reason::RecordsLost,
            "a process that may have started tasks of the submission was lost",
            Some(retry_after_ms),
        );
        for waiter in job.waiters {
            self.reply(moment, waiter, answer.clone(), effects);
        }
    }

    fn restart_as_new(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.take_job(submission_id) else { return };
        self.admit_new(moment, job.waiters, job.submission, job.deadline, None, effects);
    }

    fn resume(&mut self, moment: Moment, submission_id: &SubmissionId, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        job.phase = JobPhase::Noting(Noting { since: moment.now, last_sent: moment.now, asked: 0 });
        let id = KnownId::new(submission_id.clone(), job.digest, self.view.next_offset);
        self.hold_slots_of_located_tasks(moment, submission_id);
        self.known.remember(moment.now, id);
        if self.answer_if_ended(moment, submission_id, effects) {
            return;
        }
        self.note_or_activate(moment, submission_id, effects);
    }

    fn hold_slots_of_located_tasks(&self, moment: Moment, submission_id: &SubmissionId) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        for (state, task) in job.tasks.iter().zip(&job.submission.tasks) {
            if let TaskState::Placed(placed) = state {
                self.tables.agents().note_placed(moment.now, placed.agent, task.slots);
                self.tables.quotas().acquire(&job.submission.team, task.slots);
            }
        }
    }
}

/// Takes what an agent said of one task into a job that is being recovered.
fn locate(job: &mut Job, now: Instant, agent: Incarnation, report: TaskReport) {
    let placement = report.placement;
    let Some(task) = job.tasks.get_mut(placement.index as usize) else { return };
    *task = match report.state {
        TaskReportState::Accepted => TaskState::Placed(PlacedTask {
            agent,
            epoch: placement.epoch,
            attempt: placement.attempt,
            refused: 0,
            last_sent: now,
            is_accepted: true,
        }),
        TaskReportState::Done(done) => TaskState::Done(DoneTask { agent, result: done.result }),
        // It provably did not start there, which says nothing about other agents.
        TaskReportState::Failed(error) if error.ran.allows_another_placement() => return,
        TaskReportState::Failed(error) => {
            TaskState::Failed(error.into_task_failure(placement.index))
        }
    };
}
