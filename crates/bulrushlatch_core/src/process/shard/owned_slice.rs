//! A slice that an entry owns, and what waits for it.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use bulrushlatch_protocol::{
    ids::{Epoch, Incarnation, SubmissionId},
    submission::Submission,
};

use super::Moment;
use crate::{effect::Destination, request::job::Waiter};

/// A slice that this entry owns.
#[derive(Debug)]
pub struct OwnedSlice {
    /// First epoch of the unbroken time of ownership.
    pub since_epoch: Epoch,
    /// When this entry came to own the slice.
    pub since: Instant,
    /// Wall time when this entry came to own the slice.
    pub since_wall_ms: u64,
    /// Other entries that have told their ids.
    pub repliers: BTreeSet<Incarnation>,
    /// Other entries that are asked for their ids.
    pub asked: Vec<Destination>,
    /// Whether every id of the slice is known; set once and then kept.
    pub knows_all_ids: bool,
    /// Whether the wait for other entries is over.
    pub stopped_waiting: bool,
    /// When the others were last asked.
    pub last_sent: Instant,
    /// Submissions that arrived before the slice was ready.
    pub parked: Vec<Arrival>,
    /// Ids that have no holder but this entry among the members.
    pub unpaired: BTreeSet<SubmissionId>,
    /// When unpaired ids were last sent, and how often.
    pub last_noted: Option<Instant>,
    /// Rounds of notes for unpaired ids, to change witnesses.
    pub note_rounds: usize,
    /// Latest epoch that the others were told is sealed.
    pub told_sealed: Epoch,
}

/// A submission that arrived at its owner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The waiting caller.
    pub waiter: Waiter,
    /// The submission.
    pub submission: Arc<Submission>,
    /// When it is given up.
    pub deadline: Instant,
    /// Entry that remembers the id.
    pub witness: Option<Incarnation>,
}

impl OwnedSlice {
    pub(super) fn new(moment: Moment, epoch: Epoch, asked: Vec<Destination>) -> Self {
        Self {
            since_epoch: epoch,
            since: moment.now,
            since_wall_ms: moment.wall_ms,
            repliers: BTreeSet::new(),
            asked,
            knows_all_ids: false,
            stopped_waiting: false,
            last_sent: moment.now,
            parked: Vec::new(),
            unpaired: BTreeSet::new(),
            last_noted: None,
            note_rounds: 0,
            told_sealed: 0,
        }
    }

    /// Returns whether submissions are judged now, and not parked.
    pub fn is_ready(&self) -> bool {
        self.knows_all_ids || self.stopped_waiting
    }
}
