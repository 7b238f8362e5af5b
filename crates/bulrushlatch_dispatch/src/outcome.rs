//! How runs and jobs end.

use std::time::Duration;

use bulrushlatch_protocol::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// How one run of a task ended. The run is over for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The task, or its target, failed.
    Failed,
    /// It was stopped on order, or because its entry fell silent.
    Stopped,
    /// Its lease ended, or its target did.
    Lost,
    /// It never began.
    NotStarted(Obstacle),
}

/// Why a run did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// The target has not enough room.
    NoRoom,
    /// The agent or its target takes no new work.
    Unavailable,
    /// The order was too old when it arrived.
    StaleOrder,
    /// Another run of the same task is still there.
    StillRunning,
    /// The target does not accept the order.
    Rejected,
    /// The order never reached the agent.
    Undelivered,
}

/// The final answer to a call of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// Every task is done.
    Completed,
    /// A task has failed for good.
    Failed,
    /// Nothing of the job has run, and nothing will.
    Refused {
        /// Why.
        reason: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The job was given up and may have run in part; no run of it is left within the time after
    /// which callers submit it again.
    Interrupted,
    /// No route leads there.
    NoRoute,
    /// No such job is known.
    UnknownJob,
    /// The job is being worked on.
    Running,
    /// The job has been cancelled.
    Cancelled,
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No configuration has been read yet.
    NoConfiguration,
    /// The job cannot be read.
    Malformed,
    /// The job needs what is not served here.
    Unsupported,
    /// The job has to wait too long to be of use.
    Overloaded,
    /// No target can take the job at present.
    NoTarget,
    /// The entry shuts down.
    ShuttingDown,
}

impl Answer {
    /// Returns whether the job may have run.
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
