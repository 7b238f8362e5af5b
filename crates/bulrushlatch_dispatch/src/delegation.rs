//! Jobs that one entry has another one carry out.
//!
//! The entry that has the caller is the job's *origin*, the one that places its tasks its *delegate*.
//! A job is delegated once at most: a delegate carries it out itself or refuses it.

use serde::{Deserialize, Serialize};

use crate::outcome::Answer;

/// Number of a delegated job, counted by its origin separately for each link.
pub type DelegationNumber = u64;

/// Sent from an entry to another while one of them has a job of the other, or may delegate jobs.
///
/// Both entries are origins and delegates at the same time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DelegationFrame {
    /// The sender's clock in ms when it sent the frame; the receiver echoes it.
    pub stamp_ms: u64,
    /// The newest `stamp_ms` received on this link; 0 before the first.
    pub stamp_echo_ms: u64,
    /// Jobs per second that the sender's spare processor time suffices for, 0 if it takes none.
    pub spare_jobs_per_s: u32,
    /// Jobs that the receiver is to carry out.
    pub jobs: Vec<DelegatedJob>,
    /// Jobs whose callers the sender has lost; the receiver stops them.
    pub cancelled: Vec<DelegationNumber>,
    /// Answers to the receiver's jobs.
    pub answers: Vec<DelegatedAnswer>,
}

/// A job as its origin received it. The body is passed on without being decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedJob {
    /// Number of the job.
    pub number: DelegationNumber,
    /// Version of the origin's configuration. A delegate with an older one refuses the job.
    pub version: u64,
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Time for which the caller waits from now on, in ms; `None` if it set no deadline.
    pub remaining_ms: Option<u64>,
    /// Time since the origin received the request, in ms.
    pub waited_ms: u64,
    /// Body of the request.
    pub body: String,
}

/// The delegate's answer to a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedAnswer {
    /// Number of the job.
    pub number: DelegationNumber,
    /// The answer for the caller.
    pub answer: Answer,
}
