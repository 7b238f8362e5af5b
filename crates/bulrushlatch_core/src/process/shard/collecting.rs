//! Asking the other entries for the ids of gained slices.

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

/// Longest time for which an entry that left is asked: the usual grace of a shutdown.
const LEAVING_LASTS: Duration = Duration::from_secs(30);

impl<P: PlacementRule> Shard<P> {
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
            previous_incarnations: self.formers.iter().copied().collect(),
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
                owned.repliers.extend(&collected.previous_incarnations);
            }
            self.judge_readiness(moment, told.slice, effects);
        }
        self.seal(effects);
    }

    /// Members, and entries that left in order a short while ago and may still answer.
    pub(super) fn entries_to_ask(&self, moment: Moment) -> Vec<Destination> {
        let me = self.me.incarnation;
        let others = self.view.members.keys().copied().filter(|&member| member != me);
        let mut asked: Vec<Destination> =
            others.filter_map(|member| self.destination_of(member)).collect();
        for departed in &self.view.departed {
            let left_since_ms = moment.wall_ms.saturating_sub(departed.at_ms);
            let may_answer = departed.cause == DepartureCause::Left
                && u128::from(left_since_ms) < LEAVING_LASTS.as_millis();
            if may_answer && departed.incarnation != me {
                let incarnation = departed.incarnation;
                asked.push(Destination { address: departed.address, incarnation });
            }
        }
        asked
    }

    /// Returns whether a slice cannot be judged early without an entry's answer.
    ///
    /// An entry that left before the slice's first epoch may have exited; its answer is a gain,
    /// and its silence costs no time.
    fn must_answer(&self, owned: &OwnedSlice, asked: Destination) -> bool {
        let mut departed = self.view.departed.iter();
        let departed = departed.find(|departed| departed.incarnation == asked.incarnation);
        departed.is_none_or(|departed| departed.removed_epoch >= owned.since_epoch)
    }

    pub(super) fn ask(&self, asked: &[Destination], slices: &[SliceId], effects: &mut Vec<Effect>) {
        for &to in asked {
            let collect = Collect { view: Arc::clone(&self.view), slices: slices.to_vec() };
            effects.push(Effect::send(to, Message::Collect(collect)));
        }
    }

    pub(super) fn ask_again(&mut self, moment: Moment, effects: &mut Vec<Effect>) {
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

    pub(super) fn judge_readiness(
        &mut self,
        moment: Moment,
        slice: SliceId,
        effects: &mut Vec<Effect>,
    ) {
        let knows_all = self.is_every_id_known(moment, slice);
        let has_all_answers = self.has_all_answers(slice);
        let Some(owned) = self.owned.get_mut(&slice) else { return };
        if owned.knows_all_ids {
            return;
        }
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

    fn has_all_answers(&self, slice: SliceId) -> bool {
        let Some(owned) = self.owned.get(&slice) else { return false };
        let has_answered = |to: &Destination| owned.repliers.contains(&to.incarnation);
        owned.asked.iter().all(|to| has_answered(to) || !self.must_answer(owned, *to))
    }

    fn is_every_id_known(&self, moment: Moment, slice: SliceId) -> bool {
        let Some(owned) = self.owned.get(&slice) else { return false };
        if moment.now.saturating_duration_since(owned.since) >= self.id_lifetime() {
            return true;
        }
        let sealed = self.sealed.get(&slice).copied().unwrap_or(0);
        let is_own = |holder| holder == self.me.incarnation || self.formers.contains(&holder);
        let mut missing = self.view.members_since(sealed);
        missing.retain(|&holder| !is_own(holder) && !owned.repliers.contains(&holder));
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
