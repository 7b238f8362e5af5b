//! What a caller submits.

use std::{sync::Arc, time::Duration};

use crate::{frame::Profile, ids::JobId, size::Size};

/// A job as submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Chosen by the caller; the same id is the same job.
    pub id: JobId,
    /// Handed to the target with each task, unread.
    pub payload: Arc<str>,
    /// Steps; a step starts when all steps it depends on are done.
    pub steps: Vec<Step>,
    /// What the job needs that is not served here, if anything.
    pub unsupported: Option<&'static str>,
}

/// Tasks of a job that are alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task takes of a target.
    pub size: Size,
    /// The caller's guess of a task's run time.
    pub estimate: Duration,
    /// Steps, by number, that must be done first; each is lower than this step's own.
    pub depends_on: Vec<u32>,
    /// Label that a target must have.
    pub required_label: Option<String>,
    /// Label of the targets at which the tasks run faster.
    pub preferred_label: Option<String>,
    /// Most tasks of this step at one target at a time.
    pub max_per_target: Option<u32>,
}

impl Step {
    /// Returns whether a target has the label that the tasks require, if they do.
    pub fn accepts_labels(&self, labels: &[String]) -> bool {
        self.required_label.as_ref().is_none_or(|label| labels.contains(label))
    }

    /// Returns whether an empty target could take one of the tasks.
    pub fn fits(&self, profile: &Profile) -> bool {
        self.size.fits(&profile.total) && self.accepts_labels(&profile.labels)
    }
}

impl JobRequest {
    /// Returns the sum of the estimates along the longest chain of steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.depends_on.iter().filter_map(|&before| ends.get(before as usize));
            let begin = begin.max().copied().unwrap_or_default();
            ends.push(begin + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns what all tasks that can start at once take together.
    pub fn initial_demand(&self) -> Size {
        let mut demand = Size::default();
        for step in self.steps.iter().filter(|step| step.depends_on.is_empty()) {
            demand.cpu_millis += step.size.cpu_millis * u64::from(step.tasks);
            demand.memory_mb += step.size.memory_mb * u64::from(step.tasks);
            demand.accelerators += step.size.accelerators * u64::from(step.tasks);
        }
        demand
    }
}
