//! The records that an entry writes.

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

/// Factor on the silence limit for an entry that does not hear most of the others.
const MINORITY_PATIENCE: u32 = 4;

/// A record that may have to be written more than once, because a reply or the log was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WriteKey {
    Join,
    Remove(Incarnation),
    AgentJoined(Incarnation),
    AgentGone(Incarnation),
}

impl Membership {
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

    pub(super) fn write_removals(&mut self, now: Instant, wall_ms: u64, effects: &mut Vec<Effect>) {
        let me = self.identity.incarnation;
        let others = self.view().members.keys().copied().filter(|&member| member != me);
        let others: Vec<Incarnation> = others.collect();
        let silence = |member: &Incarnation| {
            let known_for = now.saturating_duration_since(self.view_since);
            self.silent_for(now, *member).unwrap_or(known_for)
        };
        let heard = others.iter().filter(|member| silence(member) < self.limits.silence).count();
        let hears_most = (heard + 1) * 2 > others.len() + 1;
        let patience = if hears_most { 1 } else { MINORITY_PATIENCE };
        let bound = self.limits.silence * patience;
        let silent = others.into_iter().filter(|member| silence(member) >= bound);
        let silent: Vec<Incarnation> = silent.collect();
        for incarnation in silent {
            let cause = DepartureCause::Silent;
            let record = OwnershipRecord::Remove { incarnation, by: me, cause, at_ms: wall_ms };
            self.write(now, WriteKey::Remove(incarnation), &record, effects);
        }
    }

    pub(super) fn write_agents(
        &mut self,
        now: Instant,
        wall_ms: u64,
        silent_agents: &[Incarnation],
        agents: &AgentTable,
        effects: &mut Vec<Effect>,
    ) {
        let silence = self.limits.silence;
        self.newcomers
            .retain(|_, newcomer| now.saturating_duration_since(newcomer.last_heard) < silence);
        for (incarnation, newcomer) in self.newcomers.clone() {
            let waited = now.saturating_duration_since(newcomer.first_heard);
            if !self.writes_about(incarnation, waited) {
                continue;
            }
            let description = newcomer.description;
            let record = OwnershipRecord::AgentJoined { incarnation, description, at_ms: wall_ms };
            self.write(now, WriteKey::AgentJoined(incarnation), &record, effects);
        }
        for &incarnation in silent_agents {
            let known_for = now.saturating_duration_since(self.view_since);
            let silent_for = agents.silent_for(now, incarnation).unwrap_or(known_for);
            let waited = silent_for.saturating_sub(self.limits.agent_gone);
            if self.is_silent_everywhere(incarnation) && self.writes_about(incarnation, waited) {
                let cause = DepartureCause::Silent;
                let record = OwnershipRecord::AgentGone { incarnation, cause, at_ms: wall_ms };
                self.write(now, WriteKey::AgentGone(incarnation), &record, effects);
            }
        }
    }

    /// One member writes about an agent; the others do if it has not done so in time.
    fn writes_about(&self, agent: Incarnation, waited: Duration) -> bool {
        let is_registrar = self.view().registrar_of(agent) == Some(self.identity.incarnation);
        is_registrar || waited >= self.limits.silence
    }

    /// An agent that any member hears is not gone.
    fn is_silent_everywhere(&self, agent: Incarnation) -> bool {
        let me = self.identity.incarnation;
        let mut others = self.view().members.keys().filter(|&&member| member != me);
        others.all(|member| {
            self.peers.get(member).is_some_and(|peer| peer.silent_agents.contains(&agent))
        })
    }

    /// The first member writes snapshots.
    pub(super) fn write_snapshots(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let first = self.view().members.keys().next();
        if first != Some(&self.identity.incarnation) {
            return;
        }
        if self.view_snapshots.take_due(now, &self.limits, &self.view) {
            let body = self.view.snapshot_body();
            effects.push(Effect::Append { stream: StreamName::Ownership, body });
        }
        if self.settings_snapshots.take_due(now, &self.limits, &self.settings) {
            let body = self.settings.snapshot_body();
            effects.push(Effect::Append { stream: StreamName::Settings, body });
        }
    }

    /// Appends a record, unless it was appended a moment ago.
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
