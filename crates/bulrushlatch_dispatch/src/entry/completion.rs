//! Handling of ended runs, and the end of jobs.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::BootTime,
    ids::{JobId, OrderNumber, ProcessId, TaskKey},
    outcome::{Answer, Obstacle, Refusal, RunOutcome},
};

use super::{
    Entry, admission,
    job_state::Phase,
    waiting::{WaitClass, WaitingTask},
};

/// Attempt number from which the job is given up instead of starting the task again, without the
/// attempts that found no capacity; fewer starts may have been made, since agents raise the number.
const MAX_ATTEMPTS: u32 = 24;
/// Lost runs of a task from which on its job is given up: agents of older builds do not tell of
/// crashes.
const MAX_LOST_RUNS: u32 = 5;
/// Weight of a new value in the moving average of an agent's slowness: about the last 30 runs
/// count.
const SLOWNESS_AVERAGE_WEIGHT: f64 = 0.03;
/// Bounds of an agent's slowness.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.4..=2.5;
/// Shortest expected run time in seconds that a run time is divided by; avoids a division by zero.
const MIN_EXPECTED_RUN_TIME_S: f64 = 1e-3;

impl Entry {
    /// Handles the end of a run. The task changes only if this is its current run.
    pub(super) fn handle_run_end(
        &mut self,
        now: BootTime,
        agent: &ProcessId,
        key: &TaskKey,
        order: OrderNumber,
        outcome: RunOutcome,
        run_time: Duration,
    ) {
        if let Some(view) = self.agents.get_mut(agent)
            && view.runs.get(key).is_some_and(|run| run.order == order)
        {
            view.runs.remove(key);
        }
        // An agent that has ceased to accept tasks refuses them whatever they are.
        let has_closed = self.agents.get(agent).is_some_and(|view| !view.accepts_tasks());
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let max_failed_runs = job.route.max_failed_runs;
        let Some(task) = job.task_mut(key) else { return };
        let is_current = matches!(
            &task.phase,
            Phase::Placed { agent: placed_at, order: placed_by, .. }
                if placed_at == agent && *placed_by == order
        );
        if !is_current {
            return;
        }
        if !matches!(outcome, RunOutcome::NotStarted(_)) {
            job.has_run = true;
        }
        let Some(task) = job.task_mut(key) else { return };
        match outcome {
            RunOutcome::Done => {
                task.phase = Phase::Done;
                self.record_run_time(now, agent, key, run_time);
                self.handle_task_done(now, &key.job);
            }
            RunOutcome::Failed => {
                task.failed_runs += 1;
                task.avoided_agents.push(agent.clone());
                if task.failed_runs >= max_failed_runs {
                    tracing::info!(job = %key.job, task = %key, runs = task.failed_runs, max_failed_runs, "job failed");
                    self.end_job(now, &key.job, Answer::Failed);
                } else {
                    self.requeue(now, key);
                }
            }
            RunOutcome::Stopped | RunOutcome::Lost => {
                self.counters.lost_runs += 1;
                task.lost_runs += u32::from(outcome == RunOutcome::Lost);
                task.avoided_agents.push(agent.clone());
                let has_lost_too_many = task.lost_runs >= MAX_LOST_RUNS;
                let route = Arc::clone(&job.route);
                if has_lost_too_many || self.is_crash_likely(&key.job, &route) {
                    self.give_up_job(now, &key.job);
                } else {
                    self.requeue(now, key);
                }
            }
            RunOutcome::NotStarted(obstacle) => {
                self.counters.not_started += 1;
                if obstacle == Obstacle::NoCapacity || has_closed {
                    task.displaced_attempts += 1;
                }
                if obstacle != Obstacle::NoCapacity {
                    task.avoided_agents.push(agent.clone());
                }
                self.requeue(now, key);
            }
        }
    }

    /// Updates the learned run times of the route, and the speed and slowness of the agent.
    fn record_run_time(
        &mut self,
        now: BootTime,
        agent: &ProcessId,
        key: &TaskKey,
        run_time: Duration,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.request.steps.get(key.step as usize) else { return };
        let (route, estimate) = (Arc::clone(&job.route), step.estimate);
        let expected = self.run_times.expected(&route.name, estimate);
        let run_variance = self.run_times.run_variance(&route.name);
        let nominal_run_time = self.record_speed(now, agent, run_variance, expected, run_time);
        self.run_times.record(&route.name, estimate, nominal_run_time);
        let Some(view) = self.agents.get_mut(agent) else { return };
        let ratio = run_time.as_secs_f64() / expected.as_secs_f64().max(MIN_EXPECTED_RUN_TIME_S);
        let slowness = view.slowness + (ratio - view.slowness) * SLOWNESS_AVERAGE_WEIGHT;
        view.slowness = slowness.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
    }

    /// Ends the job if all tasks are done; otherwise queues the tasks that are no longer blocked.
    fn handle_task_done(&mut self, now: BootTime, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_done() {
            self.end_job(now, id, Answer::Completed);
            return;
        }
        let objective_at = job.objective_at;
        for key in job.unblock_tasks() {
            let class = WaitClass::InTime;
            let cpu_millis = job.cpu_millis(&key);
            let task = WaitingTask { class, due_at: objective_at, key };
            self.waiting.insert(task, cpu_millis, &job.route.name);
        }
    }

    /// Queues a task for another attempt, ahead of tasks that have not started; gives up its job
    /// once its attempt number has reached [`MAX_ATTEMPTS`].
    fn requeue(&mut self, now: BootTime, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let arrived_at = job.arrived_at;
        job.expected_end_at = BootTime::ZERO;
        let Some(task) = job.task_mut(key) else { return };
        if task.attempt.saturating_sub(task.displaced_attempts) >= MAX_ATTEMPTS {
            self.give_up_job(now, &key.job);
            return;
        }
        task.phase = Phase::Waiting;
        let (class, key) = (WaitClass::Restart, key.clone());
        let cpu_millis = job.cpu_millis(&key);
        let task = WaitingTask { class, due_at: arrived_at, key };
        self.waiting.insert(task, cpu_millis, &job.route.name);
    }

    /// Gives up jobs past their deadline, and jobs that have not started and whose answer would come
    /// too late to be of use. Moves those that will only be late to the late class.
    pub(super) fn end_expired_jobs(&mut self, now: BootTime) {
        let mut expired = Vec::new();
        let mut late = Vec::new();
        for (id, job) in &self.jobs {
            let may_have_run = job.may_have_run();
            if may_have_run && now < job.deadline_at {
                continue;
            }
            let answer_at = now + self.expected_critical_path(&job.route, &job.request);
            if now >= job.deadline_at || (!may_have_run && answer_at >= job.useful_until) {
                expired.push(id.clone());
            } else if !may_have_run && !job.is_late() && answer_at >= job.objective_at {
                late.push(id.clone());
            }
        }
        for id in late {
            if self.may_wait_late(now, &id) {
                self.make_late(now, &id);
            } else {
                expired.push(id);
            }
        }
        for id in expired {
            if self.jobs.get(&id).is_some_and(|job| job.is_late() && !job.may_have_run()) {
                self.late_limit.record_expiry();
            }
            self.give_up_job(now, &id);
        }
    }

    /// Moves a job that has not started, and will miss its objective, to the late class.
    pub(super) fn make_late(&mut self, now: BootTime, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let waited_ms = now.saturating_sub(job.arrived_at).as_millis() as u64;
        tracing::info!(job = %id, waited_ms, "job will be late");
        let due_at = job.useful_until.min(job.deadline_at);
        self.reclassify(id, WaitClass::Late, due_at);
    }

    /// Moves a job and its waiting tasks to another class of the queue.
    pub(super) fn reclassify(&mut self, id: &JobId, class: WaitClass, due_at: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.class = class;
        self.waiting.remove_job(id);
        for key in job.waiting_tasks() {
            let cpu_millis = job.cpu_millis(&key);
            self.waiting.insert(WaitingTask { class, due_at, key }, cpu_millis, &job.route.name);
        }
    }

    /// Ends a job that can no longer be served: answers `Interrupted` if it may have run, and
    /// refuses it otherwise.
    pub(super) fn give_up_job(&mut self, now: BootTime, id: &JobId) {
        self.give_up_job_with_wait(now, id, Duration::ZERO);
    }

    /// Does the same; a refusal tells the caller to come back after about `wait`.
    pub(super) fn give_up_job_with_wait(&mut self, now: BootTime, id: &JobId, wait: Duration) {
        let Some(job) = self.jobs.get(id) else { return };
        let waited_ms = now.saturating_sub(job.arrived_at).as_millis() as u64;
        let may_have_run = self.may_have_run(job);
        tracing::info!(job = %id, waited_ms, may_have_run, "job given up");
        let answer = if may_have_run {
            self.counters.interrupted += 1;
            Answer::Interrupted
        } else {
            self.counters.refused += 1;
            self.counters.late_refusals += 1;
            let retry_after = admission::retry_after(wait, self.rng.f64());
            Answer::Refused { reason: Refusal::Overloaded, retry_after }
        };
        self.end_job(now, id, answer);
    }

    /// Ends a job: stops its runs, removes its waiting tasks and answers its callers.
    pub(super) fn end_job(&mut self, now: BootTime, id: &JobId, answer: Answer) {
        let Some(job) = self.jobs.get(id) else { return };
        let has_waiting_task = job.has_waiting_task();
        let mut placed = Vec::new();
        for key in job.task_keys() {
            if let Some(task) = job.task(&key)
                && let Phase::Placed { agent, order, .. } = &task.phase
            {
                placed.push((key, agent.clone(), *order));
            }
        }
        for (key, agent, order) in placed {
            self.issue_stop(&key, &agent, order, false);
        }
        self.fix_origin_proof(id, answer);
        if has_waiting_task {
            self.waiting.remove_job(id);
        }
        let Some(job) = self.jobs.remove(id) else { return };
        match answer {
            Answer::Completed => self.counters.completed += 1,
            Answer::Failed => self.counters.failed += 1,
            _ => {}
        }
        if matches!(answer, Answer::Completed | Answer::Failed) {
            self.answer_cache.insert(now, id.clone(), answer);
        }
        for caller in job.callers {
            self.callers.remove(&caller);
            self.answers.push((caller, answer));
        }
    }
}
