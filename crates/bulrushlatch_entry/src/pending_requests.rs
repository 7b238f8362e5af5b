//! HTTP requests of callers that wait for their answers.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use bulrushlatch_core::message::Ticket;
use bulrushlatch_protocol::answer::{Answer, AnswerState, Reason};
use bulrushlatch_runtime::web::{BodyResponse, Responder, json_response, with_header};

/// Number of lock shards; requests are spread over them by ticket to reduce lock contention.
const LOCK_SHARDS: usize = 16;

/// Open requests by ticket; a waiting request occupies no thread.
#[derive(Debug)]
pub struct PendingRequests {
    next_ticket: AtomicU64,
    shards: Vec<Mutex<BTreeMap<Ticket, Responder>>>,
}

impl Default for PendingRequests {
    fn default() -> Self {
        let shards = (0..LOCK_SHARDS).map(|_| Mutex::default()).collect();
        Self { next_ticket: AtomicU64::new(1), shards }
    }
}

impl PendingRequests {
    /// Stores a request and returns the ticket under which it is answered.
    pub fn add(&self, responder: Responder) -> Ticket {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        self.shard(ticket).insert(ticket, responder);
        ticket
    }

    /// Responds to the request of a ticket; does nothing if it has been answered already.
    pub fn answer(&self, ticket: Ticket, answer: &Answer) {
        let responder = self.shard(ticket).remove(&ticket);
        if let Some(responder) = responder {
            responder.respond(answer_response(answer));
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let shards = self.shards.iter();
        shards.map(|shard| shard.lock().unwrap_or_else(PoisonError::into_inner).len()).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, ticket: Ticket) -> MutexGuard<'_, BTreeMap<Ticket, Responder>> {
        let shard = &self.shards[ticket as usize % LOCK_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the HTTP response that carries an answer.
pub fn answer_response(answer: &Answer) -> BodyResponse {
    let response = json_response(http_status(answer), answer);
    match answer.retry_after_ms {
        Some(retry_after_ms) => {
            let seconds = retry_after_ms.div_ceil(1000).to_string();
            with_header(response, "retry-after", &seconds)
        }
        None => response,
    }
}

fn http_status(answer: &Answer) -> u16 {
    match answer.state {
        AnswerState::Complete | AnswerState::Failed => 200,
        AnswerState::Running => 202,
        AnswerState::Refused => refusal_status(answer.reason),
        AnswerState::Unknown => unknown_status(answer.reason),
    }
}

fn refusal_status(reason: Option<Reason>) -> u16 {
    match reason {
        Some(Reason::BadRequest | Reason::NeverFits) => 400,
        Some(Reason::UnknownTeam | Reason::UnknownService | Reason::NotFound) => 404,
        Some(Reason::Conflict | Reason::Cancelled) => 409,
        Some(Reason::TooLarge) => 413,
        Some(Reason::QueueFull | Reason::DeadlineUnreachable) => 429,
        _ => 503,
    }
}

fn unknown_status(reason: Option<Reason>) -> u16 {
    match reason {
        Some(Reason::ResultsDropped | Reason::TooOld) => 410,
        Some(Reason::OwnerUnreachable | Reason::TimedOut) => 504,
        _ => 503,
    }
}
