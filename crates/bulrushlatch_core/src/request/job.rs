//! A submission that its owner works on, or has answered.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use bulrushlatch_protocol::{
    answer::{Answer, TaskFailure},
    ids::{Epoch, Incarnation, Payload, SubmissionId, TaskIndex},
    submission::Submission,
    verdict::Verdict,
};

use super::known::TaskWhereabouts;
use crate::{
    effect::Destination,
    message::{Attempt, Placement, Ticket},
};

/// A submission at its owner.
#[derive(Debug)]
pub struct Job {
    /// The submission; its tasks are empty once it is answered.
    pub submission: Arc<Submission>,
    /// Digest of the body.
    pub digest: u64,
    /// When the job is given up.
    pub deadline: Instant,
    /// Callers that wait for the answer.
    pub waiters: BTreeSet<Waiter>,
    /// How far the job is.
    pub phase: JobPhase,
    /// One state for each task.
    pub tasks: Vec<TaskState>,
    /// Agents that refused a task of the job; others are tried first.
    pub refused_by: BTreeSet<Incarnation>,
}

/// A caller that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiter {
    /// At this entry.
    Local(Ticket),
    /// At another entry.
    Remote(Destination, Ticket),
}

/// How far a job is.
#[derive(Debug)]
pub enum JobPhase {
    /// Another entry is being told of the id; nothing has been placed.
    Noting(Noting),
    /// Agents are being asked what they know of the id; nothing more is placed meanwhile.
    Recovering(Recovering),
    /// Tasks are placed as slots become free.
    Active,
    /// The answer is final.
    Answered(Box<Answer>),
}

/// Progress of telling a witness.
#[derive(Debug)]
pub struct Noting {
    /// When it began.
    pub since: Instant,
    /// When the id was last sent to a witness.
    pub last_sent: Instant,
    /// Witnesses asked so far.
    pub asked: usize,
}

/// Progress of asking agents.
#[derive(Debug)]
pub struct Recovering {
    /// When it began.
    pub since: Instant,
    /// When the agents were last asked.
    pub last_sent: Instant,
    /// Agents that have not answered.
    pub waiting: BTreeSet<Incarnation>,
    /// Whether an agent that may have had a task can no longer answer.
    pub lost_agent: bool,
    /// Whether the id is not known to have been admitted at all.
    pub may_be_new: bool,
}

/// How far a task is.
#[derive(Clone, Debug)]
pub enum TaskState {
    /// It waits for a slot, after this many placements that were refused.
    Queued(u32),
    /// It was sent to an agent.
    Placed(PlacedTask),
    /// It ran and gave a result.
    Done(DoneTask),
    /// It ended badly.
    Failed(TaskFailure),
}

/// A task that was sent to an agent.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// The agent.
    pub agent: Incarnation,
    /// Epoch in which it was placed.
    pub epoch: Epoch,
    /// Count of the placement.
    pub attempt: Attempt,
    /// Placements before this one that were refused.
    pub refused: u32,
    /// When it was sent or last asked for.
    pub last_sent: Instant,
    /// Whether the agent said that it has the task.
    pub is_accepted: bool,
}

/// A task that ran and gave a result.
#[derive(Clone, Debug)]
pub struct DoneTask {
    /// The agent that keeps the result.
    pub agent: Incarnation,
    /// The result.
    pub result: Payload,
}

impl PlacedTask {
    /// Returns the placement as it is told to the agent.
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
    /// Returns a job of which nothing has been placed.
    pub fn new(submission: Arc<Submission>, deadline: Instant, phase: JobPhase) -> Self {
        let digest = submission.digest();
        let tasks = vec![TaskState::Queued(0); submission.tasks.len()];
        let (waiters, refused_by) = (BTreeSet::new(), BTreeSet::new());
        Self { submission, digest, deadline, waiters, phase, tasks, refused_by }
    }

    /// Returns whether the job has its final answer.
    pub fn is_answered(&self) -> bool {
        matches!(self.phase, JobPhase::Answered(_))
    }

    /// Returns whether the placed tasks are counted against agents and quotas.
    pub fn holds_slots(&self) -> bool {
        !matches!(self.phase, JobPhase::Recovering(_) | JobPhase::Answered(_))
    }

    /// Returns the answer if every task has its result.
    pub fn complete_answer(&self) -> Option<Answer> {
        let results = self.tasks.iter().map(|task| match task {
            TaskState::Done(done) => Some(done.result.clone()),
            _ => None,
        });
        let results = results.collect::<Option<Vec<Payload>>>()?;
        Some(Answer::complete(self.submission.submission_id.clone(), results))
    }

    /// Returns the positions of the tasks that wait for a slot.
    pub fn queued_indices(&self) -> Vec<TaskIndex> {
        let queued = self.tasks.iter().zip(0..);
        let queued = queued.filter(|(task, _)| matches!(task, TaskState::Queued(_)));
        queued.map(|(_, index)| index).collect()
    }

    /// Returns the agents that have tasks which have not ended.
    pub fn agents_with_tasks(&self) -> Vec<Incarnation> {
        let agents = self.tasks.iter().filter_map(|task| match task {
            TaskState::Placed(placed) => Some(placed.agent),
            _ => None,
        });
        let agents: BTreeSet<Incarnation> = agents.collect();
        agents.into_iter().collect()
    }

    /// Returns the failures of the tasks that ended badly.
    pub fn failures(&self) -> Vec<TaskFailure> {
        let failures = self.tasks.iter().filter_map(|task| match task {
            TaskState::Failed(failure) => Some(failure.clone()),
            _ => None,
        });
        failures.collect()
    }

    /// Returns whether any task may have run, as far as this owner knows.
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

    /// Returns where each task is, for the next owner; the caller must place no more.
    pub fn whereabouts(&self) -> Option<Vec<TaskWhereabouts>> {
        if matches!(self.phase, JobPhase::Recovering(_)) {
            return None;
        }
        let whereabouts = self.tasks.iter().map(|task| match task {
            TaskState::Queued(_) => Some(TaskWhereabouts::Nowhere),
            TaskState::Placed(placed) => Some(TaskWhereabouts::At(placed.agent)),
            TaskState::Done(done) => Some(TaskWhereabouts::At(done.agent)),
            TaskState::Failed(_) => None,
        });
        whereabouts.collect()
    }
}
