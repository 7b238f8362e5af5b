//! Until when the origins of delegated jobs are known to have been alive.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::BootTime, ids::LinkId};

use super::super::agent_view::OrderedRun;

/// An origin, as its delegate distinguishes them: by the link on which the jobs arrived. A proof on a
/// later link says nothing of the callers that the origin lost with an earlier one.
pub type OriginId = LinkId;

#[derive(Clone, Copy, Debug)]
struct Proof {
    /// This entry's clock at its newest stamp that the origin has echoed.
    alive_at: BootTime,
    /// When the origin last asked for a stamp.
    asked_at: BootTime,
    /// Whether the link is open. The proof of a closed one no longer changes.
    is_open: bool,
}

/// Liveness proofs of the origins that use this entry.
#[derive(Debug, Default)]
pub struct LivenessProofs {
    proofs: BTreeMap<OriginId, Proof>,
}

impl LivenessProofs {
    /// Records that an origin has echoed the stamp that this entry sent at `alive_at`. `is_asking`
    /// tells whether it uses this entry as a delegate; the proofs of others are not kept.
    pub fn record(&mut self, now: BootTime, origin: OriginId, alive_at: BootTime, is_asking: bool) {
        if is_asking {
            let new = Proof { alive_at, asked_at: now, is_open: true };
            self.proofs.entry(origin).or_insert(new).asked_at = now;
        }
        if let Some(proof) = self.proofs.get_mut(&origin)
            && proof.is_open
        {
            proof.alive_at = proof.alive_at.max(alive_at);
        }
    }

    /// Records that the link to an origin has closed.
    pub fn close(&mut self, origin: OriginId) {
        if let Some(proof) = self.proofs.get_mut(&origin) {
            proof.is_open = false;
        }
    }

    /// Returns whether no origin uses this entry.
    pub fn is_empty(&self) -> bool {
        self.proofs.is_empty()
    }

    /// Returns this entry's clock at the time after which the origin was last alive for certain.
    pub fn alive_at(&self, origin: OriginId) -> BootTime {
        self.proofs.get(&origin).map_or(BootTime::ZERO, |proof| proof.alive_at)
    }

    /// Returns the number of origins that asked for a stamp within `limit`, other than `except`.
    pub fn count_active(&self, now: BootTime, limit: Duration, except: OriginId) -> usize {
        let others = self.proofs.iter().filter(|(origin, _)| **origin != except);
        others
            .filter(|(_, proof)| proof.is_open && now.saturating_sub(proof.asked_at) <= limit)
            .count()
    }

    /// Returns the time after which no stamp may have been received that is echoed to an agent at
    /// which `runs` are open.
    ///
    /// Origins whose proof is not older than `fresh_limit` bound the echoes to every agent, so that
    /// runs of theirs can start anywhere.
    pub fn bound<'a>(
        &self,
        now: BootTime,
        fresh_limit: Duration,
        runs: impl Iterator<Item = &'a OrderedRun>,
    ) -> Option<BootTime> {
        if self.proofs.is_empty() {
            return None;
        }
        let of_runs = runs.filter_map(|run| {
            run.origin.map(|origin| run.origin_alive_at.unwrap_or_else(|| self.alive_at(origin)))
        });
        let of_runs = of_runs.min();
        let fresh = self
            .proofs
            .values()
            .filter(|proof| proof.is_open && now.saturating_sub(proof.alive_at) <= fresh_limit);
        let of_fresh = fresh.map(|proof| proof.alive_at).min();
        of_runs.into_iter().chain(of_fresh).min()
    }

    /// Removes the origins that have not asked for a stamp within `limit`, unless `is_needed`.
    pub fn remove_unused(
        &mut self,
        now: BootTime,
        limit: Duration,
        is_needed: impl Fn(OriginId) -> bool,
    ) {
        self.proofs.retain(|&origin, proof| {
            now.saturating_sub(proof.asked_at) <= limit || is_needed(origin)
        });
    }
}
