//! Asking the other entries for the ids of gained slices.

use std::{collections::BTreeSet, sync::Arc};

use bulrushlatch_protocol::ids::{Epoch, SliceId, slice_of};

use super::{Moment, Shard};
use crate::{
    connection::placement::Placement as PlacementRule,
    effect::{Destination, Effect},
    message::{Collect, Collected, Message, SealedSlice},
    request::known::KnownId,
    version::view::DepartureCause,
};

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

    /// Members, and entries that left in order with this epoch and may still answer.
    pub(super) fn entries_to_ask(&self) -> Vec<Destination> {
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
}
