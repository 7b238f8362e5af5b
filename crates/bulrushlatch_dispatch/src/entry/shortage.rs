//! Waiting jobs under a shortage of capacity at targets.
//!
//! Admission decides once, by what is known when a job arrives. Each tick the jobs that wait and have
//! not started are looked at again in the order of the queue. A job that can no longer start in time,
//! given what waits ahead of it and what is released, is refused at once. Less urgent jobs ahead of
//! it make way if that lets it start, down to a floor by route and by size.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    ids::{JobId, RouteName, ServiceName},
    outcome::{Answer, Refusal},
    routing::Route,
};

use super::{
    Entry, admission,
    job_state::JobState,
    served_shares::ServedShares,
    waiting::{WaitClass, WaitingTask},
};

/// Part of the longest wait of a job by which the expected start may exceed its latest start before
/// the job is refused: what admission leaves for errors of the same estimate.
const START_TOLERANCE: f64 = 0.25;
/// Smallest range of the random part of a retry delay, so that refused callers do not return at once.
const MIN_RETRY_SPREAD: Duration = Duration::from_secs(2);

/// Longest time in seconds that is computed from a rate, which may be close to zero.
const MAX_WAIT_S: f64 = 1e3;

/// A job in the queue.
#[derive(Clone, Debug)]
struct QueuedJob {
    id: JobId,
    route: RouteName,
    priority: u32,
    /// CPU of its waiting tasks, in thousandths of a core.
    cpu_millis: u64,
}

/// Capacity of a service and the jobs that wait for it.
#[derive(Debug, Default)]
struct ServiceQueue {
    /// Free CPU, in thousandths of a core.
    free_cpu_millis: u64,
    /// Free CPU that only the most urgent routes may use, in thousandths of a core.
    reserve_cpu_millis: u64,
    /// CPU that ending runs release for this entry per second, in thousandths of a core.
    released_cpu_millis_per_s: f64,
    /// CPU of the tasks counted so far, in thousandths of a core.
    ahead_cpu_millis: u64,
    /// Jobs counted so far that have not started.
    unstarted: Vec<QueuedJob>,
}

impl ServiceQueue {
    /// Returns the expected time until `cpu_millis` more can start after all that is ahead, at most
    /// [`MAX_WAIT_S`].
    fn wait(&self, cpu_millis: u64, may_use_reserve: bool) -> Duration {
        let reserve = if may_use_reserve { 0 } else { self.reserve_cpu_millis };
        let free = self.free_cpu_millis.saturating_sub(reserve);
        let missing = (self.ahead_cpu_millis + cpu_millis).saturating_sub(free) as f64;
        Duration::from_secs_f64((missing / self.released_cpu_millis_per_s.max(1.0)).min(MAX_WAIT_S))
    }
}

/// Jobs to refuse, and why.
#[derive(Debug, Default)]
struct Refusals {
    /// Jobs that cannot start in time, with the expected wait.
    too_late: Vec<(JobId, Duration)>,
    /// Jobs that make way for more urgent ones.
    displaced: Vec<JobId>,
}

impl Entry {
    /// Switches the shortage policy and the reserve that follows the demand on or off.
    pub fn set_shortage_policy(&mut self, is_on: bool) {
        self.is_shortage_policy_on = is_on;
    }

    /// Adds an arriving job to the shares that are served.
    pub(super) fn record_arrived_share(&mut self, now: BootTime, route: &Route, cpu_millis: u64) {
        if !self.is_shortage_policy_on {
            return;
        }
        if !self.served_shares.contains_key(&route.service) {
            self.served_shares.insert(route.service.clone(), ServedShares::default());
        }
        if let Some(shares) = self.served_shares.get_mut(&route.service) {
            shares.record_arrival(now, &route.name, cpu_millis);
        }
    }

    /// Adds a refused job to the shares that are served.
    pub(super) fn record_refused_share(&mut self, now: BootTime, route: &Route, cpu_millis: u64) {
        if let Some(shares) = self.served_shares.get_mut(&route.service) {
            shares.record_refusal(now, &route.name, cpu_millis);
        }
    }

    fn is_above_floor(&self, service: &str, route: &RouteName, cpu_millis: u64) -> bool {
        let shares = self.served_shares.get(service);
        shares.is_none_or(|shares| shares.is_above_floor(route, cpu_millis))
    }

    /// Refuses waiting jobs that cannot start in time, and jobs that make way for more urgent ones.
    pub(super) fn refuse_unserveable_jobs(&mut self, now: BootTime) {
        if !self.is_shortage_policy_on || self.waiting.is_empty() {
            return;
        }
        let Refusals { too_late, displaced } = self.unserveable_jobs(now);
        for id in displaced {
            self.counters.displaced +=
                u64::from(self.make_late_or_refuse(now, &id, Duration::ZERO));
        }
        for (id, wait) in too_late {
            let is_refused = self.make_late_or_refuse(now, &id, wait);
            self.counters.refused_while_waiting += u64::from(is_refused);
        }
    }

    fn unserveable_jobs(&self, now: BootTime) -> Refusals {
        let mut queues: BTreeMap<ServiceName, ServiceQueue> = BTreeMap::new();
        let mut refusals = Refusals::default();
        let in_time = self.waiting.iter().take_while(|task| task.class != WaitClass::Late);
        let in_time: Vec<&WaitingTask> = in_time.collect();
        let mut restarted: Vec<&JobId> = Vec::new();
        // Tasks of a job that has not started have the same rank, so they are adjacent.
        for tasks in in_time.chunk_by(|a, b| a.key.job == b.key.job) {
            let Some(job) = self.jobs.get(&tasks[0].key.job) else { continue };
            if !queues.contains_key(&job.route.service) {
                let queue = self.service_queue(now, job);
                queues.insert(job.route.service.clone(), queue);
            }
            let Some(queue) = queues.get_mut(&job.route.service) else { continue };
            let cpu_millis = tasks.iter().map(|task| job.cpu_millis(&task.key)).sum();
            let id = &tasks[0].key.job;
            if restarted.contains(&id) {
                queue.ahead_cpu_millis += cpu_millis;
                continue;
            }
            // Tasks to be started again come first; other tasks of their jobs follow in their class.
            if tasks[0].class == WaitClass::Restart {
                restarted.push(id);
            }
            self.count_job(now, queue, job, cpu_millis, &mut refusals);
        }
        refusals
    }

    /// Returns the capacity of a job's service, without any waiting jobs.
    fn service_queue(&self, now: BootTime, job: &JobState) -> ServiceQueue {
        let critical_path = self.expected_critical_path(&job.route, &job.request);
        let capacity = self.service_capacity(now, &job.route, critical_path);
        ServiceQueue {
            free_cpu_millis: capacity.free_cpu_millis,
            reserve_cpu_millis: self
                .urgent_reserve_cpu_millis(&job.route.service, capacity.total_cpu_millis),
            released_cpu_millis_per_s: capacity.released_cpu_millis_per_s,
            ..ServiceQueue::default()
        }
    }

    /// Adds a job to the queue of its service, or refuses it or others ahead of it.
    fn count_job(
        &self,
        now: BootTime,
        queue: &mut ServiceQueue,
        job: &JobState,
        cpu_millis: u64,
        refusals: &mut Refusals,
    ) {
        if job.may_have_run() {
            queue.ahead_cpu_millis += cpu_millis;
            return;
        }
        let max_wait = job.latest_start_at.saturating_sub(job.arrived_at);
        let remaining =
            (job.latest_start_at + max_wait.mul_f64(START_TOLERANCE)).saturating_sub(now);
        let may_use_reserve = self.is_most_urgent(&job.route);
        let wait = queue.wait(cpu_millis, may_use_reserve);
        let route = &job.route.name;
        let excess = wait.saturating_sub(remaining).as_secs_f64() * queue.released_cpu_millis_per_s;
        if excess > 0.0 {
            let displaced =
                self.displaceable(&job.route.service, queue, job.route.priority, excess);
            if displaced.is_empty() && self.is_above_floor(&job.route.service, route, cpu_millis) {
                refusals.too_late.push((job.request.id.clone(), wait));
                return;
            }
            for index in displaced.into_iter().rev() {
                let other = queue.unstarted.remove(index);
                queue.ahead_cpu_millis -= other.cpu_millis;
                refusals.displaced.push(other.id);
            }
        }
        queue.ahead_cpu_millis += cpu_millis;
        queue.unstarted.push(QueuedJob {
            id: job.request.id.clone(),
            route: route.clone(),
            priority: job.route.priority,
            cpu_millis,
        });
    }

    /// Returns the indexes, in ascending order, of less urgent jobs whose CPU amounts to `excess`;
    /// none if there are not enough above their floors.
    fn displaceable(
        &self,
        service: &str,
        queue: &ServiceQueue,
        priority: u32,
        excess: f64,
    ) -> Vec<usize> {
        let mut chosen = Vec::new();
        let mut cpu_millis = 0.0;
        for (index, other) in queue.unstarted.iter().enumerate().rev() {
            if cpu_millis >= excess {
                break;
            }
            let is_less_urgent = other.priority > priority;
            if is_less_urgent && self.is_above_floor(service, &other.route, other.cpu_millis) {
                chosen.push(index);
                cpu_millis += other.cpu_millis as f64;
            }
        }
        if cpu_millis < excess {
            return Vec::new();
        }
        chosen.reverse();
        chosen
    }

    /// Moves a job to the late class if there is room in it; otherwise refuses it. Returns whether it
    /// was refused.
    fn make_late_or_refuse(&mut self, now: BootTime, id: &JobId, wait: Duration) -> bool {
        if self.may_wait_late(now, id) {
            self.make_late(now, id);
            return false;
        }
        self.refuse_waiting_job(now, id, wait);
        true
    }

    /// Refuses a job of which no task may have run, with a retry delay after `wait`.
    fn refuse_waiting_job(&mut self, now: BootTime, id: &JobId, wait: Duration) {
        let Some(job) = self.jobs.get(id) else { return };
        if self.may_have_run(job) {
            return;
        }
        let waited_ms = now.saturating_sub(job.arrived_at).as_millis() as u64;
        let wait_ms = wait.as_millis() as u64;
        tracing::info!(job = %id, waited_ms, wait_ms, "refused while waiting");
        let (route, cpu_millis) = (job.route.clone(), job.request.initial_demand().cpu_millis);
        let critical_path = self.expected_critical_path(&route, &job.request);
        self.record_refused_share(now, &route, cpu_millis);
        self.counters.refused += 1;
        self.counters.late_refusals += 1;
        let released = self.service_capacity(now, &route, critical_path).released_cpu_millis_per_s;
        let waiting = self.waiting.cpu_millis() as f64;
        let spread = Duration::from_secs_f64((waiting / released.max(1.0)).min(MAX_WAIT_S));
        let spread = spread.max(MIN_RETRY_SPREAD);
        let retry_after = admission::retry_after_within(wait, spread, self.rng.f64());
        self.end_job(now, id, Answer::Refused { reason: Refusal::Overloaded, retry_after });
    }
}
