//! The record of each submission id that an entry keeps, as owner or as witness.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::Answer,
    ids::{Epoch, Incarnation, Offset, SliceId, SubmissionId, slice_of},
};
use serde::{Deserialize, Serialize};

/// The record of one submission id, kept by the owner and at least one witness.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownId {
    /// Id of the submission.
    pub submission_id: SubmissionId,
    /// Digest of the submission's body.
    pub digest: u64,
    /// Ownership offset at admission; agents lost before this offset cannot have run its tasks.
    pub admitted_offset: Offset,
    /// Age of the id at the sender, in milliseconds.
    pub age_ms: u64,
    /// The final answer, unless the submission completed or is still open.
    #[serde(rename = "closing")]
    pub final_answer: Option<Box<Answer>>,
    /// Where each task is; sent only by the owner that handed the submission over to the receiver.
    #[serde(rename = "whereabouts")]
    pub task_locations: Option<Vec<TaskLocation>>,
}

impl KnownId {
    /// Returns the record of a submission that is being admitted.
    pub fn new(submission_id: SubmissionId, digest: u64, admitted_offset: Offset) -> Self {
        let (final_answer, task_locations) = (None, None);
        Self { submission_id, digest, admitted_offset, age_ms: 0, final_answer, task_locations }
    }
}

/// Location of one task when its submission changed owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskLocation {
    /// No agent has the task, and the previous owner will not place it any more.
    Nowhere,
    /// This agent may have the task.
    At(Incarnation),
}

/// A remembered id and its local state.
#[derive(Clone, Debug)]
pub struct KnownIdState {
    /// The part that is sent to other entries.
    pub id: KnownId,
    /// When the id was first recorded, here or at the entry that sent it.
    pub since: Instant,
    /// Other entries that are known to remember the id.
    pub holders: BTreeSet<Incarnation>,
    /// Whether the id must be kept even if a request for it is refused.
    pub must_retain: bool,
    /// Task locations for the next owner, if this entry handed the submission over.
    pub handover: Option<Handover>,
}

/// Where the tasks of a submission were when its owner handed it over.
#[derive(Clone, Debug)]
pub struct Handover {
    /// Epoch of the new owner; in any later epoch the locations may be out of date.
    pub epoch: Epoch,
    /// One location for each task.
    pub task_locations: Vec<TaskLocation>,
}

/// All ids that a shard remembers, as owner or as witness.
#[derive(Debug, Default)]
pub struct KnownIds {
    ids: BTreeMap<SubmissionId, KnownIdState>,
    /// Ids in order of expiry, each with the time from which its lifetime counts.
    expiry_order: VecDeque<(Instant, SubmissionId)>,
}

impl KnownIds {
    /// Returns the number of remembered ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the state of an id, if it is remembered.
    pub fn get(&self, submission_id: &str) -> Option<&KnownIdState> {
        self.ids.get(submission_id)
    }

    /// Returns the state of an id for modification, if it is remembered.
    pub fn get_mut(&mut self, submission_id: &str) -> Option<&mut KnownIdState> {
        self.ids.get_mut(submission_id)
    }

    /// Adds an id, or merges it into what is already known about the same id.
    pub fn remember(&mut self, now: Instant, id: KnownId) -> &mut KnownIdState {
        let submission_id = id.submission_id.clone();
        let expiry_order = &mut self.expiry_order;
        let known = self.ids.entry(submission_id).or_insert_with(|| {
            let since = now.checked_sub(Duration::from_millis(id.age_ms)).unwrap_or(now);
            expiry_order.push_back((now, id.submission_id.clone()));
            let id = KnownId { task_locations: None, ..id.clone() };
            KnownIdState { id, since, holders: BTreeSet::new(), must_retain: true, handover: None }
        });
        known.id.admitted_offset = known.id.admitted_offset.min(id.admitted_offset);
        if known.id.final_answer.is_none() {
            known.id.final_answer = id.final_answer;
        }
        known
    }

    /// Removes an id.
    pub fn forget(&mut self, submission_id: &str) {
        self.ids.remove(submission_id);
    }

    /// Returns the ids of `slices` in the form in which they are sent in `epoch`.
    pub fn slices_to_wire(
        &self,
        now: Instant,
        slices: &BTreeSet<SliceId>,
        epoch: Epoch,
    ) -> Vec<KnownId> {
        let known = self.ids.values();
        let known = known.filter(|known| slices.contains(&slice_of(&known.id.submission_id)));
        known.map(|known| known.to_wire(now, epoch)).collect()
    }

    /// Returns all remembered ids.
    pub fn iter(&self) -> impl Iterator<Item = &KnownIdState> {
        self.ids.values()
    }

    /// Removes and returns the next id in expiry order, if its lifetime began before `oldest`.
    pub fn pop_expired(&mut self, oldest: Instant) -> Option<SubmissionId> {
        let (since, _) = self.expiry_order.front()?;
        if *since >= oldest {
            return None;
        }
        self.expiry_order.pop_front().map(|(_, submission_id)| submission_id)
    }

    /// Restarts the lifetime of an id that is still in use.
    pub fn defer_expiry(&mut self, now: Instant, submission_id: SubmissionId) {
        self.expiry_order.push_back((now, submission_id));
    }
}

impl KnownIdState {
    /// Returns the id in the form in which it is sent in `epoch`.
    pub fn to_wire(&self, now: Instant, epoch: Epoch) -> KnownId {
        let age = now.saturating_duration_since(self.since);
        let handover = self.handover.as_ref().filter(|handover| handover.epoch == epoch);
        let task_locations = handover.map(|handover| handover.task_locations.clone());
        KnownId { age_ms: age.as_millis() as u64, task_locations, ..self.id.clone() }
    }
}
