//! Reservations of free slots for entries that an agent had to refuse.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::Incarnation;

use crate::effect::Destination;

/// Time for which a freed slot is reserved for an entry; a few round trips.
const RESERVATION_TIME: Duration = Duration::from_millis(15);
/// Maximum number of entries that wait for a slot.
const MAX_WAITING_ENTRIES: usize = 256;

/// Entries that were refused because all slots were busy, and the slots reserved for them.
///
/// Without these reservations, an entry would learn of a free slot only from the end of its own
/// tasks or from the next heartbeat.
#[derive(Debug, Default)]
pub struct SlotReservations {
    /// Refused entries in the order of their refusal, each at most once.
    waiting: VecDeque<Destination>,
    reservations: Vec<Reservation>,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    entry: Incarnation,
    until: Instant,
}

impl SlotReservations {
    /// Records that an entry was refused because all slots were busy.
    pub fn record_refusal(&mut self, entry: Destination) {
        let is_waiting =
            self.waiting.iter().any(|waiting| waiting.incarnation == entry.incarnation);
        if !is_waiting && self.waiting.len() < MAX_WAITING_ENTRIES {
            self.waiting.push_back(entry);
        }
    }

    /// Returns the number of slots that are reserved for entries other than `entry`.
    pub fn reserved_for_others(&self, now: Instant, entry: Incarnation) -> u32 {
        let others = self
            .reservations
            .iter()
            .filter(|reservation| reservation.until > now && reservation.entry != entry);
        others.count() as u32
    }

    /// Ends one reservation of an entry, if it has any.
    pub fn use_reservation(&mut self, entry: Incarnation) {
        if let Some(position) =
            self.reservations.iter().position(|reservation| reservation.entry == entry)
        {
            self.reservations.swap_remove(position);
        }
    }

    /// Reserves one of `free_slots` for the entry that has waited longest, and returns that entry.
    ///
    /// Returns `None` if no entry waits or all free slots are reserved.
    pub fn reserve_next(&mut self, now: Instant, free_slots: u32) -> Option<Destination> {
        self.reservations.retain(|reservation| reservation.until > now);
        if self.reservations.len() as u32 >= free_slots {
            return None;
        }
        let entry = self.waiting.pop_front()?;
        self.reservations
            .push(Reservation { entry: entry.incarnation, until: now + RESERVATION_TIME });
        Some(entry)
    }
}
