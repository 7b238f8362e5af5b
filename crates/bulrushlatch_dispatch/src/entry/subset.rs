//! Choice of the agents that an entry uses.
//!
//! With a full mesh of entries and agents, the number of messages would grow with the product of
//! both. So an entry places tasks at a bounded subset of agents, and exchanges only infrequent
//! heartbeats with the rest.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::ProcessId;

/// Largest number of agents that an entry uses for one service: enough to find capacity under
/// uneven load, few enough for the CPU and link of the smallest entries.
const MAX_AGENTS: usize = 24;
/// Largest number of these agents that are chosen first because they are in the entry's own
/// availability zone.
const MAX_OWN_ZONE_FIRST: usize = 12;

/// An agent that may be used.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the agent.
    pub agent: &'a ProcessId,
    /// Service of its target.
    pub service: &'a str,
    /// Whether it is in the entry's own availability zone.
    pub is_in_own_zone: bool,
}

/// Returns the agents to use, chosen for each service.
///
/// Uses rendezvous hashing: each entry ranks agents by a hash with its own seed, so that entries
/// spread evenly over the agents, and an agent that joins or leaves changes few choices.
pub fn choose<'a>(
    seed: u64,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Vec<&'a ProcessId> {
    let mut by_service: BTreeMap<&str, Vec<Candidate<'a>>> = BTreeMap::new();
    for candidate in candidates {
        by_service.entry(candidate.service).or_default().push(candidate);
    }
    by_service.into_values().flat_map(|candidates| choose_for_service(seed, candidates)).collect()
}

fn choose_for_service(seed: u64, mut candidates: Vec<Candidate<'_>>) -> Vec<&ProcessId> {
    if candidates.len() > MAX_AGENTS {
        candidates
            .sort_by_key(|candidate| xxh3_64_with_seed(candidate.agent.name.as_bytes(), seed));
        let own_zone = candidates.iter().filter(|candidate| candidate.is_in_own_zone);
        let own_zone: Vec<Candidate<'_>> = own_zone.take(MAX_OWN_ZONE_FIRST).copied().collect();
        candidates.retain(|candidate| own_zone.iter().all(|first| first.agent != candidate.agent));
        candidates = own_zone.into_iter().chain(candidates).take(MAX_AGENTS).collect();
    }
    candidates.into_iter().map(|candidate| candidate.agent).collect()
}
