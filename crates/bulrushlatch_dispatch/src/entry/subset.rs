//! Choice of the agents that an entry uses.
//!
//! With a full mesh of entries and agents, the number of messages would grow with the product of
//! both. So an entry places tasks at a bounded subset of agents, and exchanges only infrequent
//! heartbeats with the rest. The subset grows with the load that the entry receives: few callers may
//! make up most of the load, and the balancer does not spread them evenly.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::LinkId;

/// Number of agents that an entry with little load uses for one service: enough to find capacity
/// under uneven load, few enough for the CPU and link of the smallest entries.
const BASE_AGENTS: usize = 24;
/// Largest number of agents that an entry uses for one service.
const MAX_AGENTS: usize = 96;
/// Capacity of the agents in use, in multiples of the load that the entry receives: the other
/// entries may keep three quarters of it busy.
const CAPACITY_PER_LOAD: f64 = 4.0;
/// Largest number of these agents that are chosen first because they are in the entry's own
/// availability zone.
const MAX_OWN_ZONE_FIRST: usize = 12;

/// Returns the rank of an agent for the entry with the given seed. Each entry ranks agents by a hash
/// with its own seed (rendezvous hashing), so that entries spread evenly over the agents.
pub fn rank(seed: u64, agent_name: &str) -> u64 {
    xxh3_64_with_seed(agent_name.as_bytes(), seed)
}

/// An agent that may be used.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Link to the agent.
    pub link: LinkId,
    /// Rank of the agent for this entry, from [`rank`]; agents with low ranks are preferred.
    pub rank: u64,
    /// Service of its target.
    pub service: &'a str,
    /// Whether it is in the entry's own availability zone.
    pub is_in_own_zone: bool,
    /// CPU of its target, in thousandths of a core.
    pub cpu_millis: u64,
}

/// Returns the agents to use, chosen for each service. `load_cpu_millis` returns the CPU that the jobs
/// of a service keep busy, in thousandths of a core.
///
/// An agent that joins or leaves changes few choices.
pub fn choose<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    load_cpu_millis: impl Fn(&str) -> f64,
) -> Vec<LinkId> {
    let mut by_service: BTreeMap<&str, Vec<Candidate<'a>>> = BTreeMap::new();
    for candidate in candidates {
        by_service.entry(candidate.service).or_default().push(candidate);
    }
    let chosen = by_service
        .into_iter()
        .flat_map(|(service, candidates)| choose_for_service(candidates, load_cpu_millis(service)));
    chosen.collect()
}

fn choose_for_service(mut candidates: Vec<Candidate<'_>>, load_cpu_millis: f64) -> Vec<LinkId> {
    if candidates.len() > BASE_AGENTS {
        candidates.sort_unstable_by_key(|candidate| candidate.rank);
        candidates = own_zone_first(candidates);
        candidates.truncate(agents_needed(&candidates, load_cpu_millis));
    }
    candidates.into_iter().map(|candidate| candidate.link).collect()
}

/// Moves the first [`MAX_OWN_ZONE_FIRST`] candidates of the entry's own zone to the front.
fn own_zone_first(candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    let mut first = Vec::with_capacity(candidates.len());
    let mut others = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if candidate.is_in_own_zone && first.len() < MAX_OWN_ZONE_FIRST {
            first.push(candidate);
        } else {
            others.push(candidate);
        }
    }
    first.append(&mut others);
    first
}

/// Returns how many of the ranked candidates have the capacity that the load needs.
fn agents_needed(ranked: &[Candidate<'_>], load_cpu_millis: f64) -> usize {
    let wanted_cpu_millis = (load_cpu_millis * CAPACITY_PER_LOAD) as u64;
    let mut cpu_millis = 0;
    let needed = ranked.iter().take_while(|candidate| {
        let is_needed = cpu_millis < wanted_cpu_millis;
        cpu_millis += candidate.cpu_millis;
        is_needed
    });
    needed.count().clamp(BASE_AGENTS, MAX_AGENTS)
}
