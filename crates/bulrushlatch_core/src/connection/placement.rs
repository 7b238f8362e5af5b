//! Rules that choose among agents with free slots.

use bulrushlatch_protocol::ids::Incarnation;

/// An agent on which a task can be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The agent.
    pub agent: Incarnation,
    /// Slots that are free, as far as the entry knows; at least what the task needs.
    pub free_slots: u32,
    /// Slots of the target.
    pub slots: u32,
    /// Whether agent and entry are in the same availability zone.
    pub is_same_zone: bool,
}

/// A rule that chooses among candidates.
pub trait PlacementRule: Send + 'static {
    /// Returns the index of the chosen candidate; `candidates` is not empty.
    fn choose(&mut self, candidates: &[Candidate]) -> usize;
}

/// Chooses the agent with the most free slots; a tie goes to the own availability zone.
#[derive(Debug)]
pub struct MostFree {
    random: fastrand::Rng,
}

/// Chooses an agent at random.
#[derive(Debug)]
pub struct AnyFree {
    random: fastrand::Rng,
}

/// Picks two agents at random, and chooses the one with more free slots.
#[derive(Debug)]
pub struct PowerOfTwo {
    random: fastrand::Rng,
}

/// Prefers agents in the own availability zone, then those with the most free slots.
#[derive(Debug)]
pub struct ZoneFirst {
    random: fastrand::Rng,
}

impl MostFree {
    /// Returns the rule with its random choices fixed by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }
}

impl AnyFree {
    /// Returns the rule with its random choices fixed by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }
}

impl PowerOfTwo {
    /// Returns the rule with its random choices fixed by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }
}

impl ZoneFirst {
    /// Returns the rule with its random choices fixed by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }
}

impl PlacementRule for MostFree {
    fn choose(&mut self, candidates: &[Candidate]) -> usize {
        best_by(candidates, &mut self.random, |candidate| {
            (candidate.free_slots, candidate.is_same_zone)
        })
    }
}

impl PlacementRule for AnyFree {
    fn choose(&mut self, candidates: &[Candidate]) -> usize {
        self.random.usize(..candidates.len())
    }
}

impl PlacementRule for PowerOfTwo {
    fn choose(&mut self, candidates: &[Candidate]) -> usize {
        let first = self.random.usize(..candidates.len());
        let second = self.random.usize(..candidates.len());
        if candidates[first].free_slots >= candidates[second].free_slots { first } else { second }
    }
}

impl PlacementRule for ZoneFirst {
    fn choose(&mut self, candidates: &[Candidate]) -> usize {
        best_by(candidates, &mut self.random, |candidate| {
            (candidate.is_same_zone, candidate.free_slots)
        })
    }
}

/// Returns the index of a candidate with the highest rank; ties are broken at random.
fn best_by<K: Ord>(
    candidates: &[Candidate],
    random: &mut fastrand::Rng,
    rank: impl Fn(&Candidate) -> K,
) -> usize {
    let offset = random.usize(..candidates.len());
    let rotated = (0..candidates.len()).map(|step| (step + offset) % candidates.len());
    rotated.max_by_key(|&index| rank(&candidates[index])).unwrap_or(0)
}
