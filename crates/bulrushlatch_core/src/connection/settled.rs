//! Forwarded requests that were refused.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::Incarnation;

use crate::{effect::Destination, message::Ticket};

/// Longest time for which a copy of a request may still be on its way.
const COPY_LIFETIME: Duration = Duration::from_secs(60);

/// Forwarded requests whose sender was told that nothing was run.
///
/// A late copy of such a request must not be taken for a new one, or "not run" becomes untrue.
#[derive(Debug, Default)]
pub struct SettledForwards {
    keys: BTreeSet<(Incarnation, Ticket)>,
    /// The same keys, oldest first.
    order: VecDeque<(Instant, Incarnation, Ticket)>,
}

impl SettledForwards {
    /// Notes that a request was refused.
    pub fn insert(&mut self, now: Instant, from: Destination, ticket: Ticket) {
        if self.keys.insert((from.incarnation, ticket)) {
            self.order.push_back((now, from.incarnation, ticket));
        }
    }

    /// Returns whether a request was refused.
    pub fn contains(&self, from: Destination, ticket: Ticket) -> bool {
        self.keys.contains(&(from.incarnation, ticket))
    }

    /// Forgets requests of which no copy can still arrive.
    pub fn forget_old(&mut self, now: Instant) {
        while let Some(&(since, incarnation, ticket)) = self.order.front() {
            if now.saturating_duration_since(since) < COPY_LIFETIME {
                return;
            }
            self.order.pop_front();
            self.keys.remove(&(incarnation, ticket));
        }
    }
}
