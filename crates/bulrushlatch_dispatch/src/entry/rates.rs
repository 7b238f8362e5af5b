//! How much processor jobs ask for, and how fast ended runs set it free.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{clock::BootTime, ids::RouteName};

/// Time over which rates are taken: a few run times of the common tasks.
const WINDOW: Duration = Duration::from_millis(800);
/// Smallest share of the released processor that a route counts on, so that a first job after a
/// pause is not refused for want of a past.
const SMALLEST_SHARE: f64 = 0.05;

/// Processor that came up in the last moments.
#[derive(Debug, Default)]
pub struct Rate {
    samples: VecDeque<(BootTime, u64)>,
    sum_cpu_millis: u64,
}

impl Rate {
    /// Notes so much processor, in thousandths of a core.
    pub fn note(&mut self, now: BootTime, cpu_millis: u64) {
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

    /// Returns the processor in a second, in thousandths of a core.
    pub fn cpu_millis_per_s(&self) -> f64 {
        self.sum_cpu_millis as f64 / WINDOW.as_secs_f64()
    }
}

/// Processor that the jobs of each route ask for, whether they are taken or not.
#[derive(Debug, Default)]
pub struct Demands {
    routes: BTreeMap<RouteName, Rate>,
}

impl Demands {
    /// Notes a job.
    pub fn note(&mut self, now: BootTime, route: &RouteName, cpu_millis: u64) {
        self.routes.entry(route.clone()).or_default().note(now, cpu_millis);
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: BootTime) {
        for rate in self.routes.values_mut() {
            rate.note(now, 0);
        }
        self.routes.retain(|_, rate| rate.sum_cpu_millis > 0);
    }

    /// Returns the part of all demand that a route has: under overload each route gets this part of
    /// what is released, so that all are served to the same share.
    pub fn share(&self, route: &RouteName) -> f64 {
        let all: u64 = self.routes.values().map(|rate| rate.sum_cpu_millis).sum();
        let own = self.routes.get(route).map_or(0, |rate| rate.sum_cpu_millis);
        (own as f64 / all.max(1) as f64).max(SMALLEST_SHARE)
    }
}
