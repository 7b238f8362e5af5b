//! Speeds of targets, learned from the run times of an entry's own tasks.
//!
//! A target's speed is the ratio of expected to actual run times. Its logarithm is estimated by a
//! scalar Kalman filter: a run counts for more the less the run times of its route vary, so that long
//! tasks, on which constant delays have little effect, count for more than short ones. Deviations are
//! bounded, since a few tasks run several times as long as expected wherever they are.

use std::time::Duration;

use crate::clock::BootTime;

/// Variance of the logarithm of an unknown speed: a factor of about 1.6 either way.
const INITIAL_VARIANCE: f64 = 0.25;
/// Growth of the variance per second, which lets old runs lose their influence.
const VARIANCE_GROWTH_PER_S: f64 = 0.001;
/// Time without a run after which a speed begins to be forgotten.
const UNOBSERVED_AFTER: Duration = Duration::from_secs(1);
/// Time constant with which the speed of a target without runs becomes unknown.
const FORGETTING_TIME: Duration = Duration::from_secs(10);
/// Largest deviation of a run that is taken at face value, in standard deviations.
const MAX_DEVIATIONS: f64 = 1.5;
/// Weight of a new run in the average deviation that shows a change of speed.
const CHANGE_WEIGHT: f64 = 0.3;
/// Average deviation, in standard deviations, that shows a change: four runs in a row at the largest
/// deviation, and nearly three standard deviations of the average of unbiased runs.
const CHANGE_THRESHOLD: f64 = 1.0;
/// Smallest variance of a run's logarithm: clocks and messages are not more precise.
const MIN_RUN_VARIANCE: f64 = 0.01;
/// Largest absolute logarithm of a speed: a factor of 7; for longer run times there are other reasons.
const MAX_LOG_SPEED: f64 = 2.0;
/// Further runs that must confirm a change of a target's state: a few overlong tasks in a row would be
/// taken for a slow target otherwise.
const CONFIRMING_RUNS: u32 = 3;
/// Logarithm of the ratio to the mean speed below which a target can be recognised as slow: 14%
/// slower, as smaller differences decide about few tasks.
const SLOW_LOG_RATIO: f64 = -0.15;
/// Logarithm of the ratio to the mean speed above which a slow target is normal again.
const NORMAL_LOG_RATIO: f64 = -0.1;
/// Standard deviations below the mean at which a target is recognised as slow. All targets are
/// checked ten times a second, so that three would be reached by chance.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Standard deviations below the mean at which a slow target is normal again.
const NORMAL_DEVIATIONS: f64 = 2.0;
/// Shortest time between two changes of a target's state, which also bounds the log lines.
const MIN_STATE_TIME: Duration = Duration::from_millis(500);
/// Expected wait for a fast target while none has been observed.
const INITIAL_FAST_WAIT_S: f64 = 0.01;
/// Weight of a new wait in its moving average.
const FAST_WAIT_WEIGHT: f64 = 0.1;
/// Share of the difference from the initial expected wait that remains after a refresh, so that a
/// wait that was found too long is tried again.
const FAST_WAIT_DECAY: f64 = 0.95;
/// Share of earlier placements' weight that remains after a placement: about the last 200 count.
const PLACEMENT_DECAY: f64 = 0.995;

/// Speed of a target with its uncertainty.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpeed {
    /// Logarithm of the estimated speed; its zero depends on the learned run times, so that only
    /// differences between targets have a meaning.
    log_speed: f64,
    /// Variance of `log_speed`; above zero.
    variance: f64,
    /// Moving average of the runs' deviations, in standard deviations.
    mean_deviation: f64,
    /// Recorded runs.
    runs: u32,
    /// When `variance` was last increased for elapsed time.
    updated_at: BootTime,
    /// When the last run was recorded.
    observed_at: BootTime,
    /// Whether it is recognised as slow.
    is_slow: bool,
    /// Value of `runs` when the speed began to contradict `is_slow`; `None` while it does not.
    differs_since_run: Option<u32>,
    /// When `is_slow` changed.
    changed_at: BootTime,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            log_speed: 0.0,
            variance: INITIAL_VARIANCE,
            mean_deviation: 0.0,
            runs: 0,
            updated_at: BootTime::ZERO,
            observed_at: BootTime::ZERO,
            is_slow: false,
            differs_since_run: None,
            changed_at: BootTime::ZERO,
        }
    }
}

impl TargetSpeed {
    /// Records a run with the logarithm of the ratio of its expected to its actual run time, and the
    /// variance of that logarithm at targets of equal speed.
    pub fn record(&mut self, now: BootTime, log_ratio: f64, run_variance: f64) {
        if !log_ratio.is_finite() || !run_variance.is_finite() {
            return;
        }
        self.grow_variance(now);
        self.observed_at = now;
        self.runs = self.runs.saturating_add(1);
        let run_variance = run_variance.max(MIN_RUN_VARIANCE);
        let deviation = (self.variance + run_variance).sqrt();
        let normalized = (log_ratio - self.log_speed) / deviation;
        let bounded = normalized.clamp(-MAX_DEVIATIONS, MAX_DEVIATIONS);
        self.detect_change(bounded);
        let gain = self.variance / (self.variance + run_variance);
        let log_speed = self.log_speed + gain * bounded * deviation;
        self.log_speed = log_speed.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        self.variance *= 1.0 - gain;
    }

    /// Makes the speed uncertain again if the recent runs deviate in the same direction.
    fn detect_change(&mut self, deviation: f64) {
        self.mean_deviation += (deviation - self.mean_deviation) * CHANGE_WEIGHT;
        if self.mean_deviation.abs() > CHANGE_THRESHOLD {
            self.variance = INITIAL_VARIANCE;
            self.mean_deviation = 0.0;
        }
    }

    fn grow_variance(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        if self.runs > 0 {
            let grown = self.variance + VARIANCE_GROWTH_PER_S * elapsed.as_secs_f64();
            self.variance = grown.min(INITIAL_VARIANCE);
        }
    }

    /// Forgets the speed gradually while there are no runs, and decides whether the target is slow
    /// compared with `mean_log_speed`; returns whether this has changed. `elapsed` is the time since
    /// the last call.
    pub fn refresh(&mut self, now: BootTime, elapsed: Duration, mean_log_speed: f64) -> bool {
        self.grow_variance(now);
        if self.runs == 0 {
            self.log_speed = mean_log_speed;
        } else if now.saturating_sub(self.observed_at) >= UNOBSERVED_AFTER {
            self.forget(elapsed, mean_log_speed);
        }
        self.update_state(now, mean_log_speed)
    }

    fn forget(&mut self, elapsed: Duration, mean_log_speed: f64) {
        let kept = (-elapsed.as_secs_f64() / FORGETTING_TIME.as_secs_f64()).exp();
        self.log_speed = mean_log_speed + (self.log_speed - mean_log_speed) * kept;
        self.variance = INITIAL_VARIANCE + (self.variance - INITIAL_VARIANCE) * kept;
    }

    /// Decides whether the target is slow; returns whether this has changed.
    fn update_state(&mut self, now: BootTime, mean_log_speed: f64) -> bool {
        if self.seems_slow(mean_log_speed) == self.is_slow {
            self.differs_since_run = None;
            return false;
        }
        let first = *self.differs_since_run.get_or_insert(self.runs);
        let is_confirmed = self.runs >= first.saturating_add(CONFIRMING_RUNS);
        let is_forgotten = now.saturating_sub(self.observed_at) >= UNOBSERVED_AFTER;
        let has_changed_lately = now.saturating_sub(self.changed_at) < MIN_STATE_TIME;
        if has_changed_lately || !(is_confirmed || is_forgotten) {
            return false;
        }
        self.is_slow = !self.is_slow;
        self.differs_since_run = None;
        self.changed_at = now;
        true
    }

    fn seems_slow(&self, mean_log_speed: f64) -> bool {
        let log_ratio = self.log_speed - mean_log_speed;
        let deviation = self.variance.sqrt();
        let limit = if self.is_slow {
            NORMAL_LOG_RATIO.min(-NORMAL_DEVIATIONS * deviation)
        } else {
            SLOW_LOG_RATIO.min(-SLOW_DEVIATIONS * deviation)
        };
        log_ratio < limit
    }

    /// Returns the logarithm of the speed.
    pub fn log_speed(&self) -> f64 {
        self.log_speed
    }

    /// Returns the variance of [`Self::log_speed`].
    pub fn variance(&self) -> f64 {
        self.variance
    }

    /// Returns whether the target is recognised as slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns the number of runs that were recorded.
    pub fn runs(&self) -> u32 {
        self.runs
    }
}

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
        (speed.log_speed - self.mean_log_speed).exp()
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
        if speed.runs == 0 {
            return;
        }
        let weight = cpu_millis as f64;
        let is_first = self.cpu_millis == 0.0;
        let (min, max) = if is_first {
            (speed.log_speed, speed.log_speed)
        } else {
            (self.min_log_speed.min(speed.log_speed), self.max_log_speed.max(speed.log_speed))
        };
        (self.min_log_speed, self.max_log_speed) = (min, max);
        self.cpu_millis += weight;
        self.speed += weight * speed.log_speed.exp();
        self.log_speed += weight * speed.log_speed;
        self.squared_log_speed += weight * speed.log_speed * speed.log_speed;
        self.slow_targets += usize::from(speed.is_slow);
    }
}
