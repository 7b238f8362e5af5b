//! The state of a submission at its owner, from arrival to its final answer.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use bulrushlatch_protocol::{
    answer::{Answer, TaskFailure},
    ids::{Epoch, Incarnation, Payload, SubmissionId, TaskIndex},
    submission::Submission,
    verdict::Verdict,
};

use super::known::TaskLocation;
use crate::{
    effect::Destination,
    message::{Attempt, Placement, Ticket},
};

/// A submission at its owner and the progress of its tasks.
#[derive(Debug)]
pub struct Job {
    /// The submission; its tasks are empty once it is answered.
    pub submission: Arc<Submission>,
    /// Digest of the submission's body.
    pub digest: u64,
    /// When the job fails if it is not complete.
    pub deadline: Instant,
    /// Callers to send the final answer to.
    pub waiters: BTreeSet<Waiter>,
    /// Current phase of the job.
    pub phase: JobPhase,
    /// One state for each task.
    pub tasks: Vec<TaskState>,
    /// Agents that refused or failed a task of the job; others are preferred for placement.
    pub avoided_agents: BTreeSet<Incarnation>,
}

/// A caller to send the answer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    /// A caller connected to this entry.
    Local(Ticket),
    /// A caller connected to another entry.
    Remote(Destination, Ticket),
}

/// Phase of a job.
#[derive(Debug)]
pub enum JobPhase {
    /// Waits until a witness has acknowledged the id; tasks are not placed before that.
    AwaitingWitness(WitnessWait),
    /// Waits for agents to report the tasks that they have; no tasks are placed meanwhile.
    Recovering(Recovering),
    /// Tasks are placed as slots become free.
    Active,
    /// The answer is final.
    Answered(Box<Answer>),
}

/// Progress of sending the id to a witness.
#[derive(Debug)]
pub struct WitnessWait {
    /// When this phase began.
    pub since: Instant,
    /// When the id was last sent to a witness.
    pub last_sent: Instant,
    /// Notes sent so far; each goes to the next witness in turn.
    pub sent_notes: usize,
}

/// Progress of asking agents for the tasks of a job.
#[derive(Debug)]
pub struct Recovering {
    /// When this phase began.
    pub since: Instant,
    /// When queries were last sent to the agents.
    pub last_sent: Instant,
    /// Agents that have not answered yet.
    pub unanswered: BTreeSet<Incarnation>,
    /// Whether an agent that may have a task was lost or did not answer in time.
    pub is_agent_lost: bool,
    /// Whether no entry is known to have admitted the id.
    pub may_be_new: bool,
}

/// State of a task at the owner.
#[derive(Clone, Debug)]
pub enum TaskState {
    /// Not placed; carries the number of refusals so far that count towards `Limits::max_refusals`.
    Queued(u32),
    /// Sent to an agent, which has not reported its end.
    Placed(PlacedTask),
    /// Completed with a result.
    Done(DoneTask),
    /// Failed for good.
    Failed(TaskFailure),
}

/// A task that was sent to an agent, which has not reported its end.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// The agent that the task was sent to.
    pub agent: Incarnation,
    /// Epoch in which the task was placed.
    pub epoch: Epoch,
    /// Sequence number of the placement.
    pub attempt: Attempt,
    /// Number of earlier refusals of this task that count towards `Limits::max_refusals`.
    pub refusals: u32,
    /// When the start or the latest probe was sent, or the acceptance was received.
    pub last_sent: Instant,
    /// Whether the agent reported that it accepted the task.
    pub is_accepted: bool,
}

/// A task that completed with a result.
#[derive(Clone, Debug)]
pub struct DoneTask {
    /// The agent that keeps the result.
    pub agent: Incarnation,
    /// The result.
    pub result: Payload,
}

impl PlacedTask {
    /// Returns the placement in the form in which it is sent to the agent.
    pub fn placement(&self, submission_id: &SubmissionId, index: usize) -> Placement {
        Placement {
            submission_id: submission_id.clone(),
            index: index as TaskIndex,
            epoch: self.epoch,
            attempt: self.attempt,
        }
    }
}

impl Job {
    /// Returns a job with all tasks queued.
    pub fn new(submission: Arc<Submission>, deadline: Instant, phase: JobPhase) -> Self {
        let digest = submission.digest();
        let tasks = vec![TaskState::Queued(0); submission.tasks.len()];
        let (waiters, avoided_agents) = (BTreeSet::new(), BTreeSet::new());
        Self { submission, digest, deadline, waiters, phase, tasks, avoided_agents }
    }

    /// Returns whether the job has its final answer.
    pub fn is_answered(&self) -> bool {
        matches!(self.phase, JobPhase::Answered(_))
    }

    /// Returns whether placed tasks count against the slots of agents and quotas.
    pub fn holds_slots(&self) -> bool {
        !matches!(self.phase, JobPhase::Recovering(_) | JobPhase::Answered(_))
    }

    /// Returns the answer if every task has completed.
    pub fn complete_answer(&self) -> Option<Answer> {
        let results = self.tasks.iter().map(|task| match task {
            TaskState::Done(done) => Some(done.result.clone()),
            _ => None,
        });
        let results = results.collect::<Option<Vec<Payload>>>()?;
        Some(Answer::complete(self.submission.submission_id.clone(), results))
    }

    /// Returns the positions of the tasks that are not placed.
    pub fn queued_indices(&self) -> Vec<TaskIndex> {
        let queued = self.tasks.iter().zip(0..);
        let queued = queued.filter(|(task, _)| matches!(task, TaskState::Queued(_)));
        queued.map(|(_, index)| index).collect()
    }

    /// Returns the agents that have placed tasks of the job.
    pub fn agents_with_tasks(&self) -> Vec<Incarnation> {
        let agents = self.tasks.iter().filter_map(|task| match task {
            TaskState::Placed(placed) => Some(placed.agent),
            _ => None,
        });
        let agents: BTreeSet<Incarnation> = agents.collect();
        agents.into_iter().collect()
    }

    /// Returns the failures of all failed tasks.
    pub fn failures(&self) -> Vec<TaskFailure> {
        let failures = self.tasks.iter().filter_map(|task| match task {
            TaskState::Failed(failure) => Some(failure.clone()),
            _ => None,
        });
        failures.collect()
    }

    /// Returns whether any task ran or may have run, as far as this owner knows.
    pub fn verdict(&self) -> Verdict {
        if matches!(self.phase, JobPhase::Recovering(_)) {
            return Verdict::MayHaveRun;
        }
        let verdicts = self.tasks.iter().map(|task| match task {
            TaskState::Queued(_) => Verdict::NotRun,
            TaskState::Placed(_) => Verdict::MayHaveRun,
            TaskState::Done(_) => Verdict::Ran,
            TaskState::Failed(failure) => failure.ran,
        });
        verdicts.max().unwrap_or(Verdict::NotRun)
    }

    /// Returns where each task is, for the next owner, or `None` if that is not certain.
    ///
    /// The caller must not place any task of the job after this call.
    pub fn task_locations(&self) -> Option<Vec<TaskLocation>> {
        if matches!(self.phase, JobPhase::Recovering(_)) {
            return None;
        }
        let task_locations = self.tasks.iter().map(|task| match task {
            TaskState::Queued(_) => Some(TaskLocation::Nowhere),
            TaskState::Placed(placed) => Some(TaskLocation::At(placed.agent)),
            TaskState::Done(done) => Some(TaskLocation::At(done.agent)),
            TaskState::Failed(_) => None,
        });
        task_locations.collect()
    }
}
