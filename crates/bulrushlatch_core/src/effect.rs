//! What the decisions ask their surroundings to do.

use std::net::SocketAddr;

use bulrushlatch_log::platform_log::StreamName;
use bulrushlatch_protocol::{answer::Answer, ids::Incarnation};

use crate::message::{Message, StartTask, Ticket};

/// A process that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Destination {
    /// Where it can be reached.
    pub address: SocketAddr,
    /// Incarnation that is meant; zero when it is not known.
    pub incarnation: Incarnation,
}

/// One thing to do. None of them may block the decisions.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: Destination,
        /// The message.
        message: Box<Message>,
    },
    /// Give a caller its answer.
    Answer {
        /// The waiting caller.
        ticket: Ticket,
        /// The answer.
        answer: Box<Answer>,
    },
    /// Append a record to the log; its effect shows when the stream is read.
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
    /// Returns the effect that sends `message`.
    pub fn send(to: Destination, message: Message) -> Self {
        Self::Send { to, message: Box::new(message) }
    }

    /// Returns the effect that answers a caller.
    pub fn answer(ticket: Ticket, answer: Answer) -> Self {
        Self::Answer { ticket, answer: Box::new(answer) }
    }
}
