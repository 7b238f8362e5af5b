//! Placing tasks, and stopping runs that stand still.

use std::{ops::Bound, time::Duration};

use crate::{
    clock::BootTime,
    frame::{Action, StartOrder},
    ids::{OrderNumber, ProcessId, TaskKey},
};

use super::{
    Entry, admission,
    job_state::{JobState, Phase},
    placement::{self, Candidate},
};

/// Tasks that may find no room before the rest is taken to find none either: a smaller one may fit.
const MOST_MISSES: usize = 3;
/// Multiple of its expected time after which a run is taken as stuck, unless its route's tasks are
/// known to vary more: estimates are often off by two, and targets differ.
const STUCK_FACTOR: f64 = 3.0;
/// Runs of one task that are stopped for being stuck; the next one is let run.
const MOST_STUCK_RUNS: u32 = 2;
/// Added to it, for messages and short tasks.
const STUCK_MARGIN: Duration = Duration::from_millis(100);

impl Entry {
    /// Places waiting tasks, the most urgent first, until several in a row find no room.
    pub(super) fn place_waiting(&mut self, now: BootTime) {
        let mut after: Option<(BootTime, TaskKey)> = None;
        let mut misses = 0;
        while misses < MOST_MISSES {
            let from = after.map_or(Bound::Unbounded, Bound::Excluded);
            let next = self.waiting.range((from, Bound::Unbounded)).next().cloned();
            let Some(next) = next else { return };
            if self.place(now, &next.1) {
                self.waiting.remove(&next);
            } else {
                misses += 1;
            }
            after = Some(next);
        }
    }

    /// Places one task; returns whether it no longer waits.
    fn place(&mut self, now: BootTime, key: &TaskKey) -> bool {
        let Some(agent) = self.choose_agent(now, key) else {
            return !self.jobs.contains_key(&key.job);
        };
        let Some(job) = self.jobs.get_mut(&key.job) else { return true };
        let Some(step) = job.request.steps.get(key.step as usize) else { return true };
        let (size, payload) = (step.size, job.request.payload.clone());
        let Some(task) = job.task_mut(key) else { return true };
        task.attempt += 1;
        let (attempt, has_failed) = (task.attempt, task.failed_runs > 0);
        let start = StartOrder { task: key.clone(), attempt, payload, size, has_failed };
        let Some(view) = self.agents.get_mut(&agent) else { return false };
        let order = view.order(Action::Start(start));
        task.phase = Phase::Placed { agent, order, since: now, is_stopping: false };
        self.counters.starts += 1;
        true
    }

    fn choose_agent(&mut self, now: BootTime, key: &TaskKey) -> Option<ProcessId> {
        let job = self.jobs.get(&key.job)?;
        let step = job.request.steps.get(key.step as usize)?;
        let task = job.task(key)?;
        let open = self.agents.iter().filter(|(_, view)| {
            view.profile.service == job.route.service && view.is_open(now, &self.timing)
        });
        let candidates = open.map(|(agent, view)| Candidate {
            agent,
            free: view.free(),
            total: view.profile.total,
            labels: &view.profile.labels,
            is_near: view.profile.zone == self.zone,
            slowness: view.slowness,
            same_step: match step.max_per_target {
                Some(_) => view.tasks_of(&key.job, key.step),
                None => 0,
            },
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let free: u64 = candidates.iter().map(|it| it.free.cpu_millis).sum();
        let total = candidates.iter().map(|it| it.total.cpu_millis).sum();
        // A job that has begun is finished first: it holds what it has until then.
        let gives_way = !job.has_run && !self.is_most_urgent(&job.route);
        let reserve = admission::reserve_cpu_millis(total, !gives_way);
        if free < total && free < reserve + step.size.cpu_millis {
            return None;
        }
        let is_avoided = |it: &Candidate<'_>| task.avoided.contains(it.agent);
        let preferred = candidates.iter().copied().filter(|it| !is_avoided(it));
        let chosen = placement::choose(preferred, step, || self.rng.f64());
        // A target where the task failed is better than none, if all are such.
        let all_avoided = candidates.iter().all(is_avoided);
        let chosen = match chosen {
            None if all_avoided => {
                placement::choose(candidates.into_iter(), step, || self.rng.f64())
            }
            chosen => chosen,
        };
        chosen.cloned()
    }

    /// Stops runs that have taken several times as long as expected.
    pub(super) fn stop_stuck(&mut self, now: BootTime) {
        let mut stuck = Vec::new();
        for job in self.jobs.values() {
            for key in job.keys() {
                if let Some((agent, order, limit)) = self.is_stuck(now, job, &key) {
                    stuck.push((key, agent.clone(), order, limit));
                }
            }
        }
        for (task, agent, order, limit) in stuck {
            self.counters.stuck_runs += 1;
            tracing::info!(%task, %agent, limit_ms = limit.as_millis() as u64, "run stuck: stopping it");
            self.order_stop(&task, &agent, order, true);
        }
    }

    /// Returns where a task stands still, if it does, and how long it was given.
    fn is_stuck<'a>(
        &self,
        now: BootTime,
        job: &'a JobState,
        key: &TaskKey,
    ) -> Option<(&'a ProcessId, OrderNumber, Duration)> {
        let task = job.task(key)?;
        let Phase::Placed { agent, order, since, is_stopping: false } = &task.phase else {
            return None;
        };
        if task.stuck_runs >= MOST_STUCK_RUNS {
            return None;
        }
        let step = job.request.steps.get(key.step as usize)?;
        let expected = self.run_times.expected(&job.route.name, step.estimate).max(step.estimate);
        // Each time it is more likely that the task itself is long.
        let factor = STUCK_FACTOR * f64::from(1 << task.stuck_runs);
        let longest =
            self.run_times.upper_bound(&job.route.name, step.estimate).unwrap_or_default();
        let limit = expected.mul_f64(factor).max(longest) + STUCK_MARGIN;
        (now.saturating_sub(*since) > limit).then_some((agent, *order, limit))
    }

    pub(super) fn order_stop(
        &mut self,
        key: &TaskKey,
        agent: &ProcessId,
        order: OrderNumber,
        is_stuck: bool,
    ) {
        if let Some(view) = self.agents.get_mut(agent) {
            view.order(Action::Stop { task: key.clone(), order, is_stuck });
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
