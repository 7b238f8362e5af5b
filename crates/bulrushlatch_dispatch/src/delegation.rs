//! Jobs that one entry has another one carry out.
//!
//! The entry that has the caller is the job's *origin*, the one that places its tasks its *delegate*.
//! A job is delegated once at most: a delegate carries it out itself or refuses it.

use std::{collections::BTreeSet, mem};

use serde::{Deserialize, Serialize};

use crate::{ids::ZoneName, outcome::Answer};

/// Largest number of jobs, of cancellations and of answers in a frame: what follows goes into a further
/// frame. Frames with more are invalid.
pub const MAX_FRAME_ITEMS: usize = 1_024;
/// Largest body of a delegated job: larger ones would hold up the frames behind them, by which both
/// entries know that the other is alive. Frames with larger ones are invalid.
pub const MAX_DELEGATED_BODY_BYTES: usize = 64 << 10;

/// Number of a delegated job, counted by its origin.
pub type DelegationNumber = u64;

/// Sent from an entry to another while one of them has a job of the other, or may delegate jobs.
///
/// Both entries can be origin and delegate at the same time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DelegationFrame {
    /// The sender's clock in ms when it sent the frame; the receiver echoes it.
    pub stamp_ms: u64,
    /// The newest `stamp_ms` received on this link; 0 before the first.
    pub stamp_echo_ms: u64,
    /// Whether the sender uses the receiver as a delegate and needs a frame in return, whose stamp it
    /// will echo.
    pub wants_reply: bool,
    /// Jobs per second that the sender takes from the receiver, those included that it takes at
    /// present; 0 if it takes none.
    pub max_jobs_per_s: u32,
    /// The sender's availability zone, sent every few hundred ms; otherwise empty.
    pub zone: ZoneName,
    /// Jobs that the receiver is to carry out.
    pub jobs: Vec<DelegatedJob>,
    /// Jobs whose callers the sender has lost; the receiver stops them.
    pub cancelled: Vec<DelegationNumber>,
    /// Answers to the receiver's jobs.
    pub answers: Vec<DelegatedAnswer>,
}

impl DelegationFrame {
    /// Returns whether the frame keeps the limits of its size, and numbers each job once.
    pub fn is_well_formed(&self) -> bool {
        let mut numbers = BTreeSet::new();
        self.jobs.len() <= MAX_FRAME_ITEMS
            && self.cancelled.len() <= MAX_FRAME_ITEMS
            && self.answers.len() <= MAX_FRAME_ITEMS
            && self
                .jobs
                .iter()
                .all(|job| job.body.len() <= MAX_DELEGATED_BODY_BYTES && numbers.insert(job.number))
    }
}

impl DelegationFrame {
    /// Returns the frame in parts that keep the limit of [`MAX_FRAME_ITEMS`].
    ///
    /// A part that does not have the last of the cancellations echoes no stamp: the stamp may be newer
    /// than the loss of the callers whose jobs are cancelled later.
    pub fn into_parts(mut self) -> Vec<Self> {
        let (stamp_ms, max_jobs_per_s) = (self.stamp_ms, self.max_jobs_per_s);
        let mut parts = Vec::new();
        while self.cancelled.len() > MAX_FRAME_ITEMS {
            let rest = split_rest(&mut self.cancelled);
            let cancelled = mem::replace(&mut self.cancelled, rest);
            parts.push(Self { stamp_ms, max_jobs_per_s, cancelled, ..Self::default() });
        }
        loop {
            let (jobs, answers) = (split_rest(&mut self.jobs), split_rest(&mut self.answers));
            let stamp_echo_ms = self.stamp_echo_ms;
            let is_last = jobs.is_empty() && answers.is_empty();
            parts.push(self);
            if is_last {
                return parts;
            }
            let rest = Self::default();
            self = Self { stamp_ms, stamp_echo_ms, max_jobs_per_s, jobs, answers, ..rest };
        }
    }
}

/// Removes and returns what a frame has no room for.
fn split_rest<T>(items: &mut Vec<T>) -> Vec<T> {
    items.split_off(items.len().min(MAX_FRAME_ITEMS))
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
    /// Body of the request.
    pub body: String,
}

/// The delegate's answer to a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedAnswer {
    /// Number of the job.
    pub number: DelegationNumber,
    /// How the job ended.
    pub outcome: DelegatedOutcome,
}

/// How a delegated job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DelegatedOutcome {
    /// The delegate did not take the job, which has not run and will not run there. The origin
    /// carries it out itself.
    NotTaken,
    /// The answer for the caller.
    Answered(Answer),
}
