//! Suspends a target at which the tasks of different jobs fail.

use std::time::Duration;

use crate::{clock::BootTime, ids::JobId};

/// Failed jobs in a row after which a target is suspended. Two, because one alone may be the job's
/// own fault, and each further one costs a caller a retry.
const FAILED_JOBS_LIMIT: u32 = 2;
/// First suspension; each further one is twice as long.
const FIRST_SUSPENSION: Duration = Duration::from_millis(500);
/// Longest suspension. The platform gives 3 s within which a target that works again must be in
/// use.
const LONGEST_SUSPENSION: Duration = Duration::from_secs(2);

/// Counts failures of a target that are not the fault of one job.
#[derive(Debug, Default)]
pub struct Health {
    failed_jobs: u32,
    last_failed_job: Option<JobId>,
    suspensions: u32,
    suspended_until: BootTime,
}

/// How much work the target may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Any work that fits.
    Healthy,
    /// One task at a time, to find out whether the target works again.
    Probation,
    /// No work.
    Suspended,
}

impl Health {
    /// Records a completed task, which clears all failures.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a task that failed or got stuck; returns whether this suspends the target.
    pub fn record_failure(&mut self, job: &JobId, now: BootTime) -> bool {
        if now < self.suspended_until || self.last_failed_job.as_ref() == Some(job) {
            return false;
        }
        self.last_failed_job = Some(job.clone());
        self.failed_jobs += 1;
        if self.failed_jobs < FAILED_JOBS_LIMIT {
            return false;
        }
        let suspension = FIRST_SUSPENSION * 2_u32.saturating_pow(self.suspensions.min(8));
        self.suspensions += 1;
        self.suspended_until = now + suspension.min(LONGEST_SUSPENSION);
        true
    }

    /// Returns how much work the target may be given now.
    pub fn state(&self, now: BootTime) -> HealthState {
        if self.failed_jobs < FAILED_JOBS_LIMIT {
            HealthState::Healthy
        } else if now < self.suspended_until {
            HealthState::Suspended
        } else {
            HealthState::Probation
        }
    }
}
