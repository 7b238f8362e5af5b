//! Times that bound a job, as seen when it arrives.

use std::time::Duration;

/// Number of latency objectives within which an answer is of use.
const LATE_OBJECTIVES: u32 = 3;
/// Time reserved for messages in a job's latency objective.
const MESSAGE_TIME_RESERVE: Duration = Duration::from_millis(8);

/// Returns the time from the first submission in which an answer is of use.
pub fn useful_time(objective: Duration) -> Duration {
    objective * LATE_OBJECTIVES
}

/// Times that bound a job, counted from its arrival.
#[derive(Clone, Copy, Debug)]
pub struct JobTimes {
    /// Expected run time of its critical path.
    pub critical_path: Duration,
    /// How long its caller had waited before.
    pub waited: Duration,
    /// Time left until its latency objective.
    pub objective: Duration,
    /// Time left in which an answer is of use; for an overdue job, in which its caller still waits.
    pub useful: Duration,
    /// Whether its answer will come too late to be of use, however soon it starts.
    pub is_overdue: bool,
}

impl JobTimes {
    /// Returns the times of a job with a latency objective whose caller has waited for `waited` and
    /// goes on waiting for `remaining`, if it has a deadline.
    pub fn new(
        critical_path: Duration,
        objective: Duration,
        waited: Duration,
        remaining: Option<Duration>,
    ) -> Self {
        let useful = useful_time(objective);
        let is_overdue = waited + critical_path > useful;
        Self {
            critical_path,
            waited,
            objective: objective.saturating_sub(waited),
            useful: match remaining {
                Some(remaining) if is_overdue => remaining,
                _ => useful.saturating_sub(waited),
            },
            is_overdue,
        }
    }

    /// Returns whether its answer will miss its objective, however soon it starts.
    pub fn is_late(&self) -> bool {
        self.critical_path > self.objective
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
