//! How long callers had waited before their request arrived.
//!
//! A caller that lost its connection submits its job again, and has less time left than others of
//! its route have. What it has left beyond the time for which an answer is of use is compared with
//! the recent values of the route: most callers submit for the first time, so the upper quartile is
//! typical of them, and the spread above it shows how exact the comparison is.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::ids::RouteName;

/// Number of recent requests of a route that are compared.
const MAX_SAMPLES: usize = 64;
/// Number of requests of a route before which nothing is concluded.
const MIN_SAMPLES: usize = 16;
/// Position of the typical value among the sorted ones.
const TYPICAL_QUANTILE: f64 = 0.75;
/// Position of the value whose distance from the typical one is the spread.
const SPREAD_QUANTILE: f64 = 0.95;
/// Distance from the typical value, in spreads, up to which a difference may be chance.
const MAX_CHANCE_SPREADS: f64 = 5.0;
/// Largest number of routes that are learned; callers of others count as new.
const MAX_ROUTES: usize = 4_000;

/// Seconds that recent callers had left beyond the time for which an answer is of use, by route.
#[derive(Debug, Default)]
pub struct CallerAges {
    routes: BTreeMap<RouteName, VecDeque<f64>>,
}

impl CallerAges {
    /// Records a request whose caller waits for `remaining`, and whose answer is of use for
    /// `useful_time`. Returns how long the caller had waited before; zero if that may be chance, or is
    /// less than `min_age`.
    pub fn record(
        &mut self,
        route: &RouteName,
        remaining: Duration,
        useful_time: Duration,
        min_age: Duration,
    ) -> Duration {
        let margin_s = remaining.as_secs_f64() - useful_time.as_secs_f64();
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return Duration::ZERO;
        }
        let samples = self.routes.entry(route.clone()).or_default();
        samples.push_back(margin_s);
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
        let mut sorted: Vec<f64> = samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        if sorted.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let typical_s = quantile(&sorted, TYPICAL_QUANTILE);
        let spread_s = quantile(&sorted, SPREAD_QUANTILE) - typical_s;
        let age_s = typical_s - margin_s;
        if age_s > MAX_CHANCE_SPREADS * spread_s && age_s >= min_age.as_secs_f64() {
            Duration::from_secs_f64(age_s.max(0.0))
        } else {
            Duration::ZERO
        }
    }
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index).or(sorted.last()).copied().unwrap_or_default()
}
