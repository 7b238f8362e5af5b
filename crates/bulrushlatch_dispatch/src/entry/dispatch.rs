//! Placement of waiting tasks, and detection of stuck runs.

use std::time::Duration;

use crate::{
    clock::BootTime,
    frame::{Action, StartOrder},
    ids::{JobId, OrderNumber, ProcessId, TaskKey},
    job::Step,
};

use super::{
    Entry,
    job_state::{JobState, Phase},
    placement::{self, Candidate},
    waiting::{WaitClass, WaitingTask},
};

/// Tasks without a fitting agent after which a pass over the queue ends. It is more than one
/// because a smaller task may fit where a larger one does not.
const MAX_MISSES: usize = 3;
/// Steps of jobs that wait for a fast target after which a pass over the queue ends; it bounds the
/// work of a pass. They are more than [`MAX_MISSES`] because tasks behind them may have room.
const MAX_HELD_STEPS: usize = 8;
/// Shortest time between two decisions on the same task that waits for a fast target: short against
/// the wait, long against the interval of passes under load.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Multiple of its expected run time after which a run counts as stuck, unless its route's run
/// times vary more: estimates are often off by a factor of two, and targets differ in speed.
const STUCK_FACTOR: f64 = 3.0;
/// Added to the time limit of a run, for messages and short tasks.
const STUCK_MARGIN: Duration = Duration::from_millis(100);
/// Runs of one task that are stopped as stuck; later runs have no time limit, as the task itself is
/// probably long.
const MAX_STUCK_RUNS: u32 = 2;

/// Agent chosen for a task.
enum Selection {
    /// The task is to start at this agent; with the sensitivity of its
    /// [`SpeedNeed`](super::placement::SpeedNeed).
    Agent(ProcessId, f64),
    /// The task waits for a fast target although others have room.
    Held,
    /// No agent has room.
    NoRoom,
}

/// What becomes of a task in the queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum QueueAction {
    /// The task leaves the queue: it is placed, or its job has ended.
    Remove,
    /// The task stays for lack of capacity.
    Keep,
    /// The task stays until an isolated target is idle, which says nothing of the other targets.
    KeepIsolated,
    /// The task stays to wait for a fast target although others have room.
    Hold,
}

impl Entry {
    /// Places waiting tasks in the order of the queue until [`MAX_MISSES`] of them find no agent, or
    /// [`MAX_HELD_STEPS`] steps wait for a fast target.
    pub(super) fn place_waiting_tasks(&mut self, now: BootTime) {
        self.is_placement_due = false;
        let mut after: Option<WaitingTask> = None;
        let mut misses = 0;
        let mut held_steps = 0;
        let mut held: Option<TaskKey> = None;
        let is_check_due = now.saturating_sub(self.held_checked_at) >= HELD_CHECK_INTERVAL;
        if is_check_due {
            self.held_checked_at = now;
        }
        while misses < MAX_MISSES && held_steps < MAX_HELD_STEPS {
            let next = self.waiting.next_after(after.as_ref()).cloned();
            let Some(next) = next else { return };
            // The other tasks of the same step would be held as well.
            let is_same_step =
                |held: &TaskKey| held.job == next.key.job && held.step == next.key.step;
            if !held.as_ref().is_some_and(is_same_step) {
                let stays_held = !is_check_due && self.is_held(&next.key);
                let action =
                    if stays_held { QueueAction::Hold } else { self.place_task(now, &next.key) };
                match action {
                    QueueAction::Remove => {
                        self.waiting.remove(&next);
                    }
                    QueueAction::Keep => misses += 1,
                    QueueAction::KeepIsolated => {}
                    QueueAction::Hold => {
                        // The task may start although no capacity is released.
                        self.is_placement_due = true;
                        held_steps += 1;
                        held = Some(next.key.clone());
                    }
                }
            }
            after = Some(next);
        }
    }

    /// Places one task; returns what becomes of it in the queue.
    fn place_task(&mut self, now: BootTime, key: &TaskKey) -> QueueAction {
        let (agent, sensitivity) = match self.select_agent(now, key) {
            Selection::Agent(agent, sensitivity) => (agent, sensitivity),
            Selection::Held => {
                self.hold_task(now, key);
                return QueueAction::Hold;
            }
            Selection::NoRoom => {
                return match self.jobs.get(&key.job) {
                    Some(job) if self.is_isolated(&key.job, &job.route) => {
                        QueueAction::KeepIsolated
                    }
                    Some(_) => QueueAction::Keep,
                    None => QueueAction::Remove,
                };
            }
        };
        let Some(job) = self.jobs.get(&key.job) else { return QueueAction::Remove };
        let Some(step) = job.request.steps.get(key.step as usize) else {
            return QueueAction::Remove;
        };
        let origin = self.delegation.origin_of(&job.callers);
        let (size, payload) = (step.size, job.request.payload.clone());
        let expected = self.run_times.expected(&job.route.name, step.estimate);
        let expected = self.record_placement(now, key, &agent, expected, sensitivity);
        let Some(job) = self.jobs.get_mut(&key.job) else { return QueueAction::Remove };
        let Some(task) = job.task_mut(key) else { return QueueAction::Remove };
        task.attempt += 1;
        let (attempt, has_failed) = (task.attempt, task.failed_runs > 0);
        let start = StartOrder { task: key.clone(), attempt, payload, size, has_failed };
        let Some(view) = self.agents.get_mut(&agent) else { return QueueAction::Keep };
        let order = view.issue_start(start, expected, origin);
        self.agents_with_orders.push(agent.clone());
        task.phase = Phase::Placed { agent, order, placed_at: now, is_stopping: false };
        self.counters.start_orders += 1;
        if job.is_late() {
            self.begin_late_job(now, &key.job);
        }
        QueueAction::Remove
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

    /// Chooses the agent at which to start a task. A task of a job that has ended finds no room.
    fn select_agent(&mut self, now: BootTime, key: &TaskKey) -> Selection {
        self.try_select_agent(now, key).unwrap_or(Selection::NoRoom)
    }

    fn try_select_agent(&mut self, now: BootTime, key: &TaskKey) -> Option<Selection> {
        let job = self.jobs.get(&key.job)?;
        let step = job.request.steps.get(key.step as usize)?;
        let task = job.task(key)?;
        let service = Some(self.services.number(&job.route.service)?);
        let origin = self.delegation.origin_of(&job.callers);
        let need = self.speed_need(now, job, key);
        let is_isolated = self.is_isolated(&key.job, &job.route);
        let available = self.agents.iter().filter(|(_, view)| {
            view.service == service
                && view.may_start(&key.job, is_isolated)
                && view.is_available(now, &self.timing)
                && self.delegation.may_start(origin, key, view)
        });
        let candidates = available.map(|(agent, view)| Candidate {
            agent,
            free: view.free(),
            total: view.profile.total,
            labels: &view.profile.labels,
            is_in_own_zone: view.is_in_own_zone,
            slowness: view.slowness,
            speed: &view.speed,
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
        if !self.has_room_beside_reserve(job, step, free, total) {
            return None;
        }
        let is_avoided = |candidate: &Candidate<'_>| task.avoided_agents.contains(candidate.agent);
        let preferred = candidates.clone().filter(|candidate| !is_avoided(candidate));
        let after_crash = self.agent_after_crash(key, preferred.clone());
        if let Some(chosen) = after_crash.filter(|chosen| chosen.has_room(step)) {
            return Some(Selection::Agent(chosen.agent.clone(), 0.0));
        }
        let chosen = placement::choose(preferred, step, need.as_ref(), || self.rng.f64());
        // If all candidates are avoided, any of them is better than none.
        let chosen = match chosen {
            None if candidates.clone().all(|candidate| is_avoided(&candidate)) => {
                let all = candidates.clone();
                placement::choose(all, step, need.as_ref(), || self.rng.f64())
            }
            chosen => chosen,
        }?;
        let Some(need) = need else { return Some(Selection::Agent(chosen.agent.clone(), 0.0)) };
        // An avoided agent was chosen only if all are avoided.
        let may_avoid = !is_avoided(&chosen);
        let usable = candidates.filter(|candidate| !(may_avoid && is_avoided(candidate)));
        let fastest = placement::fastest(usable, step)?;
        if need.should_wait(chosen.speed, fastest) {
            return Some(Selection::Held);
        }
        Some(Selection::Agent(chosen.agent.clone(), need.sensitivity()))
    }

    /// Returns whether a task of `step` may start with `free` of `total` capacity left, in thousandths
    /// of a core, as far as the reserve for urgent routes is concerned.
    fn has_room_beside_reserve(&self, job: &JobState, step: &Step, free: u64, total: u64) -> bool {
        // A job that has started may use the reserve: finishing it releases the capacity that it
        // holds.
        let may_use_reserve = job.has_run || self.is_most_urgent(&job.route);
        let withheld = self.withheld_cpu_millis(&job.route, may_use_reserve, total);
        // A late job starts as a whole, so that it does not wait half started.
        let needed = if job.is_late() {
            job.request.initial_demand().cpu_millis
        } else {
            step.size.cpu_millis
        };
        // The reserve does not apply while all targets are idle: otherwise a task that needs more
        // than the rest would never start.
        free >= total || free >= withheld + needed
    }

    /// Issues a stop order for every run that counts as stuck.
    pub(super) fn stop_stuck_runs(&mut self, now: BootTime) {
        let mut stuck = Vec::new();
        for job in self.jobs.values() {
            for (number, step) in job.request.steps.iter().enumerate() {
                // No run of the step has lasted longer than the job has been open.
                if now.saturating_sub(job.arrived_at) <= min_stuck_limit(step) {
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
        if now.saturating_sub(*placed_at) <= min_stuck_limit(step) {
            return None;
        }
        let expected = self.run_times.expected(&job.route.name, step.estimate).max(step.estimate);
        // The limit doubles with each stuck run: it becomes more likely that the task itself is
        // long.
        let factor = STUCK_FACTOR * f64::from(1 << task.stuck_runs);
        let upper_bound =
            self.run_times.upper_bound(&job.route.name, step.estimate).unwrap_or_default();
        let limit = self.scale_limit(agent, expected.mul_f64(factor).max(upper_bound));
        let limit = limit + STUCK_MARGIN;
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
fn min_stuck_limit(step: &Step) -> Duration {
    step.estimate.mul_f64(STUCK_FACTOR) + STUCK_MARGIN
}
