//! Submissions of callers and their validation.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{KindName, MAX_ID_BYTES, Payload, ServiceName, SubmissionId, TeamId};

/// Maximum number of tasks in a submission.
pub const MAX_TASKS: usize = 280;
/// Longest accepted [`Submission::timeout_ms`].
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// A job of one or more tasks that is answered as a whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Id chosen by the caller; the same id always denotes the same job.
    pub submission_id: SubmissionId,
    /// Team on whose quota the job runs.
    pub team: TeamId,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Time from receipt until the job times out; 1 to [`MAX_TIMEOUT_MS`].
    pub timeout_ms: u64,
    /// Whether the caller could tolerate a second run. No task is started twice either way.
    #[serde(default)]
    pub repeatable: bool,
    /// Tasks of the job, from 1 to [`MAX_TASKS`]; results are returned in this order.
    pub tasks: Vec<Task>,
}

/// One unit of work, run on one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Kind of the task, which selects the action at the target and the measured run time.
    pub kind: KindName,
    /// Input of the task, passed to the target unchanged.
    pub payload: Payload,
    /// Slots that the task occupies at its target; at least one.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// Run time declared by the caller; a measured run time of the kind takes precedence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u64>,
}

/// An invalid field of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field in the submission.
    pub field: String,
    /// Requirement that the field violates.
    pub problem: String,
}

fn one_slot() -> u32 {
    1
}

impl Submission {
    /// Checks every field that can be validated without the state of the system.
    ///
    /// # Errors
    ///
    /// Returns the first field that is empty, too long, out of range or has a forbidden character.
    pub fn validate(&self) -> Result<(), FieldError> {
        check_name("submission_id", &self.submission_id)?;
        check_name("team", &self.team)?;
        check_name("service", &self.service)?;
        if self.timeout_ms == 0 || self.timeout_ms > MAX_TIMEOUT_MS {
            return Err(field_error("timeout_ms", format!("must be from 1 to {MAX_TIMEOUT_MS}")));
        }
        if self.tasks.is_empty() || self.tasks.len() > MAX_TASKS {
            return Err(field_error("tasks", format!("must have from 1 to {MAX_TASKS} entries")));
        }
        for (index, task) in self.tasks.iter().enumerate() {
            check_name(&format!("tasks[{index}].kind"), &task.kind)?;
            if task.slots == 0 {
                return Err(field_error(&format!("tasks[{index}].slots"), "must be at least 1"));
            }
        }
        Ok(())
    }

    /// Returns a digest that is equal for submissions of the same job.
    ///
    /// It excludes the timeout, since a resubmission usually has less time left, and the declared
    /// run times, which are only hints.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hash_part(&mut hasher, self.team.as_bytes());
        hash_part(&mut hasher, self.service.as_bytes());
        hash_part(&mut hasher, &[u8::from(self.repeatable)]);
        for task in &self.tasks {
            hash_part(&mut hasher, task.kind.as_bytes());
            hash_part(&mut hasher, task.payload.get().as_bytes());
            hash_part(&mut hasher, &task.slots.to_le_bytes());
        }
        hasher.digest()
    }
}

/// Hashes a part with its length first, so that adjacent parts cannot be confused.
fn hash_part(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

fn check_name(field: &str, name: &str) -> Result<(), FieldError> {
    if name.is_empty() || name.len() > MAX_ID_BYTES {
        return Err(field_error(field, format!("must have from 1 to {MAX_ID_BYTES} bytes")));
    }
    if name.chars().any(|c| c.is_control() || c == '/') {
        return Err(field_error(field, "must not contain '/' or control characters"));
    }
    Ok(())
}

fn field_error(field: &str, problem: impl Into<String>) -> FieldError {
    FieldError { field: field.to_owned(), problem: problem.into() }
}
