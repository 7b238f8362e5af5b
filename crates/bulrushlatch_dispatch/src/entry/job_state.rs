//! A job that an entry is working on.

use std::sync::Arc;

use crate::{
    clock::BootTime,
    ids::{Attempt, CallerId, OrderNumber, ProcessId, TaskKey},
    job::JobRequest,
    routing::Route,
};

/// A job and its tasks.
#[derive(Debug)]
pub struct JobState {
    /// What the caller asked for.
    pub request: JobRequest,
    /// The route as it was when the job arrived.
    pub route: Arc<Route>,
    /// Who waits for the answer.
    pub callers: Vec<CallerId>,
    /// When it arrived.
    pub arrived_at: BootTime,
    /// When its callers give up.
    pub deadline_at: BootTime,
    /// Until when an answer is of full use.
    pub objective_at: BootTime,
    /// Tasks, by step.
    pub steps: Vec<Vec<TaskState>>,
    /// Whether a run of one of its tasks is known to have begun.
    pub has_run: bool,
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Where it is.
    pub phase: Phase,
    /// Number of the last start.
    pub attempt: Attempt,
    /// Runs that failed.
    pub failed_runs: u32,
    /// Runs that were stopped for taking too long.
    pub stuck_runs: u32,
    /// Agents at which it should not be tried again.
    pub avoided: Vec<ProcessId>,
}

/// Where a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Steps it depends on are not done.
    #[default]
    Blocked,
    /// It waits for room.
    Waiting,
    /// It was ordered at an agent.
    Placed {
        /// The agent.
        agent: ProcessId,
        /// The order.
        order: OrderNumber,
        /// When it was ordered.
        since: BootTime,
        /// Whether its stop was ordered.
        is_stopping: bool,
    },
    /// It is done.
    Done,
}

impl JobState {
    /// Returns the state of a task.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.steps.get(key.step as usize)?.get(key.index as usize)
    }

    /// Returns the state of a task, to be changed.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.steps.get_mut(key.step as usize)?.get_mut(key.index as usize)
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|task| task.phase == Phase::Done)
    }

    /// Returns whether a task of the job has run, or is under way to a target.
    pub fn may_have_run(&self) -> bool {
        let mut tasks = self.steps.iter().flatten();
        self.has_run || tasks.any(|task| matches!(task.phase, Phase::Placed { .. }))
    }

    /// Returns whether a task of the job waits for room.
    pub fn has_waiting(&self) -> bool {
        self.steps.iter().flatten().any(|task| task.phase == Phase::Waiting)
    }

    /// Makes the tasks wait whose step's dependencies are done; returns their keys.
    pub fn unblock(&mut self) -> Vec<TaskKey> {
        let is_done: Vec<bool> = self
            .steps
            .iter()
            .map(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
            .collect();
        let mut unblocked = Vec::new();
        for (number, tasks) in self.steps.iter_mut().enumerate() {
            let depends_on = self.request.steps.get(number).map(|step| &step.depends_on);
            let is_ready = depends_on.is_some_and(|steps| {
                steps.iter().all(|&before| is_done.get(before as usize) == Some(&true))
            });
            if !is_ready {
                continue;
            }
            for (index, task) in tasks.iter_mut().enumerate() {
                if task.phase == Phase::Blocked {
                    task.phase = Phase::Waiting;
                    let (step, index) = (number as u32, index as u32);
                    unblocked.push(TaskKey { job: self.request.id.clone(), step, index });
                }
            }
        }
        unblocked
    }

    /// Returns the keys of all tasks.
    pub fn keys(&self) -> Vec<TaskKey> {
        let steps = self.steps.iter().enumerate();
        let keys = steps.flat_map(|(step, tasks)| {
            (0..tasks.len()).map(move |index| (step as u32, index as u32))
        });
        keys.map(|(step, index)| TaskKey { job: self.request.id.clone(), step, index }).collect()
    }
}
