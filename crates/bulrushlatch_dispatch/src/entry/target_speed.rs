//! Speed of a target, learned from the run times of an entry's own tasks.
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
