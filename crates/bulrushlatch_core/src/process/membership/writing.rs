//! The records and snapshots that an entry appends to the log.

use std::time::{Duration, Instant};

use bulrushlatch_log::platform_log::StreamName;
use bulrushlatch_protocol::ids::Incarnation;

use super::Membership;
use crate::{
    connection::agents::AgentTable,
    effect::Effect,
    version::{
        stream::record_body,
        view::{DepartureCause, OwnershipRecord, View},
    },
};

/// Factor on the silence limit for an entry that receives heartbeats of too few members to be in
/// a majority: it is likely to be the one that is cut off.
const MINORITY_SILENCE_FACTOR: u32 = 4;

/// Identifies a record that may have to be appended again, because an append can fail unnoticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WriteKey {
    Join,
    Remove(Incarnation),
    AgentJoined(Incarnation),
    AgentGone(Incarnation),
}

impl Membership {
    /// Appends the join of this entry if it is not a member, or its removal if it is leaving.
    pub(super) fn write_own_membership(
        &mut self,
        now: Instant,
        wall_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let incarnation = self.identity.incarnation;
        if self.is_leaving {
            if self.is_member() {
                let record = OwnershipRecord::Remove {
                    incarnation,
                    by: incarnation,
                    cause: DepartureCause::Left,
                    at_ms: wall_ms,
                };
                self.write(now, WriteKey::Remove(incarnation), &record, effects);
            }
            return;
        }
        if !self.is_member() {
            let record = OwnershipRecord::Join {
                incarnation,
                name: self.identity.name.clone(),
                address: self.identity.address,
                zone: self.identity.zone.clone(),
                at_ms: wall_ms,
            };
            self.write(now, WriteKey::Join, &record, effects);
        }
    }

    /// Appends the removal of members that have been silent for too long.
    pub(super) fn write_removals(&mut self, now: Instant, wall_ms: u64, effects: &mut Vec<Effect>) {
        let own_incarnation = self.identity.incarnation;
        let others =
            self.view().members.keys().copied().filter(|&member| member != own_incarnation);
        let others: Vec<Incarnation> = others.collect();
        let silence_of = |member: &Incarnation| {
            let known_for = now.saturating_duration_since(self.view_since);
            self.silent_for(now, *member).unwrap_or(known_for)
        };
        let heard_count =
            others.iter().filter(|member| silence_of(member) < self.limits.silence_limit).count();
        let is_in_majority = (heard_count + 1) * 2 > others.len() + 1;
        let factor = if is_in_majority { 1 } else { MINORITY_SILENCE_FACTOR };
        let removal_silence = self.limits.silence_limit * factor;
        let silent = others.into_iter().filter(|member| silence_of(member) >= removal_silence);
        let silent: Vec<Incarnation> = silent.collect();
        for incarnation in silent {
            let cause = DepartureCause::Silent;
            let record =
                OwnershipRecord::Remove { incarnation, by: own_incarnation, cause, at_ms: wall_ms };
            self.write(now, WriteKey::Remove(incarnation), &record, effects);
        }
    }

    /// Appends the registration of new agents, and the departure of those that have been silent for
    /// too long.
    pub(super) fn write_agent_records(
        &mut self,
        now: Instant,
        wall_ms: u64,
        silent_agents: &[Incarnation],
        agents: &AgentTable,
        effects: &mut Vec<Effect>,
    ) {
        let silence_limit = self.limits.silence_limit;
        self.unregistered_agents.retain(|_, unregistered| {
            now.saturating_duration_since(unregistered.last_heartbeat) < silence_limit
        });
        for (incarnation, unregistered) in self.unregistered_agents.clone() {
            let waited = now.saturating_duration_since(unregistered.first_heartbeat);
            if !self.is_writer_for(incarnation, waited) {
                continue;
            }
            let description = unregistered.description;
            let record = OwnershipRecord::AgentJoined { incarnation, description, at_ms: wall_ms };
            self.write(now, WriteKey::AgentJoined(incarnation), &record, effects);
        }
        for &incarnation in silent_agents {
            let known_for = now.saturating_duration_since(self.view_since);
            let silent_for = agents.silent_for(now, incarnation).unwrap_or(known_for);
            let waited = silent_for.saturating_sub(self.limits.agent_gone_after);
            if self.is_silent_everywhere(incarnation) && self.is_writer_for(incarnation, waited) {
                let cause = DepartureCause::Silent;
                let record = OwnershipRecord::AgentGone { incarnation, cause, at_ms: wall_ms };
                self.write(now, WriteKey::AgentGone(incarnation), &record, effects);
            }
        }
    }

    /// Returns whether this entry appends a record about an agent: the registrar does so at once,
    /// the other members if it has not done so within the silence limit.
    fn is_writer_for(&self, agent: Incarnation, waited: Duration) -> bool {
        let is_registrar = self.view().registrar_of(agent) == Some(self.identity.incarnation);
        is_registrar || waited >= self.limits.silence_limit
    }

    /// Returns whether all other members report an agent as silent; otherwise it is not gone.
    fn is_silent_everywhere(&self, agent: Incarnation) -> bool {
        let own_incarnation = self.identity.incarnation;
        let mut others = self.view().members.keys().filter(|&&member| member != own_incarnation);
        others.all(|member| {
            self.peers.get(member).is_some_and(|peer| peer.silent_agents.contains(&agent))
        })
    }

    /// Appends due snapshots if this entry is the member with the lowest incarnation.
    pub(super) fn write_snapshots(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let first = self.view().members.keys().next();
        if first != Some(&self.identity.incarnation) {
            return;
        }
        if self.view_snapshots.mark_written_if_due(now, &self.limits, &self.view) {
            let body = self.view.snapshot_body();
            effects.push(Effect::Append { stream: StreamName::Ownership, body });
        }
        if self.settings_snapshots.mark_written_if_due(now, &self.limits, &self.settings) {
            let body = self.settings.snapshot_body();
            effects.push(Effect::Append { stream: StreamName::Settings, body });
        }
    }

    /// Appends a record, unless it was appended within the resend time.
    fn write(
        &mut self,
        now: Instant,
        key: WriteKey,
        record: &OwnershipRecord,
        effects: &mut Vec<Effect>,
    ) {
        let last_write = self.last_writes.get(&key);
        let is_recent = |&last: &Instant| now.saturating_duration_since(last) < self.limits.resend;
        if last_write.is_some_and(is_recent) {
            return;
        }
        self.last_writes.insert(key, now);
        let body = record_body::<View>(record);
        effects.push(Effect::Append { stream: StreamName::Ownership, body });
    }
}
