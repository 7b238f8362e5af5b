//! Choice of the agent that starts a task.

use crate::{ids::ProcessId, job::Step, size::Size};

/// Score bonus of an agent in the entry's own availability zone; the score starts from the free
/// share of the target's CPU. The bonus saves latency and the price of traffic between zones, and
/// is small enough not to outweigh an even spread.
const OWN_ZONE_BONUS: f64 = 0.05;
/// Score bonus of a target with the label that a step prefers; its tasks run longer elsewhere.
const PREFERRED_LABEL_BONUS: f64 = 1.0;
/// Weight of an agent's slowness against the free share of its target's CPU.
const SLOWNESS_SCORE_WEIGHT: f64 = 0.5;
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

    fn score(&self, step: &Step, random: f64) -> f64 {
        let total = self.total.cpu_millis.max(1) as f64;
        let mut score = self.free.cpu_millis as f64 / total;
        if self.is_in_own_zone {
            score += OWN_ZONE_BONUS;
        }
        let has_label = |label: &String| self.labels.contains(label);
        if step.preferred_label.as_ref().is_some_and(has_label) {
            score += PREFERRED_LABEL_BONUS;
        }
        score - SLOWNESS_SCORE_WEIGHT * (self.slowness - 1.0) + JITTER * random
    }
}

/// Returns the agent with the highest score among those with capacity for a task of `step`;
/// `random` returns values uniform in 0..1.
pub fn choose<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    step: &Step,
    mut random: impl FnMut() -> f64,
) -> Option<&'a ProcessId> {
    let fitting =
        candidates.filter(|candidate| candidate.allows(step) && step.size.fits(&candidate.free));
    let scored = fitting.map(|candidate| (candidate.score(step, random()), candidate.agent));
    let best = scored.max_by(|(left, _), (right, _)| left.total_cmp(right));
    best.map(|(_, agent)| agent)
}
