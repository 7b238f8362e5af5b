//! State of an open job and its tasks.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::BootTime,
    ids::{Attempt, CallerId, OrderNumber, ProcessId, TaskKey},
    job::JobRequest,
    routing::Route,
};

use super::waiting::WaitClass;

/// An open job.
#[derive(Debug)]
pub struct JobState {
    /// The job as submitted.
    pub request: JobRequest,
    /// The route as it was when the job arrived.
    pub route: Arc<Route>,
    /// Callers that wait for the answer.
    pub callers: Vec<CallerId>,
    /// When the job arrived.
    pub arrived_at: BootTime,
    /// Deadline of the caller that submitted the job first.
    pub deadline_at: BootTime,
    /// Latest start of its initial tasks that meets the latency objective and the deadline.
    pub latest_start_at: BootTime,
    /// When an answer is due by the route's latency objective.
    pub objective_at: BootTime,
    /// Time after which an answer is of no use.
    pub useful_until: BootTime,
    /// Class of its tasks before any has started.
    pub class: WaitClass,
    /// States of the tasks, by step and index.
    pub steps: Vec<Vec<TaskState>>,
    /// Whether a run of any of its tasks ended with another outcome than `NotStarted`; that run may
    /// still never have started.
    pub has_run: bool,
    /// Latest expected end of its placed tasks; zero before the first, and after a run that has to be
    /// repeated. Set only where targets' speeds differ.
    pub expected_end_at: BootTime,
    /// Estimated time from the end of each step to that of the job; empty if there is one step.
    pub paths_after: Vec<Duration>,
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Progress of the task.
    pub phase: Phase,
    /// Number of the last attempt; 0 before the first.
    pub attempt: Attempt,
    /// Attempts that found their place taken, mostly by another entry's task. They have not run.
    pub displaced_attempts: Attempt,
    /// Number of runs that failed.
    pub failed_runs: u32,
    /// Number of runs that were lost, whatever is known of the cause.
    pub lost_runs: u32,
    /// Number of runs that were stopped as stuck.
    pub stuck_runs: u32,
    /// Since when it has waited for a fast target although others had room.
    pub held_since: Option<BootTime>,
    /// Agents at which an attempt did not succeed for a reason other than lack of capacity; used
    /// again only if no other agent is available.
    pub avoided_agents: Vec<ProcessId>,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Steps that it depends on are not done.
    #[default]
    Blocked,
    /// It waits for capacity.
    Waiting,
    /// A start order for it was issued to an agent.
    Placed {
        /// Agent that got the start order.
        agent: ProcessId,
        /// Number of the start order.
        order: OrderNumber,
        /// When the start order was issued.
        placed_at: BootTime,
        /// Whether a stop order was issued.
        is_stopping: bool,
    },
    /// A run of it has completed.
    Done,
}

impl TaskState {
    /// Returns the state of each task of a job that has just arrived, by step and index.
    pub fn for_steps(request: &JobRequest) -> Vec<Vec<Self>> {
        let steps = request.steps.iter();
        steps.map(|step| vec![Self::default(); step.tasks as usize]).collect()
    }
}

impl JobState {
    /// Returns the state of a task.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.steps.get(key.step as usize)?.get(key.index as usize)
    }

    /// Returns the mutable state of a task.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.steps.get_mut(key.step as usize)?.get_mut(key.index as usize)
    }

    /// Returns the CPU that a task needs, in thousandths of a core.
    pub fn cpu_millis(&self, key: &TaskKey) -> u64 {
        self.request.steps.get(key.step as usize).map_or(0, |step| step.size.cpu_millis)
    }

    /// Returns whether it has not started and will miss its objective.
    pub fn is_late(&self) -> bool {
        self.class == WaitClass::Late
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|task| task.phase == Phase::Done)
    }

    /// Returns whether a task has run or is placed, so that it may be running.
    pub fn may_have_run(&self) -> bool {
        let mut tasks = self.steps.iter().flatten();
        self.has_run || tasks.any(|task| matches!(task.phase, Phase::Placed { .. }))
    }

    /// Returns whether any task waits for capacity.
    pub fn has_waiting_task(&self) -> bool {
        self.steps.iter().flatten().any(|task| task.phase == Phase::Waiting)
    }

    /// Returns the keys of the tasks that wait for capacity.
    pub fn waiting_tasks(&self) -> Vec<TaskKey> {
        let keys = self.task_keys().into_iter();
        let is_waiting =
            |key: &TaskKey| self.task(key).is_some_and(|task| task.phase == Phase::Waiting);
        keys.filter(is_waiting).collect()
    }

    /// Moves blocked tasks whose step's dependencies are done to [`Phase::Waiting`]; returns their
    /// keys.
    pub fn unblock_tasks(&mut self) -> Vec<TaskKey> {
        let mut tasks = self.steps.iter().flatten();
        if !tasks.any(|task| task.phase == Phase::Blocked) {
            return Vec::new();
        }
        let done_steps: Vec<bool> = self
            .steps
            .iter()
            .map(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
            .collect();
        let mut unblocked = Vec::new();
        for (number, tasks) in self.steps.iter_mut().enumerate() {
            let depends_on = self.request.steps.get(number).map(|step| &step.depends_on);
            let is_ready = depends_on.is_some_and(|steps| {
                steps.iter().all(|&step| done_steps.get(step as usize) == Some(&true))
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
    pub fn task_keys(&self) -> Vec<TaskKey> {
        let steps = self.steps.iter().enumerate();
        let keys = steps.flat_map(|(step, tasks)| {
            (0..tasks.len()).map(move |index| (step as u32, index as u32))
        });
        keys.map(|(step, index)| TaskKey { job: self.request.id.clone(), step, index }).collect()
    }
}
