//! One run of a task at the target.

use std::sync::Arc;

use crate::{
    clock::BootTime,
    ids::{Attempt, OrderNumber, ProcessId, TaskKey},
    size::Size,
};

/// A run that an agent tracks. It occupies its size until its end is known.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Number of the start at the target.
    pub attempt: Attempt,
    /// Resources that the run occupies.
    pub size: Size,
    /// The entry that ordered it.
    pub owner: ProcessId,
    /// Number of the entry's start order.
    pub order: OrderNumber,
    /// Passed to the target without being interpreted.
    pub payload: Arc<str>,
    /// Whether an earlier run of the task failed, so that another failure says little about this
    /// target.
    pub has_failed: bool,
    /// When the start order was sent to the target; until then, when the agent received it.
    pub start_sent_at: BootTime,
    /// When the target confirmed the start or listed the run as running, if it did.
    pub started_at: Option<BootTime>,
    /// Number of start orders of this attempt that got no answer. If any, the run may have started,
    /// and may have ended.
    pub unanswered_starts: u32,
    /// Time by which the run is over, if it began at a restarted target that is yet to list it.
    pub over_by: Option<BootTime>,
    /// Time of the agent's clock after which the job was still open at its entry, known once the entry
    /// has ended the job. From then on a caller may submit the job again, so the time by which the run
    /// must be over no longer moves on while the entry lives.
    pub job_open_at: Option<BootTime>,
    /// When a stop was first requested.
    pub stop_requested_at: Option<BootTime>,
    /// When the last stop order was sent to the target.
    pub stop_sent_at: Option<BootTime>,
    /// When the target first answered a stop order: each later poll that does not list the run counts, also
    /// if stops are repeated meanwhile.
    pub stop_answered_at: Option<BootTime>,
}

impl Run {
    /// Returns whether a stop has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.is_some()
    }

    /// Returns whether the run is certainly over if a status poll sent at `polled_at` does not list
    /// it: the target had confirmed its start or answered its stop before that time.
    pub fn is_over_if_unlisted(&self, polled_at: BootTime) -> bool {
        let is_before = |at: Option<BootTime>| at.is_some_and(|at| at < polled_at);
        is_before(self.started_at) || is_before(self.stop_answered_at)
    }
}
