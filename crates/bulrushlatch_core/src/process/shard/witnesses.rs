//! Replication of ids to witnesses, and sealing of slices.

use std::time::{Duration, Instant};

use bulrushlatch_protocol::{
    ids::{Incarnation, SliceId, SubmissionId, slice_of},
    submission::MAX_TIMEOUT_MS,
};

use super::{Moment, Shard};
use crate::{
    connection::placement::PlacementRule,
    effect::{Destination, Effect},
    message::{Message, Note, NoteAck, Sealed, SealedSlice},
    request::job::JobPhase,
};

/// Largest number of ids in one note.
const MAX_IDS_PER_NOTE: usize = 500;

impl<P: PlacementRule> Shard<P> {
    /// Stores the ids of a note as a witness, and acknowledges them.
    ///
    /// Ids of slices that the sender no longer owns are rejected, since the new owner may already
    /// have collected this entry's ids. A note of a later epoch than this entry's is accepted,
    /// since the sender may be the owner in it.
    pub(super) fn handle_note(
        &mut self,
        moment: Moment,
        from: Destination,
        note: Note,
        effects: &mut Vec<Effect>,
    ) {
        let mut accepted = Vec::new();
        for id in note.ids {
            let owner = self.view.owner_of(slice_of(&id.submission_id));
            let is_current = note.epoch > self.view.epoch || owner == Some(from.incarnation);
            if !is_current || self.known.len() >= self.limits.max_ids {
                continue;
            }
            accepted.push(id.submission_id.clone());
            let known = self.known.remember(moment.now, id);
            known.holders.insert(from.incarnation);
            known.must_retain = true;
        }
        if !accepted.is_empty() {
            let ack = NoteAck { epoch: note.epoch, accepted };
            effects.push(Effect::send(from, Message::NoteAck(ack)));
        }
    }

    pub(super) fn handle_note_ack(
        &mut self,
        moment: Moment,
        from: Destination,
        ack: &NoteAck,
        effects: &mut Vec<Effect>,
    ) {
        if !self.view.members.contains_key(&from.incarnation) {
            return;
        }
        for submission_id in &ack.accepted {
            if let Some(known) = self.known.get_mut(submission_id) {
                known.holders.insert(from.incarnation);
            }
            if let Some(owned) = self.owned.get_mut(&slice_of(submission_id)) {
                owned.unreplicated.remove(submission_id);
            }
            let job = self.jobs.get(submission_id);
            if job.is_some_and(|job| matches!(job.phase, JobPhase::AwaitingWitness(_))) {
                self.activate(submission_id);
            }
        }
        self.dispatch(moment, effects);
        self.seal(effects);
    }

    pub(super) fn handle_sealed(&mut self, sealed: &Sealed) {
        for reported in &sealed.slices {
            let epoch = self.sealed.entry(reported.slice).or_default();
            *epoch = reported.epoch.max(*epoch);
        }
    }

    /// Returns the members that can be witnesses for a slice, the preferred one first.
    pub(super) fn witnesses_of(&self, slice: SliceId) -> Vec<Destination> {
        let witnesses = self.view.witnesses_of(slice, self.local.incarnation);
        witnesses.into_iter().filter_map(|witness| self.destination_of(witness)).collect()
    }

    /// Returns whether another member of this epoch holds an id, or no other member exists.
    pub(super) fn is_replicated(&self, submission_id: &str) -> bool {
        let is_alone = self.view.members.len() == 1;
        let known = self.known.get(submission_id);
        let is_held = known
            .is_some_and(|known| known.holders.iter().any(|holder| self.is_other_member(*holder)));
        is_alone || is_held
    }

    fn is_other_member(&self, incarnation: Incarnation) -> bool {
        incarnation != self.local.incarnation && self.view.members.contains_key(&incarnation)
    }

    /// Determines anew which ids of owned slices no other current member holds.
    pub(super) fn find_unreplicated_ids(&mut self) {
        let owned: Vec<SliceId> = self.owned.keys().copied().collect();
        let unreplicated = self.known.iter().map(|known| &known.id.submission_id);
        let unreplicated = unreplicated.filter(|id| owned.binary_search(&slice_of(id)).is_ok());
        let unreplicated = unreplicated.filter(|id| !self.is_replicated(id));
        let unreplicated: Vec<SubmissionId> = unreplicated.cloned().collect();
        for owned in self.owned.values_mut() {
            owned.unreplicated.clear();
            owned.last_note_sent = None;
        }
        for submission_id in unreplicated {
            if let Some(owned) = self.owned.get_mut(&slice_of(&submission_id)) {
                owned.unreplicated.insert(submission_id);
            }
        }
    }

    /// Sends the unreplicated ids of each ready slice to its next witness.
    pub(super) fn send_unreplicated_ids(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let slices: Vec<SliceId> = self.owned.keys().copied().collect();
        for slice in slices {
            let Some(owned) = self.owned.get_mut(&slice) else { continue };
            let is_recent =
                |last: Instant| moment.now.saturating_duration_since(last) < self.limits.resend;
            let is_ack_pending = owned.last_note_sent.is_some_and(is_recent);
            if owned.unreplicated.is_empty() || is_ack_pending || !owned.is_ready() {
                continue;
            }
            owned.last_note_sent = Some(moment.now);
            owned.note_rounds += 1;
            let rounds = owned.note_rounds;
            let unreplicated: Vec<SubmissionId> = owned.unreplicated.iter().cloned().collect();
            let witnesses = self.witnesses_of(slice);
            if witnesses.is_empty() {
                continue;
            }
            let witness = witnesses[rounds % witnesses.len()];
            for chunk in unreplicated.chunks(MAX_IDS_PER_NOTE) {
                self.send_note(moment, witness, chunk, effects);
            }
        }
    }

    pub(super) fn send_note(
        &self,
        moment: Moment,
        witness: Destination,
        submission_ids: &[SubmissionId],
        effects: &mut Vec<Effect>,
    ) {
        let epoch = self.view.epoch;
        let known = submission_ids.iter().filter_map(|id| self.known.get(id));
        let ids = known.map(|known| known.to_wire(moment.now, epoch)).collect();
        effects.push(Effect::send(witness, Message::Note(Note { epoch, ids })));
    }

    /// Marks slices as sealed that are fully replicated in this epoch, and advertises them to the
    /// other members. Fully replicated means that another member holds every id, or that there is
    /// no other member.
    pub(super) fn seal(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.view.epoch;
        let mut sealed = Vec::new();
        for (&slice, owned) in &mut self.owned {
            let is_sealed = owned.knows_all_ids && owned.unreplicated.is_empty();
            if is_sealed && owned.advertised_epoch < epoch {
                owned.advertised_epoch = epoch;
                self.sealed.insert(slice, epoch);
                sealed.push(SealedSlice { slice, epoch });
            }
        }
        if sealed.is_empty() {
            return;
        }
        for &member in self.view.members.keys() {
            if member == self.local.incarnation {
                continue;
            }
            let Some(to) = self.destination_of(member) else { continue };
            let sealed = Sealed { slices: sealed.clone() };
            effects.push(Effect::send(to, Message::Sealed(sealed)));
        }
    }

    /// Returns how long an id is remembered after this entry recorded it or last deferred its
    /// expiry.
    pub(super) fn id_lifetime(&self) -> Duration {
        self.limits.id_window + Duration::from_millis(MAX_TIMEOUT_MS)
    }
}
