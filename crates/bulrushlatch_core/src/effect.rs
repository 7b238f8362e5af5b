//! Effects that the state machines request from the process that drives them.

use std::net::SocketAddr;

use bulrushlatch_log::platform_log::StreamName;
use bulrushlatch_protocol::{answer::Answer, ids::Incarnation};

use crate::message::{Message, StartTask, Ticket};

/// The receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Destination {
    /// Address of the process.
    pub address: SocketAddr,
    /// Intended incarnation; zero if it is not known.
    pub incarnation: Incarnation,
}

/// An action that the driving process performs without blocking the state machine.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: Destination,
        /// The message.
        message: Box<Message>,
    },
    /// Answer a waiting caller.
    Answer {
        /// The waiting caller.
        ticket: Ticket,
        /// The answer.
        answer: Box<Answer>,
    },
    /// Append a record to the log; it is applied when it is read back from the stream.
    Append {
        /// The stream.
        stream: StreamName,
        /// The record.
        body: String,
    },
    /// Start a task at the local target.
    Run(Box<StartTask>),
}

impl Effect {
    /// Returns the effect that sends `message` to `to`.
    pub fn send(to: Destination, message: Message) -> Self {
        Self::Send { to, message: Box::new(message) }
    }

    /// Returns the effect that answers the caller of `ticket`.
    pub fn answer(ticket: Ticket, answer: Answer) -> Self {
        Self::Answer { ticket, answer: Box::new(answer) }
    }
}
