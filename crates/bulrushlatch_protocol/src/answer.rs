//! Answers to submissions.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Payload, SubmissionId, TaskIndex},
    verdict::Verdict,
};

/// Answer to one submission.
///
/// `results` has one item for each task, in task order, when `state` is
/// [`AnswerState::Complete`], and is empty otherwise.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the answered submission.
    pub submission_id: SubmissionId,
    /// How the submission ended.
    pub state: AnswerState,
    /// Whether any task of the submission may have run.
    pub ran: Verdict,
    /// Results of all tasks if the submission completed; empty otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<Payload>,
    /// Tasks that failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<TaskFailure>,
    /// Why the submission did not complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Human-readable explanation.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub message: String,
    /// Time after which to repeat the request, if a repetition can succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// State of a submission.
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
    /// A task failed, or the job was cancelled, timed out or ended for another reason, after a task
    /// may have started; `failures` may be empty.
    Failed,
    /// No task was started for this request; `ran` is `maybe` on a conflict.
    Refused,
    /// The outcome is unknown, or the results are no longer kept; see `ran`.
    Unknown,
    /// The submission is still in progress; never a final answer.
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
    /// No target has announced the service, or it is disabled for the team.
    UnknownService,
    /// A task needs more slots than any target has or the quota allows.
    NeverFits,
    /// The id was used with another body.
    Conflict,
    /// The id is an unknown UUIDv7 older than the id window.
    TooOld,
    /// The queue of the team is at its limit, or the target has too few free slots.
    QueueFull,
    /// The table of known ids is at its limit, or the agent remembers too many tasks.
    IdTableFull,
    /// The deadline cannot be met at the current rate of execution.
    DeadlineUnreachable,
    /// No other entry confirmed in time that it had recorded the id.
    WitnessUnavailable,
    /// The entry that owns the id could not be reached or did not answer in time, or an agent
    /// refused the owner's start as out of date.
    OwnerUnreachable,
    /// Too many processes were lost at once to determine whether the id had been used.
    RecordsLost,
    /// The deadline passed.
    TimedOut,
    /// The caller cancelled the submission.
    Cancelled,
    /// The target answered that the task failed.
    TaskFailed,
    /// The target rejected the task as invalid.
    TaskRejected,
    /// No connection to the target could be opened, the agent did not receive the start or had
    /// refused it before, the target declined the task, or every target is leaving or drained.
    TargetUnreachable,
    /// The target, or its agent, was lost while it had the task.
    TargetLost,
    /// The job completed, but its results are no longer kept.
    ResultsDropped,
    /// The id is not known.
    NotFound,
    /// The entry is shutting down, or the target is leaving.
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

/// Failure of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailure {
    /// Position of the task in its submission.
    pub index: TaskIndex,
    /// Whether the task may have run.
    pub ran: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// Error message of the target or the agent.
    pub message: String,
}

impl Answer {
    /// Returns the answer that carries every result in task order.
    pub fn complete(submission_id: SubmissionId, results: Vec<Payload>) -> Self {
        Self { results, ..Self::new(submission_id, AnswerState::Complete, Verdict::Ran) }
    }

    /// Returns the refusal of a submission of which no task started.
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

    /// Returns the answer for a submission whose outcome cannot be determined.
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

    /// Returns the answer for a submission that failed.
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

    /// Returns the answer for a submission that is still in progress.
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
