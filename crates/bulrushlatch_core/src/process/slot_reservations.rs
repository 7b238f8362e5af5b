//! Free slots that an agent keeps for entries that it had to refuse.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::Incarnation;

use crate::effect::Destination;

/// Time for which a freed slot is kept for an entry; a few round trips.
const GRANT_TIME: Duration = Duration::from_millis(15);
/// Most entries that wait for a slot.
const MAX_WAITING_ENTRIES: usize = 256;

/// Entries that were refused for want of slots, and what is kept for them.
///
/// Without it an entry learns of a free slot only from its own tasks or the next heartbeat.
#[derive(Debug, Default)]
pub struct SlotGrants {
    /// Refused entries in the order of their refusal, each at most once.
    waiting: VecDeque<Destination>,
    granted: Vec<Grant>,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    entry: Incarnation,
    until: Instant,
}

impl SlotGrants {
    /// Notes that an entry was refused for want of slots.
    pub fn note_refused(&mut self, entry: Destination) {
        let is_waiting =
            self.waiting.iter().any(|waiting| waiting.incarnation == entry.incarnation);
        if !is_waiting && self.waiting.len() < MAX_WAITING_ENTRIES {
            self.waiting.push_back(entry);
        }
    }

    /// Returns the slots that are kept for entries other than `entry`.
    pub fn kept_from(&self, now: Instant, entry: Incarnation) -> u32 {
        let kept = self.granted.iter().filter(|grant| grant.until > now && grant.entry != entry);
        kept.count() as u32
    }

    /// Uses up a slot that is kept for an entry, if there is one.
    pub fn use_grant(&mut self, entry: Incarnation) {
        if let Some(position) = self.granted.iter().position(|grant| grant.entry == entry) {
            self.granted.swap_remove(position);
        }
    }

    /// Keeps one of `free_slots` for the entry that has waited longest, and returns that entry.
    pub fn grant_next(&mut self, now: Instant, free_slots: u32) -> Option<Destination> {
        self.granted.retain(|grant| grant.until > now);
        if self.granted.len() as u32 >= free_slots {
            return None;
        }
        let entry = self.waiting.pop_front()?;
        self.granted.push(Grant { entry: entry.incarnation, until: now + GRANT_TIME });
        Some(entry)
    }
}
