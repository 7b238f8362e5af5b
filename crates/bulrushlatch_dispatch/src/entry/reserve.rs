//! Capacity that is left to the most urgent routes of a service.
//!
//! Urgent jobs arrive in clusters. Their number within the time from the arrival of one to its
//! latest end varies like that of independent arrivals; the reserve covers the variation of the CPU
//! that they need on average over that time.

use std::time::Duration;

use crate::{clock::BootTime, routing::Route};

use super::{Entry, offered_load::OfferedLoad};

/// Reserve, as a share of the capacity, until an urgent job has arrived, and while the reserve does
/// not follow the demand: about what urgent jobs use during one run of a typical task.
const DEFAULT_SHARE: f64 = 0.06;
/// Largest reserve, as a share of the capacity.
const MAX_SHARE: f64 = 0.25;
/// Standard deviations of the urgent demand that the reserve of a single entry covers. Urgent jobs also
/// get most of what ending runs release, as they are due first, so a whole deviation costs the other
/// routes more than it serves. docs/design/overload-control.md has the measurements.
const DEVIATIONS: f64 = 0.5;
/// The same for entries that share targets, of which none sees what the others have just started.
const SHARED_DEVIATIONS: f64 = 1.0;
/// Entries at each target from which on targets count as shared; the number is an average.
const MIN_SHARING_ENTRIES: f64 = 1.5;
/// Weight of a new job in the averages.
const JOB_WEIGHT: f64 = 0.05;

/// Demand of the most urgent routes of a service at this entry.
#[derive(Clone, Copy, Debug)]
pub struct UrgentDemand {
    load: OfferedLoad,
    /// Average CPU of a job, in thousandths of a core.
    job_cpu_millis: f64,
    /// Average run time of a job, in seconds.
    run_time_s: f64,
    /// Average of the longest wait for a start that meets the objective, in seconds.
    max_wait_s: f64,
    /// CPU to reserve, in thousandths of a core, as of the last tick.
    reserve_cpu_millis: f64,
}

impl UrgentDemand {
    /// Returns the demand of which a first job is known.
    pub fn new(cpu_millis: u64, run_time: Duration, max_wait: Duration) -> Self {
        Self {
            load: OfferedLoad::default(),
            job_cpu_millis: cpu_millis as f64,
            run_time_s: run_time.as_secs_f64(),
            max_wait_s: max_wait.as_secs_f64(),
            reserve_cpu_millis: 0.0,
        }
    }

    /// Adds a job.
    pub fn record(
        &mut self,
        now: BootTime,
        cpu_millis: u64,
        run_time: Duration,
        max_wait: Duration,
    ) {
        self.load.record(now, cpu_millis, run_time);
        let average = |mean: &mut f64, value: f64| *mean += (value - *mean) * JOB_WEIGHT;
        average(&mut self.job_cpu_millis, cpu_millis as f64);
        average(&mut self.run_time_s, run_time.as_secs_f64());
        average(&mut self.max_wait_s, max_wait.as_secs_f64());
    }

    /// Updates the CPU to reserve at targets that `entries` like this one share.
    ///
    /// The variance of the CPU of `n` concurrent jobs that need `c` each is `n * c * c`, and `n * c`
    /// is the offered load. Averaged over the time for which a job may also wait, it is smaller by
    /// the part of that time in which the job runs.
    fn update(&mut self, now: BootTime, entries: f64) {
        let is_shared = entries >= MIN_SHARING_ENTRIES;
        let deviations = if is_shared { SHARED_DEVIATIONS } else { DEVIATIONS };
        let load = self.load.cpu_millis(now) * entries;
        let run_part = self.run_time_s / (self.run_time_s + self.max_wait_s).max(f64::EPSILON);
        self.reserve_cpu_millis = deviations * (load * self.job_cpu_millis * run_part).sqrt();
    }
}

impl Entry {
    /// Returns the CPU at targets of a service with `total_cpu_millis` that is left to its most
    /// urgent routes, in thousandths of a core.
    pub(super) fn urgent_reserve_cpu_millis(&self, service: &str, total_cpu_millis: u64) -> u64 {
        let total = total_cpu_millis as f64;
        let demand = self.urgent_demands.get(service);
        let reserve = demand.map_or(total * DEFAULT_SHARE, |demand| demand.reserve_cpu_millis);
        reserve.min(total * MAX_SHARE) as u64
    }

    /// Returns the CPU of a route's service that a job of the route may not use, in thousandths of a core.
    pub(super) fn withheld_cpu_millis(
        &self,
        route: &Route,
        may_use_reserve: bool,
        total_cpu_millis: u64,
    ) -> u64 {
        if may_use_reserve {
            0
        } else {
            self.urgent_reserve_cpu_millis(&route.service, total_cpu_millis)
        }
    }

    /// Updates the reserves; to be called once a tick.
    pub(super) fn update_reserves(&mut self, now: BootTime) {
        if self.urgent_demands.is_empty() {
            return;
        }
        let entries = self.entries_per_agent();
        self.urgent_demands.values_mut().for_each(|demand| demand.update(now, entries));
    }

    /// Records the demand of an arriving job if its route is among the most urgent of its service.
    pub(super) fn record_urgent_demand(
        &mut self,
        now: BootTime,
        route: &Route,
        cpu_millis: u64,
        run_time: Duration,
        max_wait: Duration,
    ) {
        if !self.is_shortage_policy_on || !self.is_most_urgent(route) {
            return;
        }
        if let Some(demand) = self.urgent_demands.get_mut(&route.service) {
            demand.record(now, cpu_millis, run_time, max_wait);
            return;
        }
        let mut demand = UrgentDemand::new(cpu_millis, run_time, max_wait);
        demand.record(now, cpu_millis, run_time, max_wait);
        self.urgent_demands.insert(route.service.clone(), demand);
    }

    /// Returns the largest present reserve of a service, in thousandths of a core.
    pub fn largest_reserve_cpu_millis(&self, now: BootTime) -> u64 {
        let reserves = self.urgent_demands.keys().map(|service| {
            let available = self.agents.values().filter(|agent| {
                agent.is_available(now, &self.timing) && agent.profile.service == *service
            });
            let total = available.map(|agent| agent.profile.total.cpu_millis).sum();
            self.urgent_reserve_cpu_millis(service, total)
        });
        reserves.max().unwrap_or_default()
    }
}
