//! Recovery of submissions that a previous owner may have started.
//!
//! The new owner queries every agent that may have a task of the submission. An agent that answers
//! refuses starts of all previous owners of the slice from then on, so a task that is not in its
//! answer never starts there for them. The remaining tasks are placed only after every such agent
//! has answered.

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
        job::{DoneTask, Job, JobPhase, PlacedTask, Recovering, TaskState, Waiter, WitnessWait},
        known::{KnownId, TaskLocation},
    },
};

/// Agents that may have tasks of a submission.
struct PossibleAgents {
    /// Registered agents, which can answer a query.
    registered: BTreeSet<Incarnation>,
    /// Whether an agent that may have had a task was lost.
    is_any_lost: bool,
}

impl<P: PlacementRule> Shard<P> {
    /// Starts recovery of a submission; `may_be_new` if no entry is known to have admitted it.
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
        let possible_agents = self.possible_agents(&submission_id);
        let recovering = Recovering {
            since: moment.now,
            last_sent: moment.now,
            unanswered: possible_agents.registered,
            is_agent_lost: possible_agents.is_any_lost,
            may_be_new,
        };
        let mut job = Job::new(submission, deadline, JobPhase::Recovering(recovering));
        job.waiters.insert(waiter);
        self.deadlines.insert((deadline, submission_id.clone()));
        self.jobs.insert(submission_id.clone(), job);
        self.send_queries(&submission_id, effects);
        self.conclude_recovery(moment, &submission_id, effects);
    }

    pub(super) fn handle_query_reply(
        &mut self,
        moment: Moment,
        from: Destination,
        reply: QueryReply,
        effects: &mut Vec<Effect>,
    ) {
        let submission_id = reply.submission_id;
        let Some(job) = self.jobs.get_mut(&submission_id) else { return };
        let JobPhase::Recovering(recovering) = &mut job.phase else { return };
        if reply.epoch != self.view.epoch || !recovering.unanswered.remove(&from.incarnation) {
            return;
        }
        for report in reply.tasks {
            apply_task_report(job, moment.now, from.incarnation, report);
        }
        self.conclude_recovery(moment, &submission_id, effects);
    }

    /// Resends queries, and counts agents as lost that are no longer registered or that have not
    /// answered within `limits.recovery_wait`.
    pub(super) fn maintain_recovery(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let view = Arc::clone(&self.view);
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        let JobPhase::Recovering(recovering) = &mut job.phase else { return };
        let unanswered_before = recovering.unanswered.len();
        recovering.unanswered.retain(|agent| view.agents.contains_key(agent));
        recovering.is_agent_lost |= recovering.unanswered.len() < unanswered_before;
        let waited = moment.now.saturating_duration_since(recovering.since);
        if waited >= self.limits.recovery_wait {
            recovering.is_agent_lost |= !recovering.unanswered.is_empty();
            recovering.unanswered.clear();
        }
        let since_sent = moment.now.saturating_duration_since(recovering.last_sent);
        if since_sent >= self.limits.resend {
            recovering.last_sent = moment.now;
            self.send_queries(submission_id, effects);
        }
        self.conclude_recovery(moment, submission_id, effects);
    }

    /// Returns the agents that may have tasks of a submission: those named by the previous owner,
    /// or else all agents.
    fn possible_agents(&mut self, submission_id: &str) -> PossibleAgents {
        let known = self.known.get_mut(submission_id);
        let locations = known.and_then(|known| known.id.task_locations.take());
        if let Some(locations) = locations {
            return self.agents_at_locations(&locations);
        }
        let known = self.known.get(submission_id);
        let admitted_offset = known.map_or(0, |known| known.id.admitted_offset);
        let is_any_lost = self.view.is_agent_memory_lost_since(admitted_offset);
        PossibleAgents { registered: self.view.agents.keys().copied().collect(), is_any_lost }
    }

    /// Returns the agents that the previous owner named as having tasks of the submission.
    fn agents_at_locations(&self, locations: &[TaskLocation]) -> PossibleAgents {
        let agents = locations.iter().filter_map(|location| match location {
            TaskLocation::At(agent) => Some(*agent),
            TaskLocation::Nowhere => None,
        });
        let agents: BTreeSet<Incarnation> = agents.collect();
        let is_registered = |agent: &Incarnation| self.view.agents.contains_key(agent);
        let is_any_lost = !agents.iter().all(is_registered);
        PossibleAgents {
            registered: agents.into_iter().filter(is_registered).collect(),
            is_any_lost,
        }
    }

    fn send_queries(&self, submission_id: &SubmissionId, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        let JobPhase::Recovering(recovering) = &job.phase else { return };
        for &agent in &recovering.unanswered {
            let Some(registered) = self.view.agents.get(&agent) else { continue };
            let address = registered.description.address;
            let to = Destination { address, incarnation: agent };
            let query = Query { epoch: self.view.epoch, submission_id: submission_id.clone() };
            effects.push(Effect::send(to, Message::Query(query)));
        }
    }

    /// Ends the recovery once no agent is left to answer.
    ///
    /// A task is unseen if no agent reported that it has the task or may have run it. Abandons the
    /// recovery if an agent was lost that may have started an unseen task. Treats the submission as
    /// new if every task is unseen and no entry is known to have admitted the id. Otherwise places
    /// only the unseen tasks.
    fn conclude_recovery(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        let JobPhase::Recovering(recovering) = &job.phase else { return };
        if !recovering.unanswered.is_empty() {
            return;
        }
        let is_agent_lost = recovering.is_agent_lost;
        let may_be_new = recovering.may_be_new;
        let is_every_task_unseen =
            job.tasks.iter().all(|task| matches!(task, TaskState::Queued(_)));
        let is_any_task_unseen = job.tasks.iter().any(|task| matches!(task, TaskState::Queued(_)));
        if is_agent_lost && is_any_task_unseen {
            self.abandon_recovery(moment, submission_id, effects);
        } else if may_be_new && is_every_task_unseen {
            self.restart_as_new(moment, submission_id, effects);
        } else {
            self.resume(moment, submission_id, effects);
        }
    }

    /// Answers that the outcome is unknown, since a lost agent may have started some tasks. Nothing
    /// is placed. The id may be submitted again, because the lost agent may come back.
    fn abandon_recovery(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.remove_job(submission_id) else { return };
        let retry_after_ms = self.limits.agent_gone_after.as_millis() as u64;
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
        let Some(job) = self.remove_job(submission_id) else { return };
        self.admit_new(moment, job.waiters, job.submission, job.deadline, None, effects);
    }

    /// Continues a recovered job: answers it if it has ended, or else queues the unseen tasks once
    /// the id is replicated.
    fn resume(&mut self, moment: Moment, submission_id: &SubmissionId, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(submission_id) else { return };
        job.phase = JobPhase::AwaitingWitness(WitnessWait {
            since: moment.now,
            last_sent: moment.now,
            sent_notes: 0,
        });
        let id = KnownId::new(submission_id.clone(), job.digest, self.view.next_offset);
        self.hold_slots_of_reported_tasks(moment, submission_id);
        self.known.remember(moment.now, id);
        if self.answer_if_ended(moment, submission_id, effects) {
            return;
        }
        self.send_note_or_activate(moment, submission_id, effects);
    }

    fn hold_slots_of_reported_tasks(&self, moment: Moment, submission_id: &SubmissionId) {
        let Some(job) = self.jobs.get(submission_id) else { return };
        for (state, task) in job.tasks.iter().zip(&job.submission.tasks) {
            if let TaskState::Placed(placed) = state {
                self.tables.agents().record_placement(moment.now, placed.agent, task.slots);
                self.tables.quotas().acquire(&job.submission.team, task.slots);
            }
        }
    }
}

/// Sets the state of one task of a job in recovery to what an agent reported.
fn apply_task_report(job: &mut Job, now: Instant, agent: Incarnation, report: TaskReport) {
    let placement = report.placement;
    let Some(task) = job.tasks.get_mut(placement.index as usize) else { return };
    *task = match report.state {
        TaskReportState::Accepted => TaskState::Placed(PlacedTask {
            agent,
            epoch: placement.epoch,
            attempt: placement.attempt,
            refusals: 0,
            last_sent: now,
            is_accepted: true,
        }),
        TaskReportState::Done(done) => TaskState::Done(DoneTask { agent, result: done.result }),
        // The task did not start at this agent, but another agent may still report it.
        TaskReportState::Failed(error) if error.ran.is_safe_to_retry() => return,
        TaskReportState::Failed(error) => {
            TaskState::Failed(error.into_task_failure(placement.index))
        }
    };
}
