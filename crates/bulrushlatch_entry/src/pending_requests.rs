//! Requests that wait for their answers.

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

/// Groups of waiting requests, each under its own lock.
const GROUPS: usize = 16;

/// Requests that wait; a waiting request costs no thread.
#[derive(Debug)]
pub struct PendingRequests {
    next_ticket: AtomicU64,
    waiting: Vec<Mutex<BTreeMap<Ticket, Responder>>>,
}

impl Default for PendingRequests {
    fn default() -> Self {
        let waiting = (0..GROUPS).map(|_| Mutex::default()).collect();
        Self { next_ticket: AtomicU64::new(1), waiting }
    }
}

impl PendingRequests {
    /// Keeps a request until its answer is there.
    pub fn wait(&self, responder: Responder) -> Ticket {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        self.group(ticket).insert(ticket, responder);
        ticket
    }

    /// Answers a waiting request.
    pub fn answer(&self, ticket: Ticket, answer: &Answer) {
        let responder = self.group(ticket).remove(&ticket);
        if let Some(responder) = responder {
            responder.respond(answer_response(answer));
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let groups = self.waiting.iter();
        groups.map(|group| group.lock().unwrap_or_else(PoisonError::into_inner).len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn group(&self, ticket: Ticket) -> MutexGuard<'_, BTreeMap<Ticket, Responder>> {
        let group = &self.waiting[ticket as usize % GROUPS];
        group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the HTTP form of an answer.
pub fn answer_response(answer: &Answer) -> BodyResponse {
    let response = json_response(status_of(answer), answer);
    match answer.retry_after_ms {
        Some(retry_after_ms) => {
            let seconds = retry_after_ms.div_ceil(1000).to_string();
            with_header(response, "retry-after", &seconds)
        }
        None => response,
    }
}

fn status_of(answer: &Answer) -> u16 {
    match answer.state {
        AnswerState::Complete | AnswerState::Failed => 200,
        AnswerState::Running => 202,
        AnswerState::Refused => refused_status(answer.reason),
        AnswerState::Unknown => unknown_status(answer.reason),
    }
}

fn refused_status(reason: Option<Reason>) -> u16 {
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
