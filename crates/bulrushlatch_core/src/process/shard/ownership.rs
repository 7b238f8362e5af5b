//! Gaining and giving up slices, witnesses.
//!
//! Before a task of a submission is placed, its id is held by the owner and by one other member
//! of the owner's epoch. A new owner asks all others for the ids of its slices; whoever answers
//! has folded the new view and takes no more notes of older owners. If at most one holder since
//! the slice was last sealed has not answered, and it was never alone, every id is known.

use std::{collections::BTreeSet, sync::Arc};

use bulrushlatch_protocol::ids::{Incarnation, SliceId, SubmissionId, slice_of};

use super::{
    Moment, Shard,
    owned_slice::{Arrival, OwnedSlice},
};
use crate::{
    connection::placement::PlacementRule,
    effect::{Destination, Effect},
    request::{job::Waiter, known::Released},
    version::view::View,
};

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
        let asked = self.entries_to_ask(moment);
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
}
