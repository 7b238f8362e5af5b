//! Recent rate of jobs.

use std::time::Duration;

use crate::clock::BootTime;

/// Time constant of the average: that of [`ProcessorLoad`](super::super::processor_load), so that a
/// job enters the rate as it enters the busy share.
const TIME_CONSTANT: Duration = Duration::from_millis(200);

/// Exponential moving average of a rate of jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobRate {
    jobs_per_s: f64,
    updated_at: BootTime,
}

impl JobRate {
    /// Records the arrival of one job.
    pub fn record(&mut self, now: BootTime) {
        self.jobs_per_s = self.jobs_per_s(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the recent rate, in jobs per second.
    pub fn jobs_per_s(&self, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.jobs_per_s * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
