//! At which agent a task is started.

use crate::{ids::ProcessId, job::Step, size::Size};

/// Advantage of an agent in the entry's own availability zone, as a share of a free target: it
/// saves the time and the price of bytes between zones, and must not outweigh an even spread.
const OWN_ZONE_BONUS: f64 = 0.05;
/// Advantage of an agent with the label that a step prefers: elsewhere its tasks take longer.
const PREFERRED_LABEL_BONUS: f64 = 1.0;
/// Weight of an agent's slowness against its free share.
const SLOWNESS_WEIGHT: f64 = 0.5;
/// Range of a random part, so that entries with the same view do not choose alike.
const JITTER: f64 = 0.1;

/// An agent at which a task may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The agent.
    pub agent: &'a ProcessId,
    /// What is free there.
    pub free: Size,
    /// All there is.
    pub total: Size,
    /// Labels of the target.
    pub labels: &'a [String],
    /// Whether it is in the entry's own availability zone.
    pub is_near: bool,
    /// Run time against the average; 1 is average.
    pub slowness: f64,
    /// Tasks of the same step that are there.
    pub same_step: u32,
}

impl Candidate<'_> {
    /// Returns whether the step's tasks may run here at all, room aside.
    pub fn suits(&self, step: &Step) -> bool {
        step.accepts_labels(self.labels)
            && step.max_per_target.is_none_or(|most| self.same_step < most)
    }

    fn score(&self, step: &Step, draw: f64) -> f64 {
        let total = self.total.cpu_millis.max(1) as f64;
        let mut score = self.free.cpu_millis as f64 / total;
        if self.is_near {
            score += OWN_ZONE_BONUS;
        }
        let prefers = |label: &String| self.labels.contains(label);
        if step.preferred_label.as_ref().is_some_and(prefers) {
            score += PREFERRED_LABEL_BONUS;
        }
        score - SLOWNESS_WEIGHT * (self.slowness - 1.0) + JITTER * draw
    }
}

/// Returns the best agent with room for a task of `step`; `draw` returns random shares.
pub fn choose<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    step: &Step,
    mut draw: impl FnMut() -> f64,
) -> Option<&'a ProcessId> {
    let fitting = candidates.filter(|it| it.suits(step) && step.size.fits(&it.free));
    let scored = fitting.map(|it| (it.score(step, draw()), it.agent));
    let best = scored.max_by(|(one, _), (other, _)| one.total_cmp(other));
    best.map(|(_, agent)| agent)
}
