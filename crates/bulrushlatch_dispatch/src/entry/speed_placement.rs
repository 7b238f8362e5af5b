//! Learning and use of targets' speeds: what an entry does where they differ.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    ids::{ProcessId, ServiceName, TaskKey},
};

use super::{
    Entry,
    job_state::JobState,
    job_times::MESSAGE_TIME_RESERVE,
    placement::SpeedNeed,
    service_speeds::{ServiceSpeeds, SpeedSums},
};

/// Shortest run time in seconds of which a logarithm is taken; clocks are not more precise.
const MIN_RUN_TIME_S: f64 = 0.5e-3;

impl Entry {
    /// Sets whether tasks are placed by the speed of targets where it differs.
    pub fn set_speed_placement(&mut self, is_on: bool) {
        self.is_speed_placement_on = is_on;
    }

    /// Returns the largest spread of the speeds of one service's targets in use: the standard
    /// deviation of their logarithms.
    pub fn target_speed_spread(&self) -> f64 {
        self.speeds.values().map(|speeds| speeds.log_spread).fold(0.0, f64::max)
    }

    /// Returns the number of targets in use that are recognised as slow.
    pub fn slow_targets(&self) -> usize {
        self.speeds.values().map(|speeds| speeds.slow_targets).sum()
    }

    /// Returns the speeds of a service's targets if they differ beyond their uncertainty.
    pub(super) fn unequal_speeds(&self, service: &str) -> Option<&ServiceSpeeds> {
        self.speeds.get(service).filter(|speeds| speeds.are_unequal())
    }

    /// Updates which targets are slow.
    pub(super) fn refresh_speeds(&mut self, now: BootTime) {
        if !self.is_speed_placement_on {
            return;
        }
        let mut sums: BTreeMap<&str, SpeedSums> = BTreeMap::new();
        for view in self.agents.values().filter(|view| view.is_in_use) {
            let sum = sums.entry(&view.profile.service).or_default();
            sum.add(&view.speed, view.profile.total.cpu_millis);
        }
        // A service without agents in use keeps nothing.
        self.speeds.retain(|service, _| sums.contains_key(service.as_str()));
        let mut elapsed: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        for (service, sum) in sums {
            let speeds = self.speeds.entry(service.to_owned()).or_default();
            elapsed.insert(service.to_owned(), speeds.refresh(now, &sum));
        }
        for (agent, view) in &mut self.agents {
            let Some(speeds) = self.speeds.get(&view.profile.service) else { continue };
            let elapsed = elapsed.get(&view.profile.service).copied().unwrap_or_default();
            if view.speed.refresh(now, elapsed, speeds.mean_log_speed) {
                let speed_percent = (speeds.relative(&view.speed) * 100.0) as u64;
                let uncertainty_percent = (view.speed.variance().sqrt() * 100.0) as u64;
                let (runs, is_slow) = (view.speed.runs(), view.speed.is_slow());
                tracing::info!(%agent, speed_percent, uncertainty_percent, runs, is_slow, "target's speed changed");
            }
        }
    }

    /// Records the run time of a completed task that was expected to take `expected` on a nominal
    /// target; returns what it would have taken there, as far as speeds are known to differ.
    pub(super) fn record_speed(
        &mut self,
        now: BootTime,
        agent: &ProcessId,
        run_variance: f64,
        expected: Duration,
        run_time: Duration,
    ) -> Duration {
        if !self.is_speed_placement_on {
            return run_time;
        }
        let Some(view) = self.agents.get_mut(agent) else { return run_time };
        let log_s = |time: Duration| time.as_secs_f64().max(MIN_RUN_TIME_S).ln();
        view.speed.record(now, log_s(expected) - log_s(run_time), run_variance);
        let speeds = self.speeds.get(&view.profile.service).filter(|speeds| speeds.are_unequal());
        speeds.map_or(run_time, |speeds| run_time.mul_f64(speeds.relative(&view.speed)))
    }

    /// Returns what a task needs of a target's speed; `None` if speeds do not differ.
    pub(super) fn speed_need(
        &self,
        now: BootTime,
        job: &JobState,
        key: &TaskKey,
    ) -> Option<SpeedNeed> {
        let speeds = self.unequal_speeds(&job.route.service)?;
        let step = job.request.steps.get(key.step as usize)?;
        let run_time = self.run_times.expected(&job.route.name, step.estimate);
        let path_after = match job.paths_after.get(key.step as usize) {
            Some(path) if !path.is_zero() => self.run_times.expected(&job.route.name, *path),
            _ => Duration::ZERO,
        };
        // The job's last task determines when the job ends.
        let will_be_late = job.is_late() || job.expected_end_at > job.objective_at;
        let reserve = path_after + MESSAGE_TIME_RESERVE;
        let time_left =
            (!will_be_late).then(|| job.objective_at.saturating_sub(now).saturating_sub(reserve));
        let run_variance = self.run_times.run_variance(&job.route.name);
        Some(SpeedNeed::new(speeds, time_left, run_time, run_variance))
    }

    /// Returns whether a task waits for a fast target although others have room.
    pub(super) fn is_held(&self, key: &TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.held_since.is_some())
    }

    /// Records that a task waits for a fast target although others have room.
    pub(super) fn hold_task(&mut self, now: BootTime, key: &TaskKey) {
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|job| job.task_mut(key)) else { return };
        if task.held_since.is_none() {
            task.held_since = Some(now);
            self.counters.speed_waits += 1;
        }
    }

    /// Records that a task which takes `expected` on a nominal target is placed at an agent; returns
    /// what it is expected to take there. `sensitivity` is that of its [`SpeedNeed`].
    pub(super) fn record_placement(
        &mut self,
        now: BootTime,
        key: &TaskKey,
        agent: &ProcessId,
        expected: Duration,
        sensitivity: f64,
    ) -> Duration {
        let held_since =
            self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(key)?.held_since.take());
        let Some(view) = self.agents.get(agent) else { return expected };
        let Some(speeds) = self.speeds.get_mut(&view.profile.service) else { return expected };
        if !speeds.are_unequal() {
            return expected;
        }
        let run_time = expected.div_f64(speeds.relative(&view.speed));
        let Some(job) = self.jobs.get_mut(&key.job) else { return run_time };
        job.expected_end_at = job.expected_end_at.max(now + run_time);
        let Some(step) = job.request.steps.get(key.step as usize) else { return run_time };
        let core_s = step.size.cpu_millis as f64 * 1e-3 * expected.as_secs_f64();
        speeds.record_placement(core_s, sensitivity);
        if let Some(held_since) = held_since {
            speeds.record_fast_wait(now.saturating_sub(held_since));
        }
        run_time
    }

    /// Returns a limit on the run time of a task, scaled by the speed of a target if that is slow.
    pub(super) fn scale_limit(&self, agent: &ProcessId, limit: Duration) -> Duration {
        let Some(view) = self.agents.get(agent) else { return limit };
        let Some(speeds) = self.unequal_speeds(&view.profile.service) else { return limit };
        limit.div_f64(speeds.relative(&view.speed).min(1.0))
    }
}
