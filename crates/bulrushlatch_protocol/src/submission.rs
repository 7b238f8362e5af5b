//! What a caller sends, and its validation.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{KindName, MAX_ID_BYTES, Payload, ServiceName, SubmissionId, TeamId};

/// Most tasks that one submission may have.
pub const MAX_TASKS: usize = 280;
/// Longest time that a caller may ask an entry to work on a submission.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// A job of one or more tasks that is answered as a whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Chosen by the caller; the same id always means the same job.
    pub submission_id: SubmissionId,
    /// Team on whose quota the job runs.
    pub team: TeamId,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Time from receipt until the job is given up; 1 to [`MAX_TIMEOUT_MS`].
    pub timeout_ms: u64,
    /// Whether the caller could bear a second run. No task is started twice either way.
    #[serde(default)]
    pub repeatable: bool,
    /// At least one and at most [`MAX_TASKS`] tasks; results come back in this order.
    pub tasks: Vec<Task>,
}

/// One unit of work on one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Selects the action at the target and the learned run time.
    pub kind: KindName,
    /// Passed to the target as it is.
    pub payload: Payload,
    /// Slots that the task takes at its target; at least one.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// Declared run time; a hint that learned run times replace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u64>,
}

/// A field of a submission that is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field in the submission.
    pub field: String,
    /// What the field must be.
    pub problem: String,
}

fn one_slot() -> u32 {
    1
}

impl Submission {
    /// Checks every field that can be judged without knowing the state of the system.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not acceptable.
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

    /// Returns a digest of everything that makes two submissions the same job.
    ///
    /// The timeout is left out, since a resubmission usually has less time left.
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
