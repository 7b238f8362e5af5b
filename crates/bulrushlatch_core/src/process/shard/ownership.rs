//! Gaining and giving up slices, witnesses.
//!
//! Before a task of a submission is placed, its id is held by the owner and by one other member
//! of the owner's epoch. A new owner asks all others for the ids of its slices; whoever answers
//! has folded the new view and takes no more notes of older owners. If at most one holder since
//! the slice was last sealed has not answered, and it was never alone, every id is known.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    ids::{Epoch, Incarnation, SliceId, SubmissionId, slice_of},
    submission::{MAX_TIMEOUT_MS, Submission},
};

use super::{Moment, Shard};
use crate::{
    connection::placement::Placement as PlacementRule,
    effect::{Destination, Effect},
    message::{Collect, Collected, Message, Note, NoteAck, Sealed, SealedSlice},
    request::{
        job::{JobPhase, Waiter},
        known::{KnownId, Released},
    },
    version::view::{DepartureCause, View},
};

/// Most ids in one note.
const MAX_NOTED_IDS: usize = 500;

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
    fn new(moment: Moment, epoch: Epoch, asked: Vec<Destination>) -> Self {
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

impl<P: PlacementRule> Shard<P> {
    /// Takes a new view into account; `incarnation` is this entry's in it.
    pub fn apply_view(
        &mut self,
        moment: Moment,
        view: &Arc<View>,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        let is_new_epoch = view.epoch != self.view.epoch || incarnation != self.me.incarnation;
        let is_next_epoch = view.epoch == self.view.epoch + 1;
        if incarnation != self.me.incarnation {
            self.formers.insert(self.me.incarnation);
        }
        self.me.incarnation = incarnation;
        self.view = Arc::clone(view);
        if is_new_epoch {
            self.give_up_slices(moment, is_next_epoch, effects);
            self.gain_slices(moment, effects);
            self.find_unpaired_ids();
            self.maintain_slices(moment, effects);
            self.maintain_forwards(moment, effects);
        }
        self.fail_tasks_of_gone_agents(moment, effects);
        self.dispatch(moment, effects);
    }

    /// Puts the unanswered question, or the unacknowledged notes, again; decides on readiness.
    pub(super) fn maintain_slices(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        self.ask_again(moment, effects);
        let owned: Vec<SliceId> = self.owned.keys().copied().collect();
        for slice in owned {
            self.judge_readiness(moment, slice, effects);
        }
        self.note_unpaired_ids(moment, effects);
        self.seal(effects);
    }

    pub(super) fn take_collect(
        &mut self,
        moment: Moment,
        from: Destination,
        collect: &Collect,
        effects: &mut Vec<Effect>,
    ) {
        let is_owner = |&slice: &SliceId| self.view.owner_of(slice) == Some(from.incarnation);
        let slices = collect.slices.iter().copied().filter(|slice| self.slices.contains(slice));
        let slices: BTreeSet<SliceId> = slices.filter(is_owner).collect();
        if slices.is_empty() {
            return;
        }
        let collected = Collected {
            epoch: collect.view.epoch,
            slices: slices.iter().map(|&slice| self.sealed_slice(slice)).collect(),
            ids: self.known.tell(moment.now, &slices, collect.view.epoch),
            formers: self.formers.iter().copied().collect(),
        };
        effects.push(Effect::send(from, Message::Collected(collected)));
    }

    pub(super) fn take_collected(
        &mut self,
        moment: Moment,
        from: Destination,
        collected: Collected,
        effects: &mut Vec<Effect>,
    ) {
        for id in collected.ids {
            self.learn_id(moment, from, collected.epoch, id);
        }
        for told in collected.slices {
            let sealed = self.sealed.entry(told.slice).or_default();
            *sealed = told.epoch.max(*sealed);
            let Some(owned) = self.owned.get_mut(&told.slice) else { continue };
            // An answer given in an earlier epoch promised nothing for this one.
            if collected.epoch >= owned.since_epoch {
                owned.repliers.insert(from.incarnation);
                owned.repliers.extend(&collected.formers);
            }
            self.judge_readiness(moment, told.slice, effects);
        }
        self.seal(effects);
    }

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

    /// Where tasks are is told on only if no third entry can have owned them in between.
    fn give_up_slices(&mut self, moment: Moment, is_next_epoch: bool, effects: &mut Vec<Effect>) {
        let is_lost = |slice: &SliceId| self.view.owner_of(*slice) != Some(self.me.incarnation);
        let lost: BTreeSet<SliceId> = self.owned.keys().copied().filter(is_lost).collect();
        if lost.is_empty() {
            return;
        }
        for slice in &lost {
            let parked = self.owned.remove(slice).map(|owned| owned.parked).unwrap_or_default();
            for parked in parked {
                self.hand_on(moment, parked, effects);
            }
        }
        let jobs = self.jobs.keys().filter(|id| lost.contains(&slice_of(id)));
        let jobs: Vec<SubmissionId> = jobs.cloned().collect();
        for submission_id in jobs {
            self.give_up_job(moment, &submission_id, is_next_epoch, effects);
        }
    }

    /// Lets go of a job without an answer; the callers are sent to the next owner.
    fn give_up_job(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        tell_whereabouts: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut job) = self.take_job(submission_id) else { return };
        let epoch = self.view.epoch;
        if let Some(entry) = self.known.get_mut(submission_id) {
            let whereabouts = job.whereabouts().filter(|_| tell_whereabouts);
            entry.released = whereabouts.map(|whereabouts| Released { epoch, whereabouts });
        }
        for waiter in std::mem::take(&mut job.waiters) {
            let submission = Arc::clone(&job.submission);
            let deadline = job.deadline;
            self.hand_on(moment, Arrival { waiter, submission, deadline, witness: None }, effects);
        }
    }

    /// Sends a waiting caller to the next owner.
    pub(super) fn hand_on(&mut self, moment: Moment, arrival: Arrival, effects: &mut Vec<Effect>) {
        let Arrival { waiter, submission, deadline, .. } = arrival;
        match waiter {
            Waiter::Local(ticket) => {
                let request = super::ForwardedRequest::submit(submission, deadline);
                self.route(moment, ticket, request, effects);
            }
            Waiter::Remote(to, ticket) => {
                self.remote.forget_open(to, ticket);
                self.send_not_owner(to, ticket, effects);
            }
        }
    }

    fn gain_slices(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let me = self.me.incarnation;
        let is_gained = |slice: &SliceId| {
            self.view.owner_of(*slice) == Some(me) && !self.owned.contains_key(slice)
        };
        let gained: Vec<SliceId> = self.slices.iter().copied().filter(is_gained).collect();
        let asked = self.entries_to_ask();
        // An entry that joins may be one that was cut off, with what a slice still lacks.
        for owned in self.owned.values_mut().filter(|owned| !owned.knows_all_ids) {
            let news = asked.iter().filter(|to| !owned.asked.contains(to));
            let news: Vec<Destination> = news.copied().collect();
            owned.asked.extend(news);
        }
        if gained.is_empty() {
            return;
        }
        let epoch = self.view.epoch;
        for &slice in &gained {
            self.owned.insert(slice, OwnedSlice::new(moment, epoch, asked.clone()));
        }
        self.ask(&asked, &gained, effects);
    }

    /// Members, and entries that left in order with this epoch and may still answer.
    fn entries_to_ask(&self) -> Vec<Destination> {
        let me = self.me.incarnation;
        let others = self.view.members.keys().copied().filter(|&member| member != me);
        let mut asked: Vec<Destination> =
            others.filter_map(|member| self.destination_of(member)).collect();
        for departed in &self.view.departed {
            let is_leaving = departed.cause == DepartureCause::Left;
            if is_leaving && departed.removed_epoch == self.view.epoch {
                let Some(incarnation) = Some(departed.incarnation).filter(|&old| old != me) else {
                    continue;
                };
                asked.push(Destination { address: departed.address, incarnation });
            }
        }
        asked
    }

    fn ask(&self, asked: &[Destination], slices: &[SliceId], effects: &mut Vec<Effect>) {
        for &to in asked {
            let collect = Collect { view: Arc::clone(&self.view), slices: slices.to_vec() };
            effects.push(Effect::send(to, Message::Collect(collect)));
        }
    }

    fn ask_again(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let mut questions: Vec<(Destination, SliceId)> = Vec::new();
        for (&slice, owned) in &mut self.owned {
            let since_sent = moment.now.saturating_duration_since(owned.last_sent);
            if owned.knows_all_ids || since_sent < self.limits.resend {
                continue;
            }
            owned.last_sent = moment.now;
            let silent = owned.asked.iter().filter(|to| !owned.repliers.contains(&to.incarnation));
            questions.extend(silent.map(|&to| (to, slice)));
        }
        let receivers: BTreeSet<Destination> = questions.iter().map(|(to, _)| *to).collect();
        for receiver in receivers {
            let slices = questions.iter().filter(|(to, _)| *to == receiver);
            let slices: Vec<SliceId> = slices.map(|(_, slice)| *slice).collect();
            self.ask(&[receiver], &slices, effects);
        }
    }

    fn learn_id(&mut self, moment: Moment, from: Destination, epoch: Epoch, mut id: KnownId) {
        let slice = slice_of(&id.submission_id);
        let whereabouts = id.whereabouts.take();
        let submission_id = id.submission_id.clone();
        self.known.remember(moment.now, id).holders.insert(from.incarnation);
        let is_paired = self.is_paired(&submission_id);
        let Some(owned) = self.owned.get_mut(&slice) else { return };
        if is_paired {
            owned.unpaired.remove(&submission_id);
        } else {
            owned.unpaired.insert(submission_id.clone());
        }
        // Once this owner may have placed tasks itself, the word of an earlier one is too old.
        let is_usable = !owned.is_ready() && epoch == owned.since_epoch;
        let entry = self.known.get_mut(&submission_id);
        if let Some(entry) = entry.filter(|_| is_usable && whereabouts.is_some()) {
            entry.id.whereabouts = whereabouts;
        }
    }

    fn judge_readiness(&mut self, moment: Moment, slice: SliceId, effects: &mut Vec<Effect>) {
        let knows_all = self.is_every_id_known(moment, slice);
        let Some(owned) = self.owned.get_mut(&slice) else { return };
        if owned.knows_all_ids {
            return;
        }
        let has_all_answers = owned.asked.iter().all(|to| owned.repliers.contains(&to.incarnation));
        let waited = moment.now.saturating_duration_since(owned.since);
        // Who is still a member but does not answer may hold a lease for as long as this.
        let has_waited = waited >= self.limits.recovery_wait;
        owned.knows_all_ids = knows_all && (has_all_answers || has_waited);
        owned.stopped_waiting |= has_waited;
        if !owned.is_ready() {
            return;
        }
        for parked in std::mem::take(&mut owned.parked) {
            self.admit(moment, parked, effects);
        }
    }

    fn is_every_id_known(&self, moment: Moment, slice: SliceId) -> bool {
        let Some(owned) = self.owned.get(&slice) else { return false };
        if moment.now.saturating_duration_since(owned.since) >= self.id_lifetime() {
            return true;
        }
        let sealed = self.sealed.get(&slice).copied().unwrap_or(0);
        let is_own = |holder| holder == self.me.incarnation || self.formers.contains(&holder);
        let mut missing = self.view.holders_since(sealed);
        missing.retain(|&holder| !is_own(holder) && !owned.repliers.contains(&holder));
        match missing[..] {
            [] => true,
            [only] => sealed > 0 && !self.view.was_alone_since(sealed, only),
            _ => false,
        }
    }

    fn sealed_slice(&self, slice: SliceId) -> SealedSlice {
        SealedSlice { slice, epoch: self.sealed.get(&slice).copied().unwrap_or(0) }
    }

    fn find_unpaired_ids(&mut self) {
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

    fn note_unpaired_ids(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
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
    fn seal(&mut self, effects: &mut Vec<Effect>) {
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
