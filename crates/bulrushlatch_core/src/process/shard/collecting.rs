//! Collection of the ids of newly acquired slices from other entries.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushlatch_protocol::ids::{Epoch, SliceId, slice_of};

use super::{Moment, Shard, owned_slice::OwnedSlice};
use crate::{
    connection::placement::PlacementRule,
    effect::{Destination, Effect},
    message::{Collect, Collected, Message, SealedSlice},
    request::known::KnownId,
    version::view::DepartureCause,
};

/// Longest time after its departure for which an entry that left in an orderly way is asked for
/// its ids: the usual grace period of a shutdown. A shutdown may take longer, by default up to
/// 60 s.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(30);

impl<P: PlacementRule> Shard<P> {
    /// Sends the known ids of the requested slices, as far as `from` owns them in the current view.
    pub(super) fn handle_collect(
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
            ids: self.known.slices_to_wire(moment.now, &slices, collect.view.epoch),
            previous_incarnations: self.previous_incarnations.iter().copied().collect(),
        };
        effects.push(Effect::send(from, Message::Collected(collected)));
    }

    /// Stores the ids that another entry sent, and records its reply for the slices.
    pub(super) fn handle_collected(
        &mut self,
        moment: Moment,
        from: Destination,
        collected: Collected,
        effects: &mut Vec<Effect>,
    ) {
        for id in collected.ids {
            self.merge_collected_id(moment, from, collected.epoch, id);
        }
        for reported in collected.slices {
            let sealed = self.sealed.entry(reported.slice).or_default();
            *sealed = reported.epoch.max(*sealed);
            let Some(owned) = self.owned.get_mut(&reported.slice) else { continue };
            // An entry that answered in an earlier epoch may have accepted notes of another owner
            // since, so its answer does not count.
            if collected.epoch >= owned.first_epoch {
                owned.replied_entries.insert(from.incarnation);
                owned.replied_entries.extend(&collected.previous_incarnations);
            }
            self.update_readiness(moment, reported.slice, effects);
        }
        self.seal(effects);
    }

    /// Returns the other members, and the entries that left in an orderly way within
    /// [`MAX_LEAVING_TIME`] and may still answer.
    pub(super) fn collect_recipients(&self, moment: Moment) -> Vec<Destination> {
        let local = self.local.incarnation;
        let others = self.view.members.keys().copied().filter(|&member| member != local);
        let mut recipients: Vec<Destination> =
            others.filter_map(|member| self.destination_of(member)).collect();
        for departed in &self.view.departed {
            let left_since_ms = moment.wall_ms.saturating_sub(departed.at_ms);
            let may_answer = departed.cause == DepartureCause::Left
                && u128::from(left_since_ms) < MAX_LEAVING_TIME.as_millis();
            if may_answer && departed.incarnation != local {
                let incarnation = departed.incarnation;
                recipients.push(Destination { address: departed.address, incarnation });
            }
        }
        recipients
    }

    /// Returns whether a slice must wait for the reply of `entry`, or else for `recovery_wait`.
    ///
    /// An entry that left before the slice's first epoch may have exited, so its reply is used if
    /// it arrives but is not waited for.
    fn is_reply_required(&self, owned: &OwnedSlice, entry: Destination) -> bool {
        let mut departed = self.view.departed.iter();
        let departed = departed.find(|departed| departed.incarnation == entry.incarnation);
        departed.is_none_or(|departed| departed.removed_epoch >= owned.first_epoch)
    }

    pub(super) fn send_collect(
        &self,
        recipients: &[Destination],
        slices: &[SliceId],
        effects: &mut Vec<Effect>,
    ) {
        for &to in recipients {
            let collect = Collect { view: Arc::clone(&self.view), slices: slices.to_vec() };
            effects.push(Effect::send(to, Message::Collect(collect)));
        }
    }

    /// Asks again the entries that have not replied within `limits.resend`.
    pub(super) fn resend_collects(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
        let mut unanswered: Vec<(Destination, SliceId)> = Vec::new();
        for (&slice, owned) in &mut self.owned {
            let since_sent = moment.now.saturating_duration_since(owned.last_sent);
            if owned.knows_all_ids || since_sent < self.limits.resend {
                continue;
            }
            owned.last_sent = moment.now;
            let silent = owned
                .collect_from
                .iter()
                .filter(|to| !owned.replied_entries.contains(&to.incarnation));
            unanswered.extend(silent.map(|&to| (to, slice)));
        }
        let recipients: BTreeSet<Destination> = unanswered.iter().map(|(to, _)| *to).collect();
        for recipient in recipients {
            let slices = unanswered.iter().filter(|(to, _)| *to == recipient);
            let slices: Vec<SliceId> = slices.map(|(_, slice)| *slice).collect();
            self.send_collect(&[recipient], &slices, effects);
        }
    }

    fn merge_collected_id(
        &mut self,
        moment: Moment,
        from: Destination,
        epoch: Epoch,
        mut id: KnownId,
    ) {
        let slice = slice_of(&id.submission_id);
        let locations = id.task_locations.take();
        let submission_id = id.submission_id.clone();
        self.known.remember(moment.now, id).holders.insert(from.incarnation);
        let is_replicated = self.is_replicated(&submission_id);
        let Some(owned) = self.owned.get_mut(&slice) else { return };
        if is_replicated {
            owned.unreplicated.remove(&submission_id);
        } else {
            owned.unreplicated.insert(submission_id.clone());
        }
        // Once this owner may have placed tasks itself, locations of a previous owner are stale.
        let is_usable = !owned.is_ready() && epoch == owned.first_epoch;
        let known = self.known.get_mut(&submission_id);
        if let Some(known) = known.filter(|_| is_usable && locations.is_some()) {
            known.id.task_locations = locations;
        }
    }

    /// Updates whether a slice is ready, and handles its parked submissions once it is.
    pub(super) fn update_readiness(
        &mut self,
        moment: Moment,
        slice: SliceId,
        effects: &mut Vec<Effect>,
    ) {
        let knows_all = self.is_every_id_known(moment, slice);
        let has_all_replies = self.has_all_replies(slice);
        let Some(owned) = self.owned.get_mut(&slice) else { return };
        if owned.knows_all_ids {
            return;
        }
        let waited = moment.now.saturating_duration_since(owned.since);
        // A member that does not answer may hold a lease for up to `recovery_wait`.
        let has_waited = waited >= self.limits.recovery_wait;
        owned.knows_all_ids = knows_all && (has_all_replies || has_waited);
        owned.is_wait_over |= has_waited;
        if !owned.is_ready() {
            return;
        }
        for parked in std::mem::take(&mut owned.parked) {
            self.admit(moment, parked, effects);
        }
    }

    fn has_all_replies(&self, slice: SliceId) -> bool {
        let Some(owned) = self.owned.get(&slice) else { return false };
        let has_replied = |to: &Destination| owned.replied_entries.contains(&to.incarnation);
        owned.collect_from.iter().all(|to| has_replied(to) || !self.is_reply_required(owned, *to))
    }

    /// Returns whether every id of a slice is known.
    ///
    /// Once a slice was sealed, its owner and, if there was one, another member hold every id, so
    /// one missing holder is harmless unless it was the only member then or since. After the
    /// lifetime of ids, none is missing.
    fn is_every_id_known(&self, moment: Moment, slice: SliceId) -> bool {
        let Some(owned) = self.owned.get(&slice) else { return false };
        if moment.now.saturating_duration_since(owned.since) >= self.id_lifetime() {
            return true;
        }
        let sealed = self.sealed.get(&slice).copied().unwrap_or(0);
        let is_own = |holder| {
            holder == self.local.incarnation || self.previous_incarnations.contains(&holder)
        };
        let mut missing = self.view.members_since(sealed);
        missing.retain(|&holder| !is_own(holder) && !owned.replied_entries.contains(&holder));
        match missing[..] {
            [] => true,
            [only] => sealed > 0 && !self.view.was_sole_member_since(sealed, only),
            _ => false,
        }
    }

    fn sealed_slice(&self, slice: SliceId) -> SealedSlice {
        SealedSlice { slice, epoch: self.sealed.get(&slice).copied().unwrap_or(0) }
    }
}
