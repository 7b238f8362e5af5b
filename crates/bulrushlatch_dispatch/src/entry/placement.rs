//! Choice of the agent that starts a task.

use std::time::Duration;

use crate::{ids::ProcessId, job::Step, size::Size};

use super::{service_speeds::ServiceSpeeds, target_speed::TargetSpeed};

/// Score bonus of an agent in the entry's own availability zone; the score starts from the free
/// share of the target's CPU. The bonus saves latency and the price of traffic between zones, and
/// is small enough not to outweigh an even spread.
const OWN_ZONE_BONUS: f64 = 0.05;
/// Score bonus of a target with the label that a step prefers; its tasks run longer elsewhere.
const PREFERRED_LABEL_BONUS: f64 = 1.0;
/// Weight of an agent's slowness against the free share of its target's CPU.
const SLOWNESS_SCORE_WEIGHT: f64 = 0.5;
/// Weight of the risk that a task is late against the free share of a target's CPU. Above 1, a target
/// that makes the task late is chosen only if no other has room.
const RISK_SCORE_WEIGHT: f64 = 2.0;
/// Weight of a target's slowness in favor of tasks that meet their objective there, if all other
/// work needs fast targets.
const RELIEF_SCORE_WEIGHT: f64 = 1.0;
/// Largest logarithm of a speed's ratio to the mean that counts for relief: a factor of two.
const MAX_RELIEF_LOG_RATIO: f64 = 0.7;
/// Difference in risk from which on a task waits for a fast target. At 0.1, so many tasks wait under
/// load that short jobs behind them become late.
const MIN_WAIT_GAIN: f64 = 0.25;
/// Steepness of the logistic function that is closest to the normal distribution function.
const LOGISTIC_STEEPNESS: f64 = 1.702;
/// Range of the random part of a score, so that entries with the same view choose differently.
const JITTER: f64 = 0.1;

/// An agent at which a task may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the agent.
    pub agent: &'a ProcessId,
    /// Free capacity of its target.
    pub free: Size,
    /// Total capacity of its target.
    pub total: Size,
    /// Labels of its target.
    pub labels: &'a [String],
    /// Whether it is in the entry's own availability zone.
    pub is_in_own_zone: bool,
    /// Ratio of actual to expected run times; 1 is average.
    pub slowness: f64,
    /// Speed of its target.
    pub speed: &'a TargetSpeed,
    /// Runs of the same step of the job that this entry has there; counted only for a limited step.
    pub same_step_runs: u32,
}

impl Candidate<'_> {
    /// Returns whether the labels and the limit per target allow a task of the step, whatever the
    /// free capacity.
    pub fn allows(&self, step: &Step) -> bool {
        step.accepts_labels(self.labels)
            && step.max_per_target.is_none_or(|max| self.same_step_runs < max)
    }

    /// Returns whether a task of the step may start there now.
    pub fn has_room(&self, step: &Step) -> bool {
        self.allows(step) && step.size.fits(&self.free)
    }

    fn score(&self, step: &Step, need: Option<&SpeedNeed>, random: f64) -> f64 {
        let total = self.total.cpu_millis.max(1) as f64;
        let mut score = self.free.cpu_millis as f64 / total;
        if self.is_in_own_zone {
            score += OWN_ZONE_BONUS;
        }
        let has_label = |label: &String| self.labels.contains(label);
        if step.preferred_label.as_ref().is_some_and(has_label) {
            score += PREFERRED_LABEL_BONUS;
        }
        score += match need {
            Some(need) => need.score(self.speed),
            None => -SLOWNESS_SCORE_WEIGHT * (self.slowness - 1.0),
        };
        score + JITTER * random
    }
}

/// What a task needs of a target's speed to be in time; used where the targets' speeds differ.
#[derive(Clone, Copy, Debug)]
pub struct SpeedNeed {
    /// Logarithm of the speed of the nominal target.
    mean_log_speed: f64,
    /// Time until the task must end.
    time_left: Duration,
    /// Expected run time on the nominal target.
    run_time: Duration,
    /// Logarithm of the ratio of `run_time` to `time_left`; infinite if no time is left.
    log_time_ratio: f64,
    /// Variance of the logarithm of run times at one target.
    run_variance: f64,
    /// Share of the recent work that only fast targets can do in time.
    sensitive_share: f64,
    /// Expected wait for a fast target.
    fast_wait: Duration,
    /// Risk that the slowest target adds to that of the fastest; 0 for a task that will be late, or
    /// in time, at each of them.
    sensitivity: f64,
}

impl SpeedNeed {
    /// Returns the need of a task that takes `run_time` on the nominal target and must end in
    /// `time_left`, or that of a task whose end no longer matters if that is `None`.
    pub fn new(
        speeds: &ServiceSpeeds,
        time_left: Option<Duration>,
        run_time: Duration,
        run_variance: f64,
    ) -> Self {
        let mut need = Self {
            mean_log_speed: speeds.mean_log_speed,
            time_left: time_left.unwrap_or_default(),
            run_time,
            log_time_ratio: log_ratio(run_time, time_left.unwrap_or_default()),
            run_variance,
            sensitive_share: speeds.sensitive_share(),
            fast_wait: speeds.fast_wait(),
            sensitivity: 0.0,
        };
        if time_left.is_some() {
            let slowest = need.risk_at(speeds.min_log_speed, 0.0, need.log_time_ratio);
            let fastest = need.risk_at(speeds.max_log_speed, 0.0, need.log_time_ratio);
            need.sensitivity = slowest - fastest;
        }
        need
    }

    /// Returns the risk that a slow target adds for this task.
    pub fn sensitivity(&self) -> f64 {
        self.sensitivity
    }

    /// Returns the probability that the task ends late on a target.
    fn risk(&self, speed: &TargetSpeed) -> f64 {
        self.risk_at(speed.log_speed(), speed.variance(), self.log_time_ratio)
    }

    fn risk_at(&self, log_speed: f64, variance: f64, log_time_ratio: f64) -> f64 {
        let log_excess = log_time_ratio - (log_speed - self.mean_log_speed);
        let deviations = log_excess / (self.run_variance + variance).sqrt();
        1.0 / (1.0 + (-LOGISTIC_STEEPNESS * deviations).exp())
    }

    fn score(&self, speed: &TargetSpeed) -> f64 {
        let log_ratio = speed.log_speed() - self.mean_log_speed;
        let slowness = (-log_ratio).clamp(-MAX_RELIEF_LOG_RATIO, MAX_RELIEF_LOG_RATIO);
        let relief = (1.0 - self.sensitivity) * self.sensitive_share * slowness;
        let risk = if self.sensitivity > 0.0 { self.risk(speed) } else { 0.0 };
        RELIEF_SCORE_WEIGHT * relief - RISK_SCORE_WEIGHT * risk
    }

    /// Returns whether to wait for the target with speed `fastest`, which has no room now, rather than
    /// to start at one with speed `chosen`.
    ///
    /// It does not if the expected wait uses up the advantage. As the time left shrinks, the task
    /// starts anyway once a faster target no longer helps.
    pub fn should_wait(&self, chosen: &TargetSpeed, fastest: &TargetSpeed) -> bool {
        if self.sensitivity < MIN_WAIT_GAIN {
            return false;
        }
        let time_left = self.time_left.saturating_sub(self.fast_wait);
        let log_time_ratio = log_ratio(self.run_time, time_left);
        let later = self.risk_at(fastest.log_speed(), fastest.variance(), log_time_ratio);
        self.risk(chosen) - later > MIN_WAIT_GAIN
    }
}

/// Returns the logarithm of the ratio of a run time to the time left.
fn log_ratio(run_time: Duration, time_left: Duration) -> f64 {
    if time_left.is_zero() {
        return f64::INFINITY;
    }
    (run_time.as_secs_f64() / time_left.as_secs_f64()).ln()
}

/// Returns the highest speed among the agents that may run a task of `step` when they have room.
pub fn fastest<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    step: &Step,
) -> Option<&'a TargetSpeed> {
    let allowed =
        candidates.filter(|candidate| candidate.allows(step) && step.size.fits(&candidate.total));
    let speeds = allowed.map(|candidate| candidate.speed);
    speeds.max_by(|left, right| left.log_speed().total_cmp(&right.log_speed()))
}

/// Returns the agent with the highest score among those with capacity for a task of `step`. Without
/// `need`, slowness counts whatever the task's objective. `random` returns values uniform in 0..1.
pub fn choose<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    step: &Step,
    need: Option<&SpeedNeed>,
    mut random: impl FnMut() -> f64,
) -> Option<Candidate<'a>> {
    let fitting = candidates.filter(|candidate| candidate.has_room(step));
    let scored = fitting.map(|candidate| (candidate.score(step, need, random()), candidate));
    let best = scored.max_by(|(left, _), (right, _)| left.total_cmp(right));
    best.map(|(_, candidate)| candidate)
}
