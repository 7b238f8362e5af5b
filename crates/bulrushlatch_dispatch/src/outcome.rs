//! Outcomes of runs and answers to callers.

use std::time::Duration;

use bulrushlatch_protocol::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// How one run of a task ended. Every outcome implies that the run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The task, or its target, failed.
    Failed,
    /// The run was stopped by order, or because its entry was silent.
    Stopped,
    /// The run is over without a result, for example because the target's lease expired or the
    /// target ended.
    Lost,
    /// The run never began.
    NotStarted(Obstacle),
}

/// Why a run did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// The target has not enough free capacity.
    #[serde(rename = "no_room")]
    #[strum(serialize = "no_room")]
    NoCapacity,
    /// The agent or its target accepts no new tasks.
    Unavailable,
    /// The order was too old when it arrived, or was cancelled before it was carried out.
    StaleOrder,
    /// Another run of the same task has not ended.
    StillRunning,
    /// The target rejected the order.
    Rejected,
    /// The order never reached the agent.
    Undelivered,
}

/// The answer to a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Every task is done.
    Completed,
    /// A task has failed for good.
    Failed,
    /// No task of the job has run or will run.
    Refused {
        /// Why the job was refused.
        reason: Refusal,
        /// Time after which the caller may submit the job again.
        retry_after: Duration,
    },
    /// The entry gave the job up; tasks of it may have run. All its runs are over by the time at
    /// which callers submit it again.
    Interrupted,
    /// No route matches the host and path.
    NoRoute,
    /// The entry knows no job with this id.
    UnknownJob,
    /// The job has not ended.
    Running,
    /// The job has been cancelled.
    Cancelled,
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No configuration has been read yet.
    NoConfiguration,
    /// The job cannot be parsed.
    Malformed,
    /// The job has a requirement that is not supported.
    Unsupported,
    /// The job would have to wait for too long.
    Overloaded,
    /// No target can run the job at present.
    NoTarget,
    /// The entry is shutting down.
    ShuttingDown,
}

impl Answer {
    /// Returns what the answer proves about whether the job has run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Completed | Self::Failed => Verdict::Ran,
            Self::Refused { .. } | Self::NoRoute => Verdict::NotRun,
            Self::Interrupted | Self::UnknownJob | Self::Running | Self::Cancelled => {
                Verdict::MayHaveRun
            }
        }
    }
}
