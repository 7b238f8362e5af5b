//! State of a slice that an entry owns.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use bulrushlatch_protocol::{
    ids::{Epoch, Incarnation, SubmissionId},
    submission::Submission,
};

use super::Moment;
use crate::{effect::Destination, request::job::Waiter};

/// A slice that this entry owns, and its progress towards knowing all ids.
#[derive(Debug)]
pub struct OwnedSlice {
    /// First epoch of the current, uninterrupted ownership.
    pub first_epoch: Epoch,
    /// When this entry acquired the slice.
    pub since: Instant,
    /// Wall time at which this entry acquired the slice, in milliseconds since the Unix epoch.
    pub since_wall_ms: u64,
    /// Incarnations of other entries that have sent their ids of the slice.
    pub replied_entries: BTreeSet<Incarnation>,
    /// Other entries that are asked for their ids of the slice.
    pub collect_from: Vec<Destination>,
    /// Whether every id of the slice is known; never reset once it is set.
    pub knows_all_ids: bool,
    /// Whether the longest wait for other entries is over.
    pub is_wait_over: bool,
    /// When the other entries were last asked for their ids.
    pub last_sent: Instant,
    /// Submissions that arrived before the slice was ready.
    pub parked: Vec<Arrival>,
    /// Ids that no other current member is known to hold.
    pub unreplicated: BTreeSet<SubmissionId>,
    /// When unreplicated ids were last sent to a witness.
    pub last_note_sent: Option<Instant>,
    /// Number of times that unreplicated ids were sent; each time goes to the next witness.
    pub note_rounds: usize,
    /// Latest epoch in which the slice was advertised as sealed.
    pub advertised_epoch: Epoch,
}

/// A submission that arrived at its owner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Caller to answer.
    pub waiter: Waiter,
    /// The submission as it was received.
    pub submission: Arc<Submission>,
    /// When the caller is answered even if the submission has not completed.
    pub deadline: Instant,
    /// Entry that forwarded the submission, if it remembers the id as a witness.
    pub witness: Option<Incarnation>,
}

impl OwnedSlice {
    pub(super) fn new(moment: Moment, epoch: Epoch, collect_from: Vec<Destination>) -> Self {
        Self {
            first_epoch: epoch,
            since: moment.now,
            since_wall_ms: moment.wall_ms,
            replied_entries: BTreeSet::new(),
            collect_from,
            knows_all_ids: false,
            is_wait_over: false,
            last_sent: moment.now,
            parked: Vec::new(),
            unreplicated: BTreeSet::new(),
            last_note_sent: None,
            note_rounds: 0,
            advertised_epoch: 0,
        }
    }

    /// Returns whether submissions are handled at once instead of being parked.
    pub fn is_ready(&self) -> bool {
        self.knows_all_ids || self.is_wait_over
    }
}
