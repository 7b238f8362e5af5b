//! How long tasks run, learned for each route.
//!
//! A caller's estimate and what the route's tasks took are both taken as logarithms with an error, and
//! weighted by how small that error has been. So estimates count where they are good.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::RouteName;

/// Weight of a new value in a moving average: about the last 30 values count.
const WEIGHT: f64 = 0.03;
/// Variance of a logarithm before anything is known: a factor of about 1.6 either way.
const FIRST_VARIANCE: f64 = 0.25;
/// Smallest variance, so that a few equal values are not taken as certain.
const SMALLEST_VARIANCE: f64 = 0.01;
/// Deviations from the expected logarithm within which almost all runs end.
const DEVIATIONS: f64 = 3.0;
/// Shortest run time that is told from others, in ms: clocks and messages are not finer.
const SHORTEST_MS: f64 = 0.5;
/// Longest run time that is told from others: no caller waits for so long.
const LONGEST: Duration = Duration::from_secs(1_000_000);
/// Most routes that are remembered; the rest is taken as estimated.
const MOST_ROUTES: usize = 4_000;

/// What was learned of a route.
#[derive(Clone, Copy, Debug)]
struct Learned {
    runs: u32,
    /// Mean of the logarithm of run times in ms.
    log_mean: f64,
    /// Mean square of its error.
    log_variance: f64,
    /// Mean square of the error of estimates, as logarithms.
    estimate_variance: f64,
}

impl Learned {
    fn new(log_ran: f64) -> Self {
        Self {
            runs: 0,
            log_mean: log_ran,
            log_variance: FIRST_VARIANCE,
            estimate_variance: FIRST_VARIANCE,
        }
    }

    fn note(&mut self, log_ran: f64, log_estimate: Option<f64>) {
        self.runs = self.runs.saturating_add(1);
        // The first values weigh more, so that little is believed for long.
        let weight = WEIGHT.max(1.0 / (f64::from(self.runs) + 1.0));
        let error = log_ran - self.log_mean;
        self.log_variance += (error * error - self.log_variance) * weight;
        self.log_mean += error * weight;
        if let Some(log_estimate) = log_estimate {
            let error = log_ran - log_estimate;
            self.estimate_variance += (error * error - self.estimate_variance) * weight;
        }
    }

    /// Returns the expected logarithm and its variance.
    fn expected(&self, log_estimate: Option<f64>) -> (f64, f64) {
        let weight = 1.0 / self.log_variance.max(SMALLEST_VARIANCE);
        let Some(log_estimate) = log_estimate else { return (self.log_mean, 1.0 / weight) };
        let estimate_weight = 1.0 / self.estimate_variance.max(SMALLEST_VARIANCE);
        let weights = weight + estimate_weight;
        ((self.log_mean * weight + log_estimate * estimate_weight) / weights, 1.0 / weights)
    }
}

/// Run times by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<RouteName, Learned>,
}

impl RunTimes {
    /// Notes the run time of a task that was done, and what its caller had estimated.
    pub fn record(&mut self, route: &RouteName, estimate: Duration, ran: Duration) {
        let log_ran = (ran.as_secs_f64() * 1e3).max(SHORTEST_MS).ln();
        if let Some(learned) = self.routes.get_mut(route) {
            learned.note(log_ran, log_ms(estimate));
        } else if self.routes.len() < MOST_ROUTES {
            let mut learned = Learned::new(log_ran);
            learned.note(log_ran, log_ms(estimate));
            self.routes.insert(route.clone(), learned);
        }
    }

    /// Returns the run time to expect.
    pub fn expected(&self, route: &RouteName, estimate: Duration) -> Duration {
        let Some(learned) = self.routes.get(route) else { return estimate };
        let (log, _) = learned.expected(log_ms(estimate));
        from_log_ms(log)
    }

    /// Returns a time within which almost all runs end; none before anything was learned.
    pub fn upper_bound(&self, route: &RouteName, estimate: Duration) -> Option<Duration> {
        let (log, variance) = self.routes.get(route)?.expected(log_ms(estimate));
        Some(from_log_ms(log + DEVIATIONS * variance.sqrt()))
    }
}

fn log_ms(time: Duration) -> Option<f64> {
    (!time.is_zero()).then(|| (time.as_secs_f64() * 1e3).max(SHORTEST_MS).ln())
}

fn from_log_ms(log: f64) -> Duration {
    Duration::from_secs_f64((log.exp() / 1e3).min(LONGEST.as_secs_f64()))
}
