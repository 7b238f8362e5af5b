//! What is remembered of every id.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::Answer,
    ids::{Epoch, Incarnation, Offset, SliceId, SubmissionId, slice_of},
};
use serde::{Deserialize, Serialize};

/// The trace of a submission that is kept by its owner and at least one witness.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownId {
    /// The submission.
    pub submission_id: SubmissionId,
    /// Digest of its body.
    pub digest: u64,
    /// Ownership offset when it was admitted; agents lost before it had no part in it.
    pub admitted_offset: Offset,
    /// Age at the sender in milliseconds.
    pub age_ms: u64,
    /// The final answer, if it is not a complete one.
    pub closing: Option<Box<Answer>>,
    /// Where its tasks are, from an owner that gave the submission up to the receiver.
    pub whereabouts: Option<Vec<TaskWhereabouts>>,
}

impl KnownId {
    /// Returns the trace of a submission that is being admitted.
    pub fn new(submission_id: SubmissionId, digest: u64, admitted_offset: Offset) -> Self {
        let (closing, whereabouts) = (None, None);
        Self { submission_id, digest, admitted_offset, age_ms: 0, closing, whereabouts }
    }
}

/// Where one task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskWhereabouts {
    /// No agent has it, and none will take it from the former owner.
    Nowhere,
    /// It may be at this agent.
    At(Incarnation),
}

/// One remembered id.
#[derive(Clone, Debug)]
pub struct KnownEntry {
    /// What is told to others.
    pub id: KnownId,
    /// When it was first heard of.
    pub since: Instant,
    /// Other entries that remember it.
    pub holders: BTreeSet<Incarnation>,
    /// Whether the id must be kept although a request for it was refused.
    pub is_binding: bool,
    /// What this entry tells the one that took the submission over from it.
    pub released: Option<Released>,
}

/// Where the tasks of a submission were when its owner gave it up.
#[derive(Clone, Debug)]
pub struct Released {
    /// Epoch of the new owner. In any later epoch the whereabouts may be out of date.
    pub epoch: Epoch,
    /// One entry for each task.
    pub whereabouts: Vec<TaskWhereabouts>,
}

/// All ids that a shard remembers, as owner or as witness.
#[derive(Debug, Default)]
pub struct KnownIds {
    entries: BTreeMap<SubmissionId, KnownEntry>,
    /// Ids in the order in which they came to be known.
    order: VecDeque<(Instant, SubmissionId)>,
}

impl KnownIds {
    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns one id.
    pub fn get(&self, submission_id: &str) -> Option<&KnownEntry> {
        self.entries.get(submission_id)
    }

    /// Returns one id to change.
    pub fn get_mut(&mut self, submission_id: &str) -> Option<&mut KnownEntry> {
        self.entries.get_mut(submission_id)
    }

    /// Remembers an id; what is known already is kept and completed.
    pub fn remember(&mut self, now: Instant, id: KnownId) -> &mut KnownEntry {
        let submission_id = id.submission_id.clone();
        let order = &mut self.order;
        let entry = self.entries.entry(submission_id).or_insert_with(|| {
            let since = now.checked_sub(Duration::from_millis(id.age_ms)).unwrap_or(now);
            order.push_back((now, id.submission_id.clone()));
            let id = KnownId { whereabouts: None, ..id.clone() };
            KnownEntry { id, since, holders: BTreeSet::new(), is_binding: true, released: None }
        });
        entry.id.admitted_offset = entry.id.admitted_offset.min(id.admitted_offset);
        if entry.id.closing.is_none() {
            entry.id.closing = id.closing;
        }
        entry
    }

    /// Forgets one id.
    pub fn forget(&mut self, submission_id: &str) {
        self.entries.remove(submission_id);
    }

    /// Returns the ids of some slices as they are told to their owner in `epoch`.
    pub fn tell(&self, now: Instant, slices: &BTreeSet<SliceId>, epoch: Epoch) -> Vec<KnownId> {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| slices.contains(&slice_of(&entry.id.submission_id)));
        entries.map(|entry| entry.tell(now, epoch)).collect()
    }

    /// Returns all ids.
    pub fn iter(&self) -> impl Iterator<Item = &KnownEntry> {
        self.entries.values()
    }

    /// Returns the next id that became known before `oldest`, and takes it off the order.
    pub fn next_expired(&mut self, oldest: Instant) -> Option<SubmissionId> {
        let (since, _) = self.order.front()?;
        if *since >= oldest {
            return None;
        }
        self.order.pop_front().map(|(_, submission_id)| submission_id)
    }

    /// Puts an id that must outlive its time at the end of the order.
    pub fn defer_expiry(&mut self, now: Instant, submission_id: SubmissionId) {
        self.order.push_back((now, submission_id));
    }
}

impl KnownEntry {
    /// Returns the id as it is told to its owner in `epoch`.
    pub fn tell(&self, now: Instant, epoch: Epoch) -> KnownId {
        let age = now.saturating_duration_since(self.since);
        let released = self.released.as_ref().filter(|released| released.epoch == epoch);
        let whereabouts = released.map(|released| released.whereabouts.clone());
        KnownId { age_ms: age.as_millis() as u64, whereabouts, ..self.id.clone() }
    }
}
