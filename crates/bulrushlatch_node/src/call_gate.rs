//! Limits the calls to a server that leaves calls unanswered.
//!
//! The connection of an unanswered call cannot be used again, so each such call costs a new one.
//! After it, one call at a time is sent until one is answered, with pauses that grow; the others
//! wait for its result.

use std::{cell::Cell, time::Duration};

use tokio::{
    sync::{Mutex, MutexGuard},
    time::{self, Instant},
};

/// Pause after the second unanswered call in a row; doubles with each further one. There is none
/// after the first, since single answers get lost.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause, so that a server that answers again is soon used.
const MAX_PAUSE: Duration = Duration::from_millis(80);
/// Largest number of doublings that is computed; [`MAX_PAUSE`] is reached with fewer.
const MAX_DOUBLINGS: u32 = 8;

/// Permission to send a call. The next call is let through once it is dropped.
#[derive(Debug)]
pub struct CallPermit<'a> {
    _turn: Option<MutexGuard<'a, ()>>,
}

/// State of the calls to one server.
#[derive(Debug)]
pub struct CallGate {
    /// Calls in a row that went unanswered.
    unanswered: Cell<u32>,
    /// Time of the next call while `unanswered` is not zero.
    next_at: Cell<Instant>,
    /// Held by the only call that is sent while `unanswered` is not zero.
    turn: Mutex<()>,
}

impl Default for CallGate {
    fn default() -> Self {
        Self { unanswered: Cell::new(0), next_at: Cell::new(Instant::now()), turn: Mutex::new(()) }
    }
}

impl CallGate {
    /// Waits until a call may be sent.
    pub async fn wait(&self) -> CallPermit<'_> {
        if self.unanswered.get() == 0 {
            return CallPermit { _turn: None };
        }
        let turn = self.turn.lock().await;
        // The call that had its turn before may have been answered.
        if self.unanswered.get() == 0 {
            return CallPermit { _turn: None };
        }
        time::sleep_until(self.next_at.get()).await;
        CallPermit { _turn: Some(turn) }
    }

    /// Records that a call was answered.
    pub fn record_answer(&self) {
        self.unanswered.set(0);
    }

    /// Records that a call went unanswered.
    pub fn record_no_answer(&self) {
        let unanswered = self.unanswered.get().saturating_add(1);
        self.unanswered.set(unanswered);
        let pause = match unanswered {
            1 => Duration::ZERO,
            _ => FIRST_PAUSE * 2_u32.pow((unanswered - 2).min(MAX_DOUBLINGS)),
        };
        self.next_at.set(Instant::now() + pause.min(MAX_PAUSE));
    }
}
