//! Ejection of a target at which the tasks of different jobs fail.

use std::time::Duration;

use crate::{clock::BootTime, ids::JobId};

/// Failed jobs in a row after which a target is ejected. Two, because one alone may be the job's
/// own fault, and each further one costs a caller a retry.
const FAILED_JOBS_LIMIT: u32 = 2;
/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection. The platform requires a target that works again to be in use within 3 s.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// Largest number of doublings that is computed; [`LONGEST_EJECTION`] is reached with fewer.
const MAX_DOUBLINGS: u32 = 8;

/// Counts failures of a target that are not the fault of one job.
#[derive(Debug, Default)]
pub struct Health {
    failed_jobs: u32,
    last_failed_job: Option<JobId>,
    ejections: u32,
    ejected_until: BootTime,
}

/// How much work the target may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Any work that fits.
    Healthy,
    /// One task at a time, to find out whether the target works again.
    Probation,
    /// No work.
    Ejected,
}

impl Health {
    /// Records a completed task, which clears all failures.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a task that failed or got stuck; returns whether this ejects the target.
    pub fn record_failure(&mut self, job: &JobId, now: BootTime) -> bool {
        if now < self.ejected_until || self.last_failed_job.as_ref() == Some(job) {
            return false;
        }
        self.last_failed_job = Some(job.clone());
        self.failed_jobs += 1;
        if self.failed_jobs < FAILED_JOBS_LIMIT {
            return false;
        }
        let ejection = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.ejected_until = now + ejection.min(LONGEST_EJECTION);
        true
    }

    /// Returns how much work the target may be given now.
    pub fn state(&self, now: BootTime) -> HealthState {
        if self.failed_jobs < FAILED_JOBS_LIMIT {
            HealthState::Healthy
        } else if now < self.ejected_until {
            HealthState::Ejected
        } else {
            HealthState::Probation
        }
    }
}
