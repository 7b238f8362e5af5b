//! Placement of waiting tasks, and detection of stuck runs.

use std::time::Duration;

use crate::{
    clock::BootTime,
    frame::{Action, StartOrder},
    ids::{JobId, OrderNumber, ProcessId, TaskKey},
    job::Step,
};

use super::{
    Entry, admission,
    job_state::{JobState, Phase},
    placement::{self, Candidate},
    waiting::{WaitClass, WaitingTask},
};

/// Tasks without a fitting agent after which a pass over the queue ends. It is more than one
/// because a smaller task may fit where a larger one does not.
const MAX_MISSES: usize = 3;
/// Multiple of its expected run time after which a run counts as stuck, unless its route's run
/// times vary more: estimates are often off by a factor of two, and targets differ in speed.
const STUCK_FACTOR: f64 = 3.0;
/// Added to the time limit of a run, for messages and short tasks.
const STUCK_MARGIN: Duration = Duration::from_millis(100);
/// Runs of one task that are stopped as stuck; later runs have no time limit, as the task itself is
/// probably long.
const MAX_STUCK_RUNS: u32 = 2;

impl Entry {
    /// Places waiting tasks in the order of the queue until [`MAX_MISSES`] of them find no agent.
    pub(super) fn place_waiting_tasks(&mut self, now: BootTime) {
        self.is_placement_due = false;
        let mut after: Option<WaitingTask> = None;
        let mut misses = 0;
        while misses < MAX_MISSES {
            let next = self.waiting.next_after(after.as_ref()).cloned();
            let Some(next) = next else { return };
            if self.place_task(now, &next.key) {
                self.waiting.remove(&next);
            } else {
                misses += 1;
            }
            after = Some(next);
        }
    }

    /// Places one task; returns whether to remove it from the queue.
    fn place_task(&mut self, now: BootTime, key: &TaskKey) -> bool {
        let Some(agent) = self.select_agent(now, key) else {
            return !self.jobs.contains_key(&key.job);
        };
        let Some(job) = self.jobs.get_mut(&key.job) else { return true };
        let Some(step) = job.request.steps.get(key.step as usize) else { return true };
        let (size, payload) = (step.size, job.request.payload.clone());
        let expected = self.run_times.expected(&job.route.name, step.estimate);
        let Some(task) = job.task_mut(key) else { return true };
        task.attempt += 1;
        let (attempt, has_failed) = (task.attempt, task.failed_runs > 0);
        let start = StartOrder { task: key.clone(), attempt, payload, size, has_failed };
        let Some(view) = self.agents.get_mut(&agent) else { return false };
        let order = view.issue_start(start, expected);
        self.agents_with_orders.push(agent.clone());
        task.phase = Phase::Placed { agent, order, placed_at: now, is_stopping: false };
        self.counters.start_orders += 1;
        if job.is_late() {
            self.begin_late_job(now, &key.job);
        }
        true
    }

    /// Moves the other waiting tasks of a late job of which a task was placed among those in time,
    /// where the next pass finds them: what has started is to end soon.
    fn begin_late_job(&mut self, now: BootTime, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let cpu_millis = job.request.initial_demand().cpu_millis;
        let total = self.agents.values().map(|view| view.profile.total.cpu_millis).sum();
        self.late_limit.record_start(cpu_millis, total);
        self.reclassify(id, WaitClass::InTime, now);
        self.is_placement_due = true;
    }

    /// Returns the agent at which to start a task, if any has capacity.
    fn select_agent(&mut self, now: BootTime, key: &TaskKey) -> Option<ProcessId> {
        let job = self.jobs.get(&key.job)?;
        let step = job.request.steps.get(key.step as usize)?;
        let task = job.task(key)?;
        let service = Some(self.services.number(&job.route.service)?);
        let available = self
            .agents
            .iter()
            .filter(|(_, view)| view.service == service && view.is_available(now, &self.timing));
        let candidates = available.map(|(agent, view)| Candidate {
            agent,
            free: view.free(),
            total: view.profile.total,
            labels: &view.profile.labels,
            is_in_own_zone: view.is_in_own_zone,
            slowness: view.slowness,
            same_step_runs: match step.max_per_target {
                Some(_) => view.count_runs(&key.job, key.step),
                None => 0,
            },
        });
        let (mut free, mut total) = (0, 0);
        for candidate in candidates.clone() {
            free += candidate.free.cpu_millis;
            total += candidate.total.cpu_millis;
        }
        // A job that has started may use the reserve: finishing it releases the capacity that it
        // holds.
        let may_use_reserve = job.has_run || self.is_most_urgent(&job.route);
        let reserve = admission::reserve_cpu_millis(total, may_use_reserve);
        // A late job starts as a whole, so that it does not wait half started.
        let needed = if job.is_late() {
            job.request.initial_demand().cpu_millis
        } else {
            step.size.cpu_millis
        };
        // The reserve does not apply while all targets are idle: otherwise a task that needs more
        // than the rest would never start.
        if free < total && free < reserve + needed {
            return None;
        }
        let is_avoided = |candidate: &Candidate<'_>| task.avoided_agents.contains(candidate.agent);
        let preferred = candidates.clone().filter(|candidate| !is_avoided(candidate));
        let chosen = placement::choose(preferred, step, || self.rng.f64());
        // If all candidates are avoided, any of them is better than none.
        let chosen = match chosen {
            None if candidates.clone().all(|candidate| is_avoided(&candidate)) => {
                placement::choose(candidates, step, || self.rng.f64())
            }
            chosen => chosen,
        };
        chosen.cloned()
    }

    /// Issues a stop order for every run that counts as stuck.
    pub(super) fn stop_stuck_runs(&mut self, now: BootTime) {
        let mut stuck = Vec::new();
        for job in self.jobs.values() {
            for (number, step) in job.request.steps.iter().enumerate() {
                // No run of the step has lasted longer than the job has been open.
                if now.saturating_sub(job.arrived_at) <= least_stuck_limit(step) {
                    continue;
                }
                for index in 0..step.tasks {
                    let key = TaskKey { job: job.request.id.clone(), step: number as u32, index };
                    if let Some((agent, order, limit)) = self.stuck_run(now, job, &key) {
                        stuck.push((key, agent.clone(), order, limit));
                    }
                }
            }
        }
        for (task, agent, order, limit) in stuck {
            self.counters.stuck_runs += 1;
            tracing::info!(%task, %agent, limit_ms = limit.as_millis() as u64, "run stuck: stopping it");
            self.issue_stop(&task, &agent, order, true);
        }
    }

    /// Returns the agent, start order and time limit of a task's run if the run is stuck.
    fn stuck_run<'a>(
        &self,
        now: BootTime,
        job: &'a JobState,
        key: &TaskKey,
    ) -> Option<(&'a ProcessId, OrderNumber, Duration)> {
        let task = job.task(key)?;
        let Phase::Placed { agent, order, placed_at, is_stopping: false } = &task.phase else {
            return None;
        };
        if task.stuck_runs >= MAX_STUCK_RUNS {
            return None;
        }
        let step = job.request.steps.get(key.step as usize)?;
        if now.saturating_sub(*placed_at) <= least_stuck_limit(step) {
            return None;
        }
        let expected = self.run_times.expected(&job.route.name, step.estimate).max(step.estimate);
        // The limit doubles with each stuck run: it becomes more likely that the task itself is
        // long.
        let factor = STUCK_FACTOR * f64::from(1 << task.stuck_runs);
        let upper_bound =
            self.run_times.upper_bound(&job.route.name, step.estimate).unwrap_or_default();
        let limit = expected.mul_f64(factor).max(upper_bound) + STUCK_MARGIN;
        (now.saturating_sub(*placed_at) > limit).then_some((agent, *order, limit))
    }

    /// Issues a stop order for a run; `is_stuck` tells the agent to count it as a target failure.
    pub(super) fn issue_stop(
        &mut self,
        key: &TaskKey,
        agent: &ProcessId,
        order: OrderNumber,
        is_stuck: bool,
    ) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.issue_order(Action::Stop { task: key.clone(), order, is_stuck });
            self.agents_with_orders.push(agent.clone());
        }
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key))
            && let Phase::Placed { is_stopping, .. } = &mut task.phase
        {
            *is_stopping = true;
            task.stuck_runs += u32::from(is_stuck);
        }
    }
}

/// Returns the shortest time limit that a run of the step can have, whatever has been learned.
fn least_stuck_limit(step: &Step) -> Duration {
    step.estimate.mul_f64(STUCK_FACTOR) + STUCK_MARGIN
}
