//! Requests of other entries, and the refusals that they were given.
//!
//! "Not run" must be true when a caller reads it, although messages are late and callers submit
//! an id again before they have the first answer. So a late copy of a refused request is not
//! taken for a new one, the receiver of a refusal discards it when it was on its way for longer
//! than [`MAX_REFUSAL_AGE`], and the owner starts nothing of the same id before that time is over.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::{Incarnation, SubmissionId};

use crate::{effect::Destination, message::Ticket};

/// Longest time on the way for which a refusal is believed.
pub const MAX_REFUSAL_AGE: Duration = Duration::from_secs(1);
/// Longest time for which a copy of a request may still be on its way.
const COPY_LIFETIME: Duration = Duration::from_secs(60);

/// Identifies a request of another entry.
type RequestKey = (Incarnation, Ticket);

/// What an owner remembers of the requests of other entries.
#[derive(Debug, Default)]
pub struct RemoteRequests {
    /// The latest copy of every request that has no answer yet.
    open: BTreeMap<RequestKey, RequestCopy>,
    refused: BTreeSet<RequestKey>,
    /// Refused requests, oldest first.
    refused_order: VecDeque<(Instant, RequestKey)>,
    /// When an id was last refused to another entry.
    refused_ids: BTreeMap<SubmissionId, Instant>,
    /// Refused ids, oldest first.
    refused_ids_order: VecDeque<(Instant, SubmissionId)>,
}

/// A copy of a request.
#[derive(Clone, Copy, Debug)]
struct RequestCopy {
    sent_ms: u64,
    arrived: Instant,
}

/// How long a request was where; both in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTiming {
    /// The sender's clock when it sent the latest copy.
    pub sent_ms: u64,
    /// Time from the arrival of that copy until now.
    pub held_ms: u64,
}

impl RemoteRequests {
    /// Notes a copy of a request; returns false if the request was refused before.
    pub fn note_arrival(
        &mut self,
        now: Instant,
        from: Destination,
        ticket: Ticket,
        sent_ms: u64,
    ) -> bool {
        let key = (from.incarnation, ticket);
        if self.refused.contains(&key) {
            return false;
        }
        let copy = self.open.entry(key).or_insert(RequestCopy { sent_ms, arrived: now });
        if sent_ms > copy.sent_ms {
            *copy = RequestCopy { sent_ms, arrived: now };
        }
        true
    }

    /// Notes that a request is answered, and returns how long it was where.
    pub fn answer(&mut self, now: Instant, to: Destination, ticket: Ticket) -> RequestTiming {
        let copy = self.open.remove(&(to.incarnation, ticket));
        copy.map_or_else(RequestTiming::default, |copy| {
            let held = now.saturating_duration_since(copy.arrived);
            RequestTiming { sent_ms: copy.sent_ms, held_ms: held.as_millis() as u64 }
        })
    }

    /// Notes that a request is answered by a refusal.
    pub fn refuse(
        &mut self,
        now: Instant,
        to: Destination,
        ticket: Ticket,
        submission_id: &SubmissionId,
    ) {
        let key = (to.incarnation, ticket);
        if self.refused.insert(key) {
            self.refused_order.push_back((now, key));
        }
        self.refused_ids.insert(submission_id.clone(), now);
        self.refused_ids_order.push_back((now, submission_id.clone()));
    }

    /// Returns until when nothing of an id may start, since a refusal is still on its way.
    pub fn hold_until(&self, submission_id: &str) -> Option<Instant> {
        self.refused_ids.get(submission_id).map(|at| *at + MAX_REFUSAL_AGE)
    }

    /// Forgets what can no longer be on its way.
    pub fn forget_old(&mut self, now: Instant) {
        while let Some(&(since, key)) = self.refused_order.front() {
            if now.saturating_duration_since(since) < COPY_LIFETIME {
                break;
            }
            self.refused_order.pop_front();
            self.refused.remove(&key);
        }
        while let Some((since, _)) = self.refused_ids_order.front() {
            if now.saturating_duration_since(*since) < MAX_REFUSAL_AGE {
                break;
            }
            let Some((since, submission_id)) = self.refused_ids_order.pop_front() else { break };
            if self.refused_ids.get(&submission_id) == Some(&since) {
                self.refused_ids.remove(&submission_id);
            }
        }
    }

    /// Forgets requests that were sent to another owner.
    pub fn forget_open(&mut self, to: Destination, ticket: Ticket) {
        self.open.remove(&(to.incarnation, ticket));
    }
}
