//! Order in which waiting tasks are placed.

use crate::{clock::BootTime, ids::TaskKey};

/// Class of a waiting task; an earlier class goes strictly first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// The task is to be started again.
    Restart,
    /// Its job can still meet its latency objective, or has started.
    InTime,
    /// Its job has not started and will be late.
    Late,
}

/// A task that waits for capacity. Tasks are placed in ascending order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingTask {
    /// Class of the task.
    pub class: WaitClass,
    /// Rank within the class: for initial tasks the latest start that meets the objective, or for
    /// late ones the time after which an answer is of no use; for tasks of later steps the time of
    /// the job's objective; for tasks to be started again the job's arrival.
    pub due_at: BootTime,
    /// The task.
    pub key: TaskKey,
}
