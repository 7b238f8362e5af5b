//! What a caller gets back.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Payload, SubmissionId, TaskIndex},
    verdict::Verdict,
};

/// The whole answer to one submission.
///
/// `results` has one entry for each task, in task order, when `state` is
/// [`AnswerState::Complete`], and is empty otherwise.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The submission that this answers.
    pub submission_id: SubmissionId,
    /// How the submission ended.
    pub state: AnswerState,
    /// Whether any task of the submission may have run.
    pub ran: Verdict,
    /// Results of all tasks, or nothing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<Payload>,
    /// Tasks that ended badly.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<TaskFailure>,
    /// Why the submission is not complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// One sentence for a person.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub message: String,
    /// When to ask again, if that can help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// How a submission ended, or that it has not.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AnswerState {
    /// Every task ran and gave its result.
    Complete,
    /// At least one task ended badly; tasks that had not started were dropped.
    Failed,
    /// Nothing of the submission started.
    Refused,
    /// The system cannot tell whether anything of the submission started.
    Unknown,
    /// The submission is still being worked on; never a final answer.
    Running,
}

/// Why a submission, or a task of it, did not complete.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request is malformed; the message names the field.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The settings tree has no such team.
    UnknownTeam,
    /// No target has announced the service.
    UnknownService,
    /// A task needs more slots than any target has or the quota allows.
    NeverFits,
    /// The id was used with another body.
    Conflict,
    /// The id is older than the time for which ids are kept.
    TooOld,
    /// The queue of the team is at its limit.
    QueueFull,
    /// The table of ids is at its limit.
    IdTableFull,
    /// The deadline cannot be met at the current rate.
    DeadlineUnreachable,
    /// No other entry could be told of the id in time.
    WitnessUnavailable,
    /// The entry that owns the id could not be reached, or did not answer in time.
    OwnerUnreachable,
    /// Too many processes were lost at once to tell whether the id was used.
    RecordsLost,
    /// The deadline passed.
    TimedOut,
    /// The caller cancelled the submission.
    Cancelled,
    /// The target answered that the task failed.
    TaskFailed,
    /// The target rejected the shape of the task.
    TaskRejected,
    /// The target could not be connected to.
    TargetUnreachable,
    /// The target, or the agent beside it, was lost while it had the task.
    TargetLost,
    /// The job completed, but its results are no longer kept.
    ResultsDropped,
    /// The id is not known.
    NotFound,
    /// The entry is shutting down.
    ShuttingDown,
}

impl Reason {
    /// Returns whether the same request can succeed later without being changed.
    pub fn is_worth_retrying(self) -> bool {
        matches!(
            self,
            Self::QueueFull
                | Self::IdTableFull
                | Self::DeadlineUnreachable
                | Self::WitnessUnavailable
                | Self::OwnerUnreachable
                | Self::RecordsLost
                | Self::ShuttingDown
                | Self::TargetUnreachable
        )
    }
}

/// How one task ended badly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailure {
    /// Position of the task in its submission.
    pub index: TaskIndex,
    /// Whether the task may have run.
    pub ran: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// What the target or the agent said.
    pub message: String,
}

impl Answer {
    /// Returns the answer that carries every result in task order.
    pub fn complete(submission_id: SubmissionId, results: Vec<Payload>) -> Self {
        Self { results, ..Self::new(submission_id, AnswerState::Complete, Verdict::Ran) }
    }

    /// Returns the refusal of a submission of which nothing started.
    pub fn refused(
        submission_id: SubmissionId,
        reason: Reason,
        message: impl Into<String>,
        retry_after_ms: Option<u64>,
    ) -> Self {
        Self {
            reason: Some(reason),
            message: message.into(),
            retry_after_ms,
            ..Self::new(submission_id, AnswerState::Refused, Verdict::NotRun)
        }
    }

    /// Returns the answer for a submission of which nothing certain is known.
    pub fn unknown(
        submission_id: SubmissionId,
        reason: Reason,
        message: impl Into<String>,
        retry_after_ms: Option<u64>,
    ) -> Self {
        Self {
            reason: Some(reason),
            message: message.into(),
            retry_after_ms,
            ..Self::new(submission_id, AnswerState::Unknown, Verdict::MayHaveRun)
        }
    }

    /// Returns the answer for a submission that ended badly.
    pub fn failed(
        submission_id: SubmissionId,
        ran: Verdict,
        reason: Reason,
        failures: Vec<TaskFailure>,
    ) -> Self {
        Self {
            reason: Some(reason),
            failures,
            ..Self::new(submission_id, AnswerState::Failed, ran)
        }
    }

    /// Returns the report on a submission that is still being worked on.
    pub fn running(submission_id: SubmissionId) -> Self {
        Self::new(submission_id, AnswerState::Running, Verdict::MayHaveRun)
    }

    fn new(submission_id: SubmissionId, state: AnswerState, ran: Verdict) -> Self {
        Self {
            submission_id,
            state,
            ran,
            results: Vec::new(),
            failures: Vec::new(),
            reason: None,
            message: String::new(),
            retry_after_ms: None,
        }
    }
}
