//! Jobs as callers submit them.

use std::{sync::Arc, time::Duration};

use crate::{frame::Profile, ids::JobId, size::Size};

/// A job submitted by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Chosen by the caller; submissions with the same id are the same job.
    pub id: JobId,
    /// Passed to the target with each task, without being interpreted.
    pub payload: Arc<str>,
    /// Steps of the job; a step starts when all steps that it depends on are done.
    pub steps: Vec<Step>,
    /// A requirement of the job that is not supported, if there is one.
    pub unsupported: Option<&'static str>,
}

/// Tasks of a job with the same requirements.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task occupies at a target.
    pub size: Size,
    /// The caller's estimate of a task's run time.
    pub estimate: Duration,
    /// Numbers of the steps that must be done first; each is lower than this step's own number.
    pub depends_on: Vec<u32>,
    /// Label that a target must have.
    pub required_label: Option<String>,
    /// Label of the targets at which the tasks run faster.
    pub preferred_label: Option<String>,
    /// Most tasks of this step that may run at one target at a time.
    pub max_per_target: Option<u32>,
}

impl Step {
    /// Returns whether `labels` contain the required label; true if none is required.
    pub fn accepts_labels(&self, labels: &[String]) -> bool {
        self.required_label.as_ref().is_none_or(|label| labels.contains(label))
    }

    /// Returns whether an idle target with this profile could run one of the tasks.
    pub fn fits(&self, profile: &Profile) -> bool {
        self.size.fits(&profile.total) && self.accepts_labels(&profile.labels)
    }
}

impl JobRequest {
    /// Returns the sum of the estimates along the critical path, the longest chain of steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier_ends = step.depends_on.iter().filter_map(|&step| ends.get(step as usize));
            let start = earlier_ends.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns for each step the sum of the estimates along the longest chain of steps that follow it;
    /// empty if there is one step.
    pub fn paths_after(&self) -> Vec<Duration> {
        if self.steps.len() <= 1 {
            return Vec::new();
        }
        let mut paths = vec![Duration::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            let path = step.estimate + paths[number];
            for &earlier in &step.depends_on {
                if let Some(earlier_path) = paths.get_mut(earlier as usize) {
                    *earlier_path = path.max(*earlier_path);
                }
            }
        }
        paths
    }

    /// Returns the total size of the initial tasks: those of steps that depend on no other.
    pub fn initial_demand(&self) -> Size {
        let mut demand = Size::default();
        for step in self.steps.iter().filter(|step| step.depends_on.is_empty()) {
            demand.add(&step.size.saturating_mul(u64::from(step.tasks)));
        }
        demand
    }
}
