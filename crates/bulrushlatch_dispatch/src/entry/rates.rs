//! Rates at which jobs demand CPU.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{clock::BootTime, ids::RouteName};

/// Sliding window over which rates are measured: a few run times of typical tasks.
const WINDOW: Duration = Duration::from_millis(800);
/// Smallest share of the released CPU that a route is assumed to get, so that the first job after a
/// pause is not refused for lack of recorded demand.
const MIN_SHARE: f64 = 0.05;

/// Sum of CPU over a sliding window.
#[derive(Debug, Default)]
struct CpuWindow {
    samples: VecDeque<(BootTime, u64)>,
    sum_cpu_millis: u64,
}

impl CpuWindow {
    /// Adds a sample, in thousandths of a core, and drops samples older than the window.
    fn record(&mut self, now: BootTime, cpu_millis: u64) {
        if cpu_millis > 0 {
            self.samples.push_back((now, cpu_millis));
            self.sum_cpu_millis += cpu_millis;
        }
        while let Some(&(at, old)) = self.samples.front()
            && now.saturating_sub(at) > WINDOW
        {
            self.samples.pop_front();
            self.sum_cpu_millis -= old;
        }
    }
}

/// CPU that the jobs of each route demand, accepted or not.
#[derive(Debug, Default)]
pub struct RouteDemands {
    routes: BTreeMap<RouteName, CpuWindow>,
}

impl RouteDemands {
    /// Adds the demand of a job.
    pub fn record(&mut self, now: BootTime, route: &RouteName, cpu_millis: u64) {
        self.routes.entry(route.clone()).or_default().record(now, cpu_millis);
    }

    /// Drops samples older than the window, and routes without samples.
    pub fn expire(&mut self, now: BootTime) {
        for rate in self.routes.values_mut() {
            rate.record(now, 0);
        }
        self.routes.retain(|_, rate| rate.sum_cpu_millis > 0);
    }

    /// Returns a route's share of the total demand, at least `MIN_SHARE`.
    ///
    /// Under overload each route gets this share of the released CPU, so that the same fraction of
    /// every route's demand is served.
    pub fn share(&self, route: &RouteName) -> f64 {
        let total: u64 = self.routes.values().map(|rate| rate.sum_cpu_millis).sum();
        let own = self.routes.get(route).map_or(0, |rate| rate.sum_cpu_millis);
        (own as f64 / total.max(1) as f64).max(MIN_SHARE)
    }
}
