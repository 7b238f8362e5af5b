//! Requests forwarded by other entries, and the refusals sent to them.
//!
//! A "not run" answer must still be true when a caller reads it, although messages may be late and
//! callers may submit an id again before the first answer arrives. So a late copy of a refused
//! request is not treated as a new request, the receiver of a refusal that was in transit for
//! [`MAX_REFUSAL_AGE`] or longer answers "unknown" instead, and the owner starts no task of the
//! same id before that time is over.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::{Incarnation, SubmissionId};

use crate::{effect::Destination, message::Ticket};

/// Time in transit from which the receiver of a refusal answers "unknown" instead.
pub const MAX_REFUSAL_AGE: Duration = Duration::from_secs(1);
/// Longest time for which a copy of a request may be in transit.
const COPY_LIFETIME: Duration = Duration::from_secs(60);

/// Identifies a request of another entry.
type RequestKey = (Incarnation, Ticket);

/// The open and the recently refused requests that an owner received from other entries.
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

/// One received copy of a request.
#[derive(Clone, Copy, Debug)]
struct RequestCopy {
    sent_ms: u64,
    arrived: Instant,
}

/// Times of a request that its sender needs to compute the time in transit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTiming {
    /// The sender's clock when it sent the latest copy.
    pub sent_ms: u64,
    /// Time from the arrival of that copy until now.
    pub held_ms: u64,
}

impl RemoteRequests {
    /// Records a copy of a request; returns false if the request was refused before.
    pub fn record_arrival(
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

    /// Records that a request is answered, and returns its timing for the answer.
    pub fn record_answer(
        &mut self,
        now: Instant,
        to: Destination,
        ticket: Ticket,
    ) -> RequestTiming {
        let copy = self.open.remove(&(to.incarnation, ticket));
        copy.map_or_else(RequestTiming::default, |copy| {
            let held = now.saturating_duration_since(copy.arrived);
            RequestTiming { sent_ms: copy.sent_ms, held_ms: held.as_millis() as u64 }
        })
    }

    /// Records that a request was answered with a refusal.
    pub fn record_refusal(
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

    /// Returns the time before which no task of an id may start, since a refusal may be in transit.
    pub fn hold_until(&self, submission_id: &str) -> Option<Instant> {
        self.refused_ids.get(submission_id).map(|at| *at + MAX_REFUSAL_AGE)
    }

    /// Forgets refusals that are too old to concern any message in transit.
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

    /// Records that a request is sent back to its entry, since another owner is to answer it.
    pub fn record_redirect(&mut self, to: Destination, ticket: Ticket) {
        self.open.remove(&(to.incarnation, ticket));
    }
}
