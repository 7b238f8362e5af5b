//! Which agents an entry uses.
//!
//! If every entry told and asked every agent, the messages would grow with the product of both. So an
//! entry places tasks at a bounded number of agents, and only exchanges rare heartbeats with others.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::ProcessId;

/// Agents that an entry uses for one service: enough to find room under uneven load, few enough for
/// the smallest entries' processor and link.
const MOST_IN_USE: usize = 24;
/// Of these, agents in the entry's own availability zone, if there are so many.
const MOST_NEAR_FIRST: usize = 12;

/// An agent that could be used.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The agent.
    pub agent: &'a ProcessId,
    /// Service of its target.
    pub service: &'a str,
    /// Whether it is in the entry's own availability zone.
    pub is_near: bool,
}

/// Returns the agents to use.
///
/// Rendezvous hashing: each entry ranks agents by a hash with its own seed, so that entries spread
/// evenly and an agent that comes or goes changes little.
pub fn choose<'a>(seed: u64, members: impl Iterator<Item = Member<'a>>) -> Vec<&'a ProcessId> {
    let mut by_service: BTreeMap<&str, Vec<Member<'a>>> = BTreeMap::new();
    for member in members {
        by_service.entry(member.service).or_default().push(member);
    }
    by_service.into_values().flat_map(|members| choose_of_service(seed, members)).collect()
}

fn choose_of_service(seed: u64, mut members: Vec<Member<'_>>) -> Vec<&ProcessId> {
    if members.len() > MOST_IN_USE {
        members.sort_by_key(|member| xxh3_64_with_seed(member.agent.name.as_bytes(), seed));
        let near = members.iter().filter(|member| member.is_near).take(MOST_NEAR_FIRST);
        let near: Vec<Member<'_>> = near.copied().collect();
        members.retain(|member| near.iter().all(|first| first.agent != member.agent));
        members = near.into_iter().chain(members).take(MOST_IN_USE).collect();
    }
    members.into_iter().map(|member| member.agent).collect()
}
