//! Speeds of the targets of a service in sum, and what follows for the tasks that wait for fast ones.

use std::time::Duration;

use crate::clock::BootTime;

use super::target_speed::TargetSpeed;

/// Expected wait for a fast target while none has been observed.
const INITIAL_FAST_WAIT_S: f64 = 0.01;
/// Weight of a new wait in its moving average.
const FAST_WAIT_WEIGHT: f64 = 0.1;
/// Share of the difference from the initial expected wait that remains after a refresh, so that a
/// wait that was found too long is tried again.
const FAST_WAIT_DECAY: f64 = 0.95;
/// Share of earlier placements' weight that remains after a placement: about the last 200 count.
const PLACEMENT_DECAY: f64 = 0.995;

/// Speeds of the targets of one service that an entry uses, and the waits that result.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpeeds {
    /// Logarithm of the mean speed, weighted by capacity: the speed of the nominal target.
    pub mean_log_speed: f64,
    /// Logarithm of the lowest speed.
    pub min_log_speed: f64,
    /// Logarithm of the highest speed.
    pub max_log_speed: f64,
    /// Standard deviation of the logarithms.
    pub log_spread: f64,
    /// Number of slow targets.
    pub slow_targets: usize,
    /// Average time that tasks wait for a fast target, in seconds.
    fast_wait_s: f64,
    /// Weighted sum of the work of recent placements, in core-seconds.
    work: f64,
    /// The part of `work` that only fast targets can do in time.
    sensitive_work: f64,
    /// When the speeds were last summed up.
    refreshed_at: BootTime,
}

impl Default for ServiceSpeeds {
    fn default() -> Self {
        Self {
            mean_log_speed: 0.0,
            min_log_speed: 0.0,
            max_log_speed: 0.0,
            log_spread: 0.0,
            slow_targets: 0,
            fast_wait_s: INITIAL_FAST_WAIT_S,
            work: 0.0,
            sensitive_work: 0.0,
            refreshed_at: BootTime::ZERO,
        }
    }
}

impl ServiceSpeeds {
    /// Returns whether the speeds of the targets differ beyond their uncertainty.
    pub fn are_unequal(&self) -> bool {
        self.slow_targets > 0
    }

    /// Replaces the summary by that of `sums`; returns the time since the last refresh.
    pub fn refresh(&mut self, now: BootTime, sums: &SpeedSums) -> Duration {
        let elapsed = now.saturating_sub(self.refreshed_at);
        self.refreshed_at = now;
        self.slow_targets = sums.slow_targets;
        if sums.cpu_millis > 0.0 {
            self.mean_log_speed = (sums.speed / sums.cpu_millis).ln();
            self.min_log_speed = sums.min_log_speed;
            self.max_log_speed = sums.max_log_speed;
            let mean = sums.log_speed / sums.cpu_millis;
            let variance = sums.squared_log_speed / sums.cpu_millis - mean * mean;
            self.log_spread = variance.max(0.0).sqrt();
        }
        let excess = self.fast_wait_s - INITIAL_FAST_WAIT_S;
        self.fast_wait_s = INITIAL_FAST_WAIT_S + excess * FAST_WAIT_DECAY;
        elapsed
    }

    /// Returns a target's speed in multiples of that of the nominal target.
    pub fn relative(&self, speed: &TargetSpeed) -> f64 {
        (speed.log_speed() - self.mean_log_speed).exp()
    }

    /// Records a placement that keeps `core_s` busy on a nominal target; `sensitivity` is the share of
    /// such tasks that a slow target makes late.
    pub fn record_placement(&mut self, core_s: f64, sensitivity: f64) {
        self.work = self.work * PLACEMENT_DECAY + core_s;
        self.sensitive_work = self.sensitive_work * PLACEMENT_DECAY + core_s * sensitivity;
    }

    /// Returns the share of the recent work that only fast targets can do in time.
    pub fn sensitive_share(&self) -> f64 {
        if self.work > 0.0 { self.sensitive_work / self.work } else { 0.0 }
    }

    /// Records how long a task waited for a fast target.
    pub fn record_fast_wait(&mut self, wait: Duration) {
        self.fast_wait_s += (wait.as_secs_f64() - self.fast_wait_s) * FAST_WAIT_WEIGHT;
    }

    /// Returns how long a task is expected to wait for a fast target.
    pub fn fast_wait(&self) -> Duration {
        Duration::from_secs_f64(self.fast_wait_s.max(0.0))
    }
}

/// Sums over the targets of one service, weighted by their capacities.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedSums {
    /// Sum of the capacities, in thousandths of a core.
    cpu_millis: f64,
    /// Weighted sum of the speeds.
    speed: f64,
    /// Weighted sum of their logarithms.
    log_speed: f64,
    /// Weighted sum of the squared logarithms.
    squared_log_speed: f64,
    min_log_speed: f64,
    max_log_speed: f64,
    slow_targets: usize,
}

impl SpeedSums {
    /// Adds a target with its capacity, in thousandths of a core, unless it has had no run.
    pub fn add(&mut self, speed: &TargetSpeed, cpu_millis: u64) {
        if speed.runs() == 0 {
            return;
        }
        let (weight, log_speed) = (cpu_millis as f64, speed.log_speed());
        let is_first = self.cpu_millis == 0.0;
        let (min, max) = if is_first {
            (log_speed, log_speed)
        } else {
            (self.min_log_speed.min(log_speed), self.max_log_speed.max(log_speed))
        };
        (self.min_log_speed, self.max_log_speed) = (min, max);
        self.cpu_millis += weight;
        self.speed += weight * log_speed.exp();
        self.log_speed += weight * log_speed;
        self.squared_log_speed += weight * log_speed * log_speed;
        self.slow_targets += usize::from(speed.is_slow());
    }
}
