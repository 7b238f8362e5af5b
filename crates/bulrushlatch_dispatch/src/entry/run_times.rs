//! How long tasks run, learned for each route.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::RouteName;

/// Weight of a new value in a moving average: about the last 30 values count.
const WEIGHT: f64 = 0.03;
/// Most routes that are remembered; the rest is taken as estimated.
const MOST_ROUTES: usize = 4_000;

/// Moving averages of run times.
#[derive(Debug, Default)]
pub struct RunTimes {
    mean_ms: BTreeMap<RouteName, f64>,
}

impl RunTimes {
    /// Notes the run time of a task that was done.
    pub fn note(&mut self, route: &RouteName, ran: Duration) {
        let ran_ms = ran.as_secs_f64() * 1e3;
        if let Some(mean_ms) = self.mean_ms.get_mut(route) {
            *mean_ms += (ran_ms - *mean_ms) * WEIGHT;
        } else if self.mean_ms.len() < MOST_ROUTES {
            self.mean_ms.insert(route.clone(), ran_ms);
        }
    }

    /// Returns the run time to expect: between the caller's estimate and what the route's tasks
    /// took, since estimates are often far off.
    pub fn expected(&self, route: &RouteName, estimate: Duration) -> Duration {
        let estimate_ms = estimate.as_secs_f64() * 1e3;
        let Some(&mean_ms) = self.mean_ms.get(route) else { return estimate };
        if estimate_ms <= 0.0 {
            return Duration::from_secs_f64(mean_ms / 1e3);
        }
        Duration::from_secs_f64((mean_ms * estimate_ms).sqrt() / 1e3)
    }
}
