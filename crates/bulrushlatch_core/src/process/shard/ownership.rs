//! Acquisition and release of slices when the membership view changes.
//!
//! Before a task of a submission is placed, its id is held by the owner and by one other member
//! of the owner's epoch. A new owner asks all other entries for the ids of its slices. An entry
//! that answers has applied the new view and accepts no more notes of previous owners. Every id is
//! known if, of the entries that were members since the slice was last sealed, at most one has not
//! answered, and that one was never the only member.

use std::{collections::BTreeSet, sync::Arc};

use bulrushlatch_protocol::ids::{Incarnation, SliceId, SubmissionId, slice_of};

use super::{
    Moment, Shard,
    owned_slice::{Arrival, OwnedSlice},
};
use crate::{
    connection::placement::PlacementRule,
    effect::{Destination, Effect},
    request::{job::Waiter, known::Handover},
    version::view::View,
};

impl<P: PlacementRule> Shard<P> {
    /// Applies a new view, in which this entry has `incarnation`.
    pub fn apply_view(
        &mut self,
        moment: Moment,
        view: &Arc<View>,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        let is_new_epoch = view.epoch != self.view.epoch || incarnation != self.local.incarnation;
        let is_next_epoch = view.epoch == self.view.epoch + 1;
        if incarnation != self.local.incarnation {
            self.previous_incarnations.insert(self.local.incarnation);
        }
        self.local.incarnation = incarnation;
        self.view = Arc::clone(view);
        if is_new_epoch {
            self.release_slices(moment, is_next_epoch, effects);
            self.acquire_slices(moment, effects);
            self.find_unreplicated_ids();
            self.maintain_slices(moment, effects);
            self.maintain_forwards(moment, effects);
        }
        self.fail_tasks_of_gone_agents(moment, effects);
        self.dispatch(moment, effects);
    }

    /// Resends unanswered collects and unacknowledged notes, updates readiness, and advertises
    /// sealed slices.
    pub(super) fn maintain_slices(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        self.resend_collects(moment, effects);
        let owned: Vec<SliceId> = self.owned.keys().copied().collect();
        for slice in owned {
            self.update_readiness(moment, slice, effects);
        }
        self.send_unreplicated_ids(moment, effects);
        self.seal(effects);
    }

    /// Releases the slices that this entry no longer owns, with their jobs and parked submissions.
    ///
    /// Task locations are kept for the next owner only if the view is of the next epoch, since
    /// otherwise a third entry may have owned the slices in between and placed tasks.
    fn release_slices(&mut self, moment: Moment, is_next_epoch: bool, effects: &mut Vec<Effect>) {
        let is_lost = |slice: &SliceId| self.view.owner_of(*slice) != Some(self.local.incarnation);
        let lost: BTreeSet<SliceId> = self.owned.keys().copied().filter(is_lost).collect();
        if lost.is_empty() {
            return;
        }
        for slice in &lost {
            let parked = self.owned.remove(slice).map(|owned| owned.parked).unwrap_or_default();
            for parked in parked {
                self.redirect_to_owner(moment, parked, effects);
            }
        }
        let jobs = self.jobs.keys().filter(|id| lost.contains(&slice_of(id)));
        let jobs: Vec<SubmissionId> = jobs.cloned().collect();
        for submission_id in jobs {
            self.release_job(moment, &submission_id, is_next_epoch, effects);
        }
    }

    /// Removes a job without an answer and redirects its callers to the next owner.
    fn release_job(
        &mut self,
        moment: Moment,
        submission_id: &SubmissionId,
        keep_locations: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(mut job) = self.remove_job(submission_id) else { return };
        let epoch = self.view.epoch;
        if let Some(known) = self.known.get_mut(submission_id) {
            let locations = job.task_locations().filter(|_| keep_locations);
            known.handover = locations.map(|task_locations| Handover { epoch, task_locations });
        }
        for waiter in std::mem::take(&mut job.waiters) {
            let submission = Arc::clone(&job.submission);
            let deadline = job.deadline;
            self.redirect_to_owner(
                moment,
                Arrival { waiter, submission, deadline, witness: None },
                effects,
            );
        }
    }

    /// Redirects a waiting caller to the current owner.
    pub(super) fn redirect_to_owner(
        &mut self,
        moment: Moment,
        arrival: Arrival,
        effects: &mut Vec<Effect>,
    ) {
        let Arrival { waiter, submission, deadline, .. } = arrival;
        match waiter {
            Waiter::Local(ticket) => {
                let request = super::CallerRequest::submit(submission, deadline);
                self.route(moment, ticket, request, effects);
            }
            Waiter::Remote(to, ticket) => {
                self.remote.record_redirect(to, ticket);
                self.send_not_owner(to, ticket, effects);
            }
        }
    }

    fn acquire_slices(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let local = self.local.incarnation;
        let is_acquired = |slice: &SliceId| {
            self.view.owner_of(*slice) == Some(local) && !self.owned.contains_key(slice)
        };
        let acquired: Vec<SliceId> = self.slices.iter().copied().filter(is_acquired).collect();
        let recipients = self.collect_recipients(moment);
        // An entry that joins may have been cut off and still hold ids that a slice lacks.
        for owned in self.owned.values_mut().filter(|owned| !owned.knows_all_ids) {
            let joined = recipients.iter().filter(|to| !owned.collect_from.contains(to));
            let joined: Vec<Destination> = joined.copied().collect();
            owned.collect_from.extend(joined);
        }
        if acquired.is_empty() {
            return;
        }
        let epoch = self.view.epoch;
        for &slice in &acquired {
            self.owned.insert(slice, OwnedSlice::new(moment, epoch, recipients.clone()));
        }
        self.send_collect(&recipients, &acquired, effects);
    }
}
