//! Shares of the arriving jobs that are served, by route and by size of job.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::BootTime, ids::RouteName};

/// Time constant of the averages: a few run times of long jobs, so that a floor holds within a
/// burst.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Part of a route's jobs that count as large.
const LARGE_PART: f64 = 0.1;
/// Factor by which a large job exceeds the size that all but [`LARGE_PART`] of the jobs stay below, so
/// that no job is large where all have about the same size.
const LARGE_FACTOR: f64 = 1.25;
/// Relative step of the estimate of that size.
const SIZE_STEP: f64 = 0.02;
/// A route is served at least this often in comparison with all routes together, and its large jobs
/// in comparison with the route.
const FLOOR: f64 = 0.5;
/// Prior weight of served jobs, so that the first refusal does not reach a floor.
const PRIOR_JOBS: f64 = 2.0;

/// Decayed counts of jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrived: f64,
    refused: f64,
    updated_at: BootTime,
}

impl Counts {
    fn decay(&mut self, now: BootTime) {
        let age = now.saturating_sub(self.updated_at);
        let keep = (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.arrived *= keep;
        self.refused *= keep;
        self.updated_at = now;
    }

    fn served_share(&self) -> f64 {
        1.0 - (self.refused / (self.arrived + PRIOR_JOBS)).min(1.0)
    }
}

/// Counts of a route.
#[derive(Clone, Copy, Debug)]
struct RouteCounts {
    all: Counts,
    large: Counts,
    /// Size that all but [`LARGE_PART`] of the jobs stay below, in thousandths of a core.
    quantile_cpu_millis: f64,
}

impl RouteCounts {
    fn is_large(&self, cpu_millis: u64) -> bool {
        cpu_millis as f64 > self.quantile_cpu_millis * LARGE_FACTOR
    }
}

/// Counts of all routes.
#[derive(Clone, Debug, Default)]
pub struct ServedShares {
    all: Counts,
    routes: BTreeMap<RouteName, RouteCounts>,
}

impl ServedShares {
    /// Adds an arriving job.
    pub fn record_arrival(&mut self, now: BootTime, route: &RouteName, cpu_millis: u64) {
        let size = cpu_millis as f64;
        let counts = self.routes.entry(route.clone()).or_insert(RouteCounts {
            all: Counts::default(),
            large: Counts::default(),
            quantile_cpu_millis: size,
        });
        // Steps up and down balance where the large part of the jobs is above the estimate.
        let step = counts.quantile_cpu_millis * SIZE_STEP;
        if size > counts.quantile_cpu_millis {
            counts.quantile_cpu_millis += step * (1.0 - LARGE_PART);
        } else {
            counts.quantile_cpu_millis -= step * LARGE_PART;
        }
        let is_large = counts.is_large(cpu_millis);
        for counts in [&mut self.all, &mut counts.all] {
            counts.decay(now);
            counts.arrived += 1.0;
        }
        if is_large {
            counts.large.decay(now);
            counts.large.arrived += 1.0;
        }
    }

    /// Adds a refused job, which has arrived before.
    pub fn record_refusal(&mut self, now: BootTime, route: &RouteName, cpu_millis: u64) {
        let Some(counts) = self.routes.get_mut(route) else { return };
        let is_large = counts.is_large(cpu_millis);
        for counts in [&mut self.all, &mut counts.all] {
            counts.decay(now);
            counts.refused += 1.0;
        }
        if is_large {
            counts.large.decay(now);
            counts.large.refused += 1.0;
        }
    }

    /// Returns whether a route is served so often that a job of it may be refused in favor of another
    /// route's, or a job of this size in favor of a smaller one.
    pub fn is_above_floor(&self, route: &RouteName, cpu_millis: u64) -> bool {
        let Some(counts) = self.routes.get(route) else { return true };
        let route_share = counts.all.served_share();
        let is_route_served = route_share > self.all.served_share() * FLOOR;
        is_route_served && !self.is_large_below_floor(route, cpu_millis)
    }

    /// Returns whether a job is large and the large jobs of its route are refused so often that this
    /// one has to be favored.
    fn is_large_below_floor(&self, route: &RouteName, cpu_millis: u64) -> bool {
        self.routes.get(route).is_some_and(|counts| {
            counts.is_large(cpu_millis)
                && counts.large.served_share() <= counts.all.served_share() * FLOOR
        })
    }
}
