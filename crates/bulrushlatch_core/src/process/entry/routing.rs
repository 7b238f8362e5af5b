//! Routing of received messages to the shards.

use std::{collections::BTreeMap, sync::Arc};

use bulrushlatch_protocol::ids::{SliceId, slice_of};

use super::{Entry, lock, shard_of};
use crate::{
    clock::Clock,
    connection::placement::PlacementRule,
    effect::{Destination, Effect},
    message::{
        Collect, Collected, Message, Note, NoteAck, Report, Sealed, StateUpdate, TaskReport,
    },
    version::policy::team_quota,
};

impl<C: Clock, P: PlacementRule> Entry<C, P> {
    pub(super) fn receive_message(
        &self,
        from: Destination,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let moment = self.moment();
        match message {
            Message::AgentHeartbeat(heartbeat) => {
                let mut agents = self.tables.agents();
                agents.update_load(moment.now, from.incarnation, heartbeat.load);
                drop(agents);
                self.membership().handle_agent_heartbeat(moment.now, from, &heartbeat, effects);
            }
            Message::QuotaRequest(request) => {
                let quota_slots = team_quota(&self.settings(), &request.team).unwrap_or(0);
                let reply =
                    self.tables.quotas().handle_request(from.incarnation, &request, quota_slots);
                self.send_quota_messages(reply, effects);
            }
            Message::QuotaLoan(loan) => {
                let reply = self.tables.quotas().handle_loan(from.incarnation, &loan);
                self.send_quota_messages(reply, effects);
            }
            Message::Collect(collect) => self.receive_collect(from, &collect, effects),
            Message::Collected(collected) => self.receive_collected(from, collected, effects),
            Message::Note(note) => self.receive_note(from, note, effects),
            Message::NoteAck(ack) => {
                let parts = self.split_by_shard(ack.accepted, |id| slice_of(id));
                for (index, accepted) in parts {
                    let ack = NoteAck { epoch: ack.epoch, accepted };
                    let message = Message::NoteAck(ack);
                    lock(&self.shards[index]).receive(moment, from, message, effects);
                }
            }
            Message::Sealed(sealed) => {
                for (index, slices) in self.split_by_shard(sealed.slices, |sealed| sealed.slice) {
                    let message = Message::Sealed(Sealed { slices });
                    lock(&self.shards[index]).receive(moment, from, message, effects);
                }
            }
            Message::Report(report) => {
                let load = report.load;
                self.tables.agents().update_load(moment.now, from.incarnation, load);
                if report.tasks.is_empty() {
                    for shard in &self.shards {
                        lock(shard).dispatch(moment, effects);
                    }
                }
                let slice = |task: &TaskReport| slice_of(&task.placement.submission_id);
                for (index, tasks) in self.split_by_shard(report.tasks, slice) {
                    let message = Message::Report(Report { load, tasks });
                    lock(&self.shards[index]).receive(moment, from, message, effects);
                }
            }
            message => self.route_to_shard(from, message, effects),
        }
    }

    /// Routes a message about one submission or one waiting caller.
    fn route_to_shard(&self, from: Destination, message: Message, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        let submission_id = match &message {
            Message::Forward(forward) => &forward.submission.submission_id,
            Message::Cancel(lookup) | Message::Lookup(lookup) => &lookup.submission_id,
            Message::Answered(answered) => &answered.answer.submission_id,
            Message::QueryReply(reply) => &reply.submission_id,
            // The message has only a ticket, which does not identify the shard.
            Message::NotOwner(_) => {
                for shard in &self.shards {
                    lock(shard).receive(moment, from, message.clone(), effects);
                }
                return;
            }
            _ => return,
        };
        let mut shard = self.shard_for(submission_id);
        shard.receive(moment, from, message, effects);
    }

    /// Adopts the view in the request first, so that the reply is based on it or a later one.
    fn receive_collect(&self, from: Destination, collect: &Collect, effects: &mut Vec<Effect>) {
        let view = Some(Arc::clone(&collect.view));
        self.adopt(&StateUpdate { view, settings: None }, effects);
        let moment = self.moment();
        for (index, slices) in self.split_by_shard(collect.slices.clone(), |&slice| slice) {
            let message = Message::Collect(Collect { view: Arc::clone(&collect.view), slices });
            lock(&self.shards[index]).receive(moment, from, message, effects);
        }
    }

    fn receive_collected(
        &self,
        from: Destination,
        collected: Collected,
        effects: &mut Vec<Effect>,
    ) {
        let moment = self.moment();
        let epoch = collected.epoch;
        let mut ids = self.split_by_shard(collected.ids, |id| slice_of(&id.submission_id));
        for (index, slices) in self.split_by_shard(collected.slices, |sealed| sealed.slice) {
            let ids = ids.remove(&index).unwrap_or_default();
            let previous_incarnations = collected.previous_incarnations.clone();
            let message =
                Message::Collected(Collected { epoch, slices, ids, previous_incarnations });
            lock(&self.shards[index]).receive(moment, from, message, effects);
        }
    }

    fn receive_note(&self, from: Destination, note: Note, effects: &mut Vec<Effect>) {
        let moment = self.moment();
        let epoch = note.epoch;
        for (index, ids) in self.split_by_shard(note.ids, |id| slice_of(&id.submission_id)) {
            let message = Message::Note(Note { epoch, ids });
            lock(&self.shards[index]).receive(moment, from, message, effects);
        }
    }

    /// Groups items by the index of the shard that holds their slice.
    fn split_by_shard<T>(
        &self,
        items: Vec<T>,
        slice_of_item: impl Fn(&T) -> SliceId,
    ) -> BTreeMap<usize, Vec<T>> {
        let mut parts: BTreeMap<usize, Vec<T>> = BTreeMap::new();
        for item in items {
            let index = shard_of(slice_of_item(&item), self.shards.len());
            parts.entry(index).or_default().push(item);
        }
        parts
    }
}
