//! Capacity that an arriving job can expect.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    ids::{JobId, ServiceName},
    job::Step,
    routing::Route,
};

use super::{Entry, admission::Supply, agent_view::AgentView, demand::DemandShare};

/// Time after the start of the process for which targets are expected to be found.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_000);
/// Free capacity, in multiples of the reserve, from which on there is room for late jobs.
const SPARE_RESERVES: u64 = 2;
/// Shortest run time in seconds that a rate is computed for.
const MIN_RUN_TIME_S: f64 = 1e-3;

impl Entry {
    /// Returns whether the first target of a service is still to be found, as this process has
    /// started only a short while ago.
    pub(super) fn is_discovering(&self, now: BootTime, route: &Route) -> bool {
        let is_new = now.saturating_sub(self.started_at) < DISCOVERY_TIME;
        is_new && self.available_targets(now, route).next().is_none()
    }

    fn available_targets<'a>(
        &'a self,
        now: BootTime,
        route: &'a Route,
    ) -> impl Iterator<Item = &'a AgentView> {
        let is_isolated = self.is_route_isolated(route);
        self.targets_of_service(now, route).filter(move |agent| agent.is_isolated == is_isolated)
    }

    /// Returns the available targets of a route's service, for isolated jobs and others.
    pub(super) fn targets_of_service<'a>(
        &'a self,
        now: BootTime,
        route: &Route,
    ) -> impl Iterator<Item = &'a AgentView> + use<'a> {
        let service = self.services.number(&route.service);
        self.agents.values().filter(move |agent| {
            service.is_some() && agent.service == service && agent.is_available(now, &self.timing)
        })
    }

    /// Returns whether any available target could run a task of a step if it were idle.
    pub(super) fn has_fitting_target(&self, now: BootTime, route: &Route, step: &Step) -> bool {
        self.available_targets(now, route).any(|agent| step.fits(&agent.profile))
    }

    /// Returns the capacity available to a route's jobs, whose tasks take `run_time`. They may wait in
    /// the late class only if there was room for late jobs in the last `max_late_wait`.
    pub(super) fn supply(
        &self,
        now: BootTime,
        route: &Route,
        run_time: Duration,
        max_late_wait: Duration,
    ) -> Supply {
        let Capacity { free_cpu_millis, total_cpu_millis, released_cpu_millis_per_s } =
            self.service_capacity(now, route, run_time);
        let withheld =
            self.withheld_cpu_millis(route, self.is_most_urgent(route), total_cpu_millis);
        let queue = self.waiting.lengths(&route.name);
        let max_late_cpu_millis = if self.had_spare_capacity(now, &route.service, max_late_wait) {
            self.late_limit.cpu_millis(total_cpu_millis)
        } else {
            0
        };
        Supply {
            free_cpu_millis: free_cpu_millis.saturating_sub(withheld),
            queued_cpu_millis: queue.same_route_cpu_millis,
            released_cpu_millis_per_s,
            route_share: self.demands.share(&route.name),
            waiting_cpu_millis: queue.cpu_millis,
            late_cpu_millis: queue.late_cpu_millis,
            max_late_cpu_millis,
        }
    }

    /// Returns the capacity of a route's service for this entry, whose tasks take `run_time`.
    pub(super) fn service_capacity(
        &self,
        now: BootTime,
        route: &Route,
        run_time: Duration,
    ) -> Capacity {
        let mut free_cpu_millis = 0;
        let mut total_cpu_millis = 0;
        for agent in self.available_targets(now, route) {
            free_cpu_millis += agent.free().cpu_millis;
            total_cpu_millis += agent.profile.total.cpu_millis;
        }
        let busy_cpu_millis = total_cpu_millis - free_cpu_millis.min(total_cpu_millis);
        let released_cpu_millis_per_s =
            self.released_cpu_millis_per_s(&route.service, busy_cpu_millis, run_time);
        Capacity { free_cpu_millis, total_cpu_millis, released_cpu_millis_per_s }
    }

    /// Records which services have room for late jobs now.
    pub(super) fn record_spare_capacity(&mut self, now: BootTime) {
        let mut services: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for agent in self.agents.values().filter(|agent| agent.is_available(now, &self.timing)) {
            let (free, total) = services.entry(&agent.profile.service).or_default();
            *free += agent.free().cpu_millis;
            *total += agent.profile.total.cpu_millis;
        }
        let spare = services.into_iter().filter(|(service, (free, total))| {
            let reserve = self.urgent_reserve_cpu_millis(service, *total);
            *free >= reserve * SPARE_RESERVES
        });
        let spare: Vec<ServiceName> = spare.map(|(service, _)| service.to_owned()).collect();
        for service in spare {
            self.spare_seen_at.insert(service, now);
        }
    }

    /// Returns whether a service had room for late jobs at some time in the last `period`, or may
    /// have had: targets are found only from the start of the process on.
    fn had_spare_capacity(&self, now: BootTime, service: &str, period: Duration) -> bool {
        let seen_at = self.spare_seen_at.get(service).copied().unwrap_or(self.started_at);
        now.saturating_sub(seen_at) <= period
    }

    /// Returns the rate, in thousandths of a core per second, at which running tasks release CPU for
    /// this entry: its share of that of all tasks, which occupy `busy_cpu_millis`. The share follows
    /// from the demand that entries state to agents. As far as that is not known, it is the rate of
    /// this entry's own tasks, since entries with much load hold much of the capacity, but at least an
    /// even part.
    ///
    /// What other entries run is assumed to be like what this entry runs, or to take `run_time`
    /// while it runs nothing.
    fn released_cpu_millis_per_s(
        &self,
        service: &str,
        busy_cpu_millis: u64,
        run_time: Duration,
    ) -> f64 {
        let mut own_cpu_millis = 0;
        let mut own_released = 0.0;
        for run in self.agents.values().flat_map(|agent| agent.runs.values()) {
            own_cpu_millis += run.cpu_millis;
            own_released += run.cpu_millis as f64 / run.run_time.as_secs_f64().max(MIN_RUN_TIME_S);
        }
        let busy = busy_cpu_millis as f64;
        let all_released = if own_cpu_millis == 0 {
            busy / run_time.as_secs_f64().max(MIN_RUN_TIME_S)
        } else {
            busy * own_released / own_cpu_millis as f64
        };
        let even_part = all_released / self.entries_per_agent();
        let without_demand = own_released.max(even_part);
        let Some(DemandShare { share, weight }) = self.demand.share(service) else {
            return without_demand;
        };
        all_released * share * weight + without_demand * (1.0 - weight)
    }

    /// Returns whether an open job that will miss its objective may wait in the late class.
    pub(super) fn may_wait_late(&self, now: BootTime, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let critical_path = self.expected_critical_path(&job.route, &job.request);
        let max_wait = job.useful_until.saturating_sub(now + critical_path);
        let supply = self.supply(now, &job.route, critical_path, max_wait);
        supply.has_late_room(job.request.initial_demand().cpu_millis)
    }

    /// Returns whether no other route of the service has a lower priority number.
    pub(super) fn is_most_urgent(&self, route: &Route) -> bool {
        self.table.as_ref().is_none_or(|table| table.is_most_urgent(route))
    }
}

/// Capacity of a service at the targets in use, in thousandths of a core.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    /// Free CPU, the reserve included.
    pub free_cpu_millis: u64,
    /// All CPU.
    pub total_cpu_millis: u64,
    /// CPU that ending runs release for this entry per second.
    pub released_cpu_millis_per_s: f64,
}
