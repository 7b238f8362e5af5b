//! The load that callers offer to an entry.

use std::time::Duration;

use crate::clock::BootTime;

/// Time constant of the average: many arrivals of the rarest jobs, short against a day's changes.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Shortest time since the first job over which the average is formed.
const MIN_PERIOD: Duration = Duration::from_millis(200);

/// Moving average of the CPU that arriving jobs would keep busy if all of them were run.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferedLoad {
    /// Weighted sum of the jobs' needs, in thousandths of a core.
    cpu_millis: f64,
    updated_at: BootTime,
    /// Arrival of the first job.
    first_at: Option<BootTime>,
}

impl OfferedLoad {
    /// Adds a job that needs `cpu_millis` for `run_time`.
    pub fn record(&mut self, now: BootTime, cpu_millis: u64, run_time: Duration) {
        self.cpu_millis *= weight(now.saturating_sub(self.updated_at));
        self.updated_at = now;
        self.first_at.get_or_insert(now);
        let run_times = run_time.as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.cpu_millis += cpu_millis as f64 * run_times;
    }

    /// Returns the average in thousandths of a core.
    pub fn cpu_millis(&self, now: BootTime) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        // A new entry has seen only a part of the period that the sum stands for.
        let seen_share = 1.0 - weight(now.saturating_sub(first_at).max(MIN_PERIOD));
        self.cpu_millis * weight(now.saturating_sub(self.updated_at)) / seen_share
    }
}

/// Returns the weight of a job that arrived `age` ago.
fn weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
