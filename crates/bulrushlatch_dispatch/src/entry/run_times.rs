//! Run times of tasks, learned for each route.
//!
//! The expected run time combines the caller's estimate and the route's mean run time, both as
//! logarithms, each weighted by the inverse of its error variance. So estimates count for more on
//! routes where they are accurate.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::RouteName;

/// Weight of a new value in a moving average: about the last 30 values count.
const WEIGHT: f64 = 0.03;
/// Variance of a logarithm before anything is learned: a factor of about 1.6 either way.
const INITIAL_VARIANCE: f64 = 0.25;
/// Smallest variance, so that a few equal values are not taken as certain.
const MIN_VARIANCE: f64 = 0.01;
/// Number of standard deviations between the expected logarithm and the upper bound, below which
/// almost all runs end.
const UPPER_BOUND_DEVIATIONS: f64 = 3.0;
/// Largest squared error, in multiples of the variance, that counts for the variance of run times.
const MAX_SQUARED_DEVIATIONS: f64 = 6.0;
/// Shortest run time that is distinguished, in ms: clocks and messages are not more precise.
const MIN_RUN_TIME_MS: f64 = 0.5;
/// Longest run time that is distinguished; no caller waits this long.
const MAX_RUN_TIME: Duration = Duration::from_secs(1_000_000);
/// Largest number of routes that are learned; for others, estimates are used as they are.
const MAX_ROUTES: usize = 4_000;

/// Statistics of one route.
#[derive(Clone, Copy, Debug)]
struct RouteStats {
    runs: u32,
    /// Mean of the logarithm of run times in ms.
    log_mean: f64,
    /// Mean squared deviation from `log_mean`.
    log_variance: f64,
    /// Mean squared error of the logarithms of estimates.
    estimate_variance: f64,
    /// Mean squared error of the expected logarithms, with bounded errors, so that a few runs of
    /// several times the usual length have little effect.
    run_variance: f64,
}

impl RouteStats {
    fn new(log_run_time: f64) -> Self {
        Self {
            runs: 0,
            log_mean: log_run_time,
            log_variance: INITIAL_VARIANCE,
            estimate_variance: INITIAL_VARIANCE,
            run_variance: INITIAL_VARIANCE,
        }
    }

    fn record(&mut self, log_run_time: f64, log_estimate: Option<f64>) {
        self.runs = self.runs.saturating_add(1);
        // The first values weigh more, so that the initial variances soon lose their influence.
        let weight = WEIGHT.max(1.0 / (f64::from(self.runs) + 1.0));
        let (expected, _) = self.expected(log_estimate);
        let error = log_run_time - expected;
        let squared = (error * error).min(MAX_SQUARED_DEVIATIONS * self.run_variance);
        self.run_variance += (squared - self.run_variance) * weight;
        let error = log_run_time - self.log_mean;
        self.log_variance += (error * error - self.log_variance) * weight;
        self.log_mean += error * weight;
        if let Some(log_estimate) = log_estimate {
            let error = log_run_time - log_estimate;
            self.estimate_variance += (error * error - self.estimate_variance) * weight;
        }
    }

    /// Returns the expected logarithm of a run time and its variance.
    fn expected(&self, log_estimate: Option<f64>) -> (f64, f64) {
        let weight = 1.0 / self.log_variance.max(MIN_VARIANCE);
        let Some(log_estimate) = log_estimate else { return (self.log_mean, 1.0 / weight) };
        let estimate_weight = 1.0 / self.estimate_variance.max(MIN_VARIANCE);
        let weights = weight + estimate_weight;
        ((self.log_mean * weight + log_estimate * estimate_weight) / weights, 1.0 / weights)
    }
}

/// Statistics of run times by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<RouteName, RouteStats>,
}

impl RunTimes {
    /// Records the run time of a completed task and its caller's estimate.
    pub fn record(&mut self, route: &RouteName, estimate: Duration, run_time: Duration) {
        let log_run_time = (run_time.as_secs_f64() * 1e3).max(MIN_RUN_TIME_MS).ln();
        if let Some(stats) = self.routes.get_mut(route) {
            stats.record(log_run_time, log_ms(estimate));
        } else if self.routes.len() < MAX_ROUTES {
            let mut stats = RouteStats::new(log_run_time);
            stats.record(log_run_time, log_ms(estimate));
            self.routes.insert(route.clone(), stats);
        }
    }

    /// Returns the expected run time; the estimate itself for a route without recorded runs.
    pub fn expected(&self, route: &RouteName, estimate: Duration) -> Duration {
        let Some(stats) = self.routes.get(route) else { return estimate };
        let (log, _) = stats.expected(log_ms(estimate));
        from_log_ms(log)
    }

    /// Returns the variance of the logarithm of run times around the expected one.
    pub fn run_variance(&self, route: &RouteName) -> f64 {
        let variance = self.routes.get(route).map_or(INITIAL_VARIANCE, |stats| stats.run_variance);
        variance.max(MIN_VARIANCE)
    }

    /// Returns a time within which almost all runs end; `None` for a route without recorded runs.
    pub fn upper_bound(&self, route: &RouteName, estimate: Duration) -> Option<Duration> {
        let (log, variance) = self.routes.get(route)?.expected(log_ms(estimate));
        Some(from_log_ms(log + UPPER_BOUND_DEVIATIONS * variance.sqrt()))
    }
}

/// Returns the logarithm of a time in ms; `None` for zero, which means that there is no estimate.
fn log_ms(time: Duration) -> Option<f64> {
    (!time.is_zero()).then(|| (time.as_secs_f64() * 1e3).max(MIN_RUN_TIME_MS).ln())
}

fn from_log_ms(log: f64) -> Duration {
    Duration::from_secs_f64((log.exp() / 1e3).min(MAX_RUN_TIME.as_secs_f64()))
}
