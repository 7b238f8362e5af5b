//! Other entries that remember ids, and sealing.

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

/// Most ids in one note.
const MAX_NOTED_IDS: usize = 500;

impl<P: PlacementRule> Shard<P> {
    pub(super) fn take_note(
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
            known.is_binding = true;
        }
        if !accepted.is_empty() {
            let ack = NoteAck { epoch: note.epoch, accepted };
            effects.push(Effect::send(from, Message::NoteAck(ack)));
        }
    }

    pub(super) fn take_note_ack(
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
            if let Some(entry) = self.known.get_mut(submission_id) {
                entry.holders.insert(from.incarnation);
            }
            if let Some(owned) = self.owned.get_mut(&slice_of(submission_id)) {
                owned.unpaired.remove(submission_id);
            }
            let job = self.jobs.get(submission_id);
            if job.is_some_and(|job| matches!(job.phase, JobPhase::Noting(_))) {
                self.activate(submission_id);
            }
        }
        self.dispatch(moment, effects);
        self.seal(effects);
    }

    pub(super) fn take_sealed(&mut self, sealed: &Sealed) {
        for told in &sealed.slices {
            let epoch = self.sealed.entry(told.slice).or_default();
            *epoch = told.epoch.max(*epoch);
        }
    }

    /// Returns the members that may be told of an id, the preferred one first.
    pub(super) fn witnesses_of(&self, slice: SliceId) -> Vec<Destination> {
        let witnesses = self.view.witnesses_of(slice, self.me.incarnation);
        witnesses.into_iter().filter_map(|witness| self.destination_of(witness)).collect()
    }

    /// Returns whether another member of this epoch holds an id, or there is no other member.
    pub(super) fn is_paired(&self, submission_id: &str) -> bool {
        let is_alone = self.view.members.len() == 1;
        let entry = self.known.get(submission_id);
        let is_held = entry
            .is_some_and(|entry| entry.holders.iter().any(|holder| self.is_other_member(*holder)));
        is_alone || is_held
    }

    fn is_other_member(&self, incarnation: Incarnation) -> bool {
        incarnation != self.me.incarnation && self.view.members.contains_key(&incarnation)
    }

    pub(super) fn find_unpaired_ids(&mut self) {
        let owned: Vec<SliceId> = self.owned.keys().copied().collect();
        let unpaired = self.known.iter().map(|entry| &entry.id.submission_id);
        let unpaired = unpaired.filter(|id| owned.binary_search(&slice_of(id)).is_ok());
        let unpaired = unpaired.filter(|id| !self.is_paired(id));
        let unpaired: Vec<SubmissionId> = unpaired.cloned().collect();
        for owned in self.owned.values_mut() {
            owned.unpaired.clear();
            owned.last_noted = None;
        }
        for submission_id in unpaired {
            if let Some(owned) = self.owned.get_mut(&slice_of(&submission_id)) {
                owned.unpaired.insert(submission_id);
            }
        }
    }

    pub(super) fn note_unpaired_ids(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let slices: Vec<SliceId> = self.owned.keys().copied().collect();
        for slice in slices {
            let Some(owned) = self.owned.get_mut(&slice) else { continue };
            let is_recent =
                |last: Instant| moment.now.saturating_duration_since(last) < self.limits.resend;
            let is_waiting = owned.last_noted.is_some_and(is_recent);
            if owned.unpaired.is_empty() || is_waiting || !owned.is_ready() {
                continue;
            }
            owned.last_noted = Some(moment.now);
            owned.note_rounds += 1;
            let rounds = owned.note_rounds;
            let unpaired: Vec<SubmissionId> = owned.unpaired.iter().cloned().collect();
            let witnesses = self.witnesses_of(slice);
            if witnesses.is_empty() {
                continue;
            }
            let witness = witnesses[rounds % witnesses.len()];
            for chunk in unpaired.chunks(MAX_NOTED_IDS) {
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
        let entries = submission_ids.iter().filter_map(|id| self.known.get(id));
        let ids = entries.map(|entry| entry.tell(moment.now, epoch)).collect();
        effects.push(Effect::send(witness, Message::Note(Note { epoch, ids })));
    }

    /// Tells the members which slices have two holders for every id in this epoch.
    pub(super) fn seal(&mut self, effects: &mut Vec<Effect>) {
        let epoch = self.view.epoch;
        let mut sealed = Vec::new();
        for (&slice, owned) in &mut self.owned {
            let is_sealed = owned.knows_all_ids && owned.unpaired.is_empty();
            if is_sealed && owned.told_sealed < epoch {
                owned.told_sealed = epoch;
                self.sealed.insert(slice, epoch);
                sealed.push(SealedSlice { slice, epoch });
            }
        }
        if sealed.is_empty() {
            return;
        }
        for &member in self.view.members.keys() {
            if member == self.me.incarnation {
                continue;
            }
            let Some(to) = self.destination_of(member) else { continue };
            let sealed = Sealed { slices: sealed.clone() };
            effects.push(Effect::send(to, Message::Sealed(sealed)));
        }
    }

    /// Time for which the trace of an id is kept after its admission.
    pub(super) fn id_lifetime(&self) -> Duration {
        self.limits.id_window + Duration::from_millis(MAX_TIMEOUT_MS)
    }
}
