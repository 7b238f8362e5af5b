//! How many more jobs per second this entry's processor time suffices for.

use std::time::Duration;

use crate::clock::BootTime;

use super::job_rate::JobRate;

/// Busy share up to which an entry takes other entries' jobs.
pub const MAX_DELEGATE_BUSY_SHARE: f64 = 0.7;
/// Busy share above which it refuses those that arrive all the same. The difference is what the busy
/// share varies by from one tick to the next.
pub const REFUSAL_BUSY_SHARE: f64 = 0.85;
/// Assumed busy time for a job before any was measured: more than most deployments need.
const DEFAULT_BUSY_PER_JOB: Duration = Duration::from_millis(2);
/// Rate of jobs below which the busy time for a job is not measured, since the constant load of
/// heartbeats would count.
const MIN_MEASURED_JOBS_PER_S: f64 = 10.0;
/// Time constant of the average of the busy time for a job.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Share of the spare rate that is offered at a time.
const OFFERED_SHARE: f64 = 0.5;
/// Lowest limit of the rate of jobs, and the initial one.
const MIN_LIMIT_JOBS_PER_S: f64 = 40.0;
/// Relative growth of the limit per second while the processor is not exhausted.
const LIMIT_GROWTH_PER_S: f64 = 1.0;
/// The same from [`LIMIT_SHARE`] of the rate on at which the processor was last exhausted.
const SLOW_LIMIT_GROWTH_PER_S: f64 = 0.03;
/// Share of the rate at which the processor is exhausted to which the limit falls, and from which on
/// it grows slowly.
const LIMIT_SHARE: f64 = 0.85;

/// Estimate of how many more jobs per second an entry can carry out.
#[derive(Clone, Copy, Debug)]
pub struct SpareRate {
    /// Moving average of the busy time for a job, in seconds.
    busy_per_job_s: f64,
    /// Jobs that this entry carries out, its own and those of other entries.
    jobs: JobRate,
    /// Limit of the rate of jobs up to which others are offered any.
    ///
    /// On a VM whose quota is below one core the busy share is low until the quota is used up and then
    /// rises at once, so that it does not show how much is spare. The limit rises while it is used, and falls when
    /// the processor is exhausted.
    limit_jobs_per_s: f64,
    /// Rate of jobs at which the processor was last exhausted.
    exhausting_jobs_per_s: f64,
    updated_at: BootTime,
}

impl Default for SpareRate {
    fn default() -> Self {
        Self {
            busy_per_job_s: DEFAULT_BUSY_PER_JOB.as_secs_f64(),
            jobs: JobRate::default(),
            limit_jobs_per_s: MIN_LIMIT_JOBS_PER_S,
            exhausting_jobs_per_s: f64::INFINITY,
            updated_at: BootTime::ZERO,
        }
    }
}

impl SpareRate {
    /// Records a job that this entry carries out.
    pub fn record_job(&mut self, now: BootTime) {
        self.jobs.record(now);
    }

    /// Updates the busy time for a job and the limit. To be called at each tick.
    pub fn update(&mut self, now: BootTime, busy_share: f64) {
        let elapsed = now.saturating_sub(self.updated_at).min(TIME_CONSTANT);
        self.updated_at = now;
        let jobs_per_s = self.jobs.jobs_per_s(now);
        self.update_limit(elapsed, busy_share, jobs_per_s);
        if jobs_per_s < MIN_MEASURED_JOBS_PER_S {
            return;
        }
        let weight = elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.busy_per_job_s += (busy_share / jobs_per_s - self.busy_per_job_s) * weight;
    }

    fn update_limit(&mut self, elapsed: Duration, busy_share: f64, jobs_per_s: f64) {
        if busy_share > MAX_DELEGATE_BUSY_SHARE {
            self.exhausting_jobs_per_s = jobs_per_s.max(MIN_LIMIT_JOBS_PER_S);
            let limit = self.exhausting_jobs_per_s * LIMIT_SHARE;
            self.limit_jobs_per_s = self.limit_jobs_per_s.min(limit).max(MIN_LIMIT_JOBS_PER_S);
            return;
        }
        // What has not been used says nothing of what could be.
        if jobs_per_s < self.limit_jobs_per_s / 2.0 {
            return;
        }
        let is_near = self.limit_jobs_per_s >= self.exhausting_jobs_per_s * LIMIT_SHARE;
        let growth_per_s = if is_near { SLOW_LIMIT_GROWTH_PER_S } else { LIMIT_GROWTH_PER_S };
        self.limit_jobs_per_s *= 1.0 + growth_per_s * elapsed.as_secs_f64();
    }

    /// Returns how many more jobs per second this entry can carry out; negative if it carries out too
    /// many.
    pub fn jobs_per_s(&self, now: BootTime, busy_share: f64) -> f64 {
        let by_time =
            (MAX_DELEGATE_BUSY_SHARE - busy_share) / self.busy_per_job_s.max(f64::EPSILON);
        by_time.min(self.limit_jobs_per_s - self.jobs.jobs_per_s(now))
    }

    /// Returns the rate to offer to one of `origins` entries that delegate jobs, which delegates
    /// `present_jobs_per_s` now.
    pub fn offer(
        &self,
        now: BootTime,
        busy_share: f64,
        present_jobs_per_s: f64,
        origins: usize,
    ) -> u32 {
        let spare = self.jobs_per_s(now, busy_share);
        let offered = if spare > 0.0 { spare * OFFERED_SHARE } else { spare };
        (present_jobs_per_s + offered / origins.max(1) as f64).max(0.0) as u32
    }
}
