//! Ends of runs and of jobs.

use std::time::Duration;

use crate::{
    clock::BootTime,
    ids::{JobId, OrderNumber, ProcessId, TaskKey},
    outcome::{Answer, Obstacle, Refusal, RunOutcome},
};

use super::{
    Entry, admission,
    job_state::{JobState, Phase},
};

/// Starts of one task after which its job is given up, whatever ended them.
const MOST_STARTS: u32 = 24;
/// Weight of a new value in an agent's slowness: about the last 30 runs count.
const SLOWNESS_WEIGHT: f64 = 0.03;
/// Range of an agent's slowness.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.4..=2.5;

impl Entry {
    /// Takes the end of a run.
    pub(super) fn run_ended(
        &mut self,
        now: BootTime,
        agent: &ProcessId,
        key: &TaskKey,
        order: OrderNumber,
        outcome: RunOutcome,
        ran: Duration,
    ) {
        if let Some(view) = self.agents.get_mut(agent)
            && view.runs.get(key) == Some(&order)
        {
            view.runs.remove(key);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let max_failed_runs = job.route.max_failed_runs;
        let Some(task) = job.task_mut(key) else { return };
        let is_current = matches!(
            &task.phase,
            Phase::Placed { agent: at, order: by, .. } if at == agent && *by == order
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
                self.learn(agent, key, ran);
                self.task_done(now, &key.job);
            }
            RunOutcome::Failed => {
                task.failed_runs += 1;
                task.avoided.push(agent.clone());
                if task.failed_runs >= max_failed_runs {
                    tracing::info!(job = %key.job, task = %key, runs = task.failed_runs, max_failed_runs, "job failed");
                    self.end_job(now, &key.job, Answer::Failed);
                } else {
                    self.wait_again(now, key);
                }
            }
            RunOutcome::Stopped | RunOutcome::Lost => {
                self.counters.lost_runs += 1;
                task.avoided.push(agent.clone());
                self.wait_again(now, key);
            }
            RunOutcome::NotStarted(obstacle) => {
                self.counters.not_started += 1;
                if obstacle != Obstacle::NoRoom {
                    task.avoided.push(agent.clone());
                }
                self.wait_again(now, key);
            }
        }
    }

    fn learn(&mut self, agent: &ProcessId, key: &TaskKey, ran: Duration) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.request.steps.get(key.step as usize) else { return };
        let expected = self.run_times.expected(&job.route.name, step.estimate);
        self.run_times.record(&job.route.name, step.estimate, ran);
        let Some(view) = self.agents.get_mut(agent) else { return };
        let ratio = ran.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let slowness = view.slowness + (ratio - view.slowness) * SLOWNESS_WEIGHT;
        view.slowness = slowness.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
    }

    fn task_done(&mut self, now: BootTime, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_done() {
            self.end_job(now, id, Answer::Completed);
            return;
        }
        let latest_start = job.objective_at;
        for task in job.unblock() {
            self.waiting.insert((latest_start, task));
        }
    }

    /// Makes a task wait for another start, before tasks that have not begun.
    fn wait_again(&mut self, now: BootTime, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let arrived_at = job.arrived_at;
        let Some(task) = job.task_mut(key) else { return };
        if task.attempt >= MOST_STARTS {
            self.give_up(now, &key.job);
            return;
        }
        task.phase = Phase::Waiting;
        self.waiting.insert((arrived_at, key.clone()));
    }

    /// Gives up jobs whose callers have gone or that have waited too long to be of use.
    pub(super) fn give_up_late(&mut self, now: BootTime) {
        let late = self.jobs.iter().filter(|(_, job)| {
            now >= job.deadline_at || (!job.may_have_run() && self.is_too_late(now, job))
        });
        for job in late.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.give_up(now, &job);
        }
    }

    fn is_too_late(&self, now: BootTime, job: &JobState) -> bool {
        now + self.expected_work(&job.route, &job.request) >= job.objective_at
    }

    /// Ends a job that cannot be served any more.
    pub(super) fn give_up(&mut self, now: BootTime, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let waited_ms = now.saturating_sub(job.arrived_at).as_millis() as u64;
        let may_have_run = job.may_have_run();
        tracing::info!(job = %id, waited_ms, may_have_run, "job given up");
        let answer = if may_have_run {
            self.counters.interrupted += 1;
            Answer::Interrupted
        } else {
            self.counters.refused += 1;
            self.counters.refused_late += 1;
            let retry_after = admission::retry_after(Duration::ZERO, self.rng.f64());
            Answer::Refused { reason: Refusal::Overloaded, retry_after }
        };
        self.end_job(now, id, answer);
    }

    /// Answers a job's callers and stops what is left of it.
    pub(super) fn end_job(&mut self, now: BootTime, id: &JobId, answer: Answer) {
        let Some(job) = self.jobs.get(id) else { return };
        let has_waiting = job.has_waiting();
        let mut placed = Vec::new();
        for key in job.keys() {
            if let Some(task) = job.task(&key)
                && let Phase::Placed { agent, order, .. } = &task.phase
            {
                placed.push((key, agent.clone(), *order));
            }
        }
        for (key, agent, order) in placed {
            self.order_stop(&key, &agent, order, false);
        }
        if has_waiting {
            self.waiting.retain(|(_, task)| task.job != *id);
        }
        let Some(job) = self.jobs.remove(id) else { return };
        match answer {
            Answer::Completed => self.counters.completed += 1,
            Answer::Failed => self.counters.failed += 1,
            _ => {}
        }
        if matches!(answer, Answer::Completed | Answer::Failed) {
            self.kept.keep(now, id.clone(), answer);
        }
        for caller in job.callers {
            self.callers.remove(&caller);
            self.answers.push((caller, answer));
        }
    }
}
