//! Times that bound a job, as seen when it arrives.

use std::time::Duration;

/// Number of latency objectives within which an answer is of use.
const LATE_OBJECTIVES: u32 = 3;
/// Time reserved for messages in a job's latency objective.
pub(super) const MESSAGE_TIME_RESERVE: Duration = Duration::from_millis(8);

/// Times that bound a job, counted from its arrival.
#[derive(Clone, Copy, Debug)]
pub struct JobTimes {
    /// Expected run time of its critical path.
    pub critical_path: Duration,
    /// Time until its latency objective.
    pub objective: Duration,
    /// Time in which an answer is of use.
    pub useful: Duration,
}

impl JobTimes {
    /// Returns the times of a job with a latency objective.
    pub fn new(critical_path: Duration, objective: Duration) -> Self {
        Self { critical_path, objective, useful: objective * LATE_OBJECTIVES }
    }

    /// Returns the longest wait for a start that still meets the objective.
    pub fn max_wait(&self) -> Duration {
        self.objective.saturating_sub(self.critical_path + MESSAGE_TIME_RESERVE)
    }

    /// Returns the longest wait for a start after which the answer is still of use.
    pub fn max_late_wait(&self) -> Duration {
        self.useful.saturating_sub(self.critical_path + MESSAGE_TIME_RESERVE)
    }
}
