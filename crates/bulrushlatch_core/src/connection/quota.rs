//! Slots that teams hold.

use std::collections::BTreeMap;

use bulrushlatch_protocol::ids::TeamId;

/// Slots that the tasks placed by one entry hold, by team.
#[derive(Debug, Default)]
pub struct QuotaTable {
    held_slots: BTreeMap<TeamId, u64>,
}

/// The part of a quota that one entry may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// Position of the entry among the members.
    pub rank: u64,
    /// Number of members.
    pub members: u64,
}

impl QuotaShare {
    /// Returns the share of `quota_slots`; the shares of all ranks add up to it exactly.
    pub fn slots_of(self, quota_slots: u64) -> u64 {
        if self.members == 0 {
            return 0;
        }
        let remainder = quota_slots % self.members;
        quota_slots / self.members + u64::from(self.rank < remainder)
    }
}

impl QuotaTable {
    /// Returns the slots that a team holds.
    pub fn held_slots(&self, team: &TeamId) -> u64 {
        self.held_slots.get(team).copied().unwrap_or(0)
    }

    /// Notes that a task of the team was placed.
    pub fn take(&mut self, team: &TeamId, slots: u32) {
        *self.held_slots.entry(team.clone()).or_default() += u64::from(slots);
    }

    /// Notes that a task of the team no longer holds its slots.
    pub fn release(&mut self, team: &TeamId, slots: u32) {
        let Some(held_slots) = self.held_slots.get_mut(team) else { return };
        *held_slots = held_slots.saturating_sub(u64::from(slots));
        if *held_slots == 0 {
            self.held_slots.remove(team);
        }
    }
}
