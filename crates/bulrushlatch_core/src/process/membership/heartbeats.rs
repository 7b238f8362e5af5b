//! Heartbeats of entries and agents: what they tell, and to whom they are sent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::{Incarnation, Offset};

use super::{Membership, PeerState, UnregisteredAgent};
use crate::{
    connection::agents::AgentTable,
    effect::{Destination, Effect},
    limits::jittered,
    message::{AgentHeartbeat, Directive, EntryHeartbeat, Message, StateUpdate},
    version::policy::is_drain_requested,
};

impl Membership {
    /// Records an entry's heartbeat, and sends newer state to the entry if it lags.
    pub fn handle_entry_heartbeat(
        &mut self,
        now: Instant,
        from: Destination,
        heartbeat: &EntryHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.peers.get(&from.incarnation);
        let echoed = heartbeat.echo_ms.map(|ms| self.started + Duration::from_millis(ms));
        let peer = PeerState {
            last_heartbeat: now,
            sent_ms: known.map_or(0, |known| known.sent_ms).max(heartbeat.sent_ms),
            echoed: known.and_then(|known| known.echoed).max(echoed),
            ownership_offset: heartbeat.ownership_offset,
            settings_offset: heartbeat.settings_offset,
            silent_agents: heartbeat.silent_agents.iter().copied().collect(),
        };
        self.peers.insert(from.incarnation, peer);
        let lags_in_view = heartbeat.ownership_offset < self.view.next_offset();
        let lags_in_settings = heartbeat.settings_offset < self.settings.next_offset();
        if !lags_in_view && !lags_in_settings {
            return;
        }
        let update = StateUpdate {
            view: lags_in_view.then(|| Arc::clone(self.view())),
            settings: lags_in_settings.then(|| Arc::clone(self.settings())),
        };
        effects.push(Effect::send(from, Message::StateUpdate(update)));
    }

    /// Records an agent's heartbeat, and sends a directive if the agent lags or was declared gone.
    pub fn handle_agent_heartbeat(
        &mut self,
        now: Instant,
        from: Destination,
        heartbeat: &AgentHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let description = &heartbeat.agent;
        let is_registered = self.view().agents.contains_key(&from.incarnation);
        if !is_registered && !self.view().is_gone(from.incarnation) {
            let unregistered =
                self.unregistered_agents.entry(from.incarnation).or_insert_with(|| {
                    UnregisteredAgent {
                        description: description.clone(),
                        first_heartbeat: now,
                        last_heartbeat: now,
                    }
                });
            unregistered.last_heartbeat = now;
        }
        let is_gone = self.view().is_gone(from.incarnation);
        let lags = heartbeat.settings_offset < self.settings.next_offset()
            || heartbeat.ownership_offset < self.view.next_offset();
        if !lags && !is_gone {
            return;
        }
        let directive = Directive {
            settings_offset: self.settings.next_offset(),
            ownership_offset: self.view.next_offset(),
            drain: is_drain_requested(self.settings(), &description.name),
            gone: is_gone,
            entries: self.view().members.values().map(|member| member.address).collect(),
        };
        effects.push(Effect::send(from, Message::Directive(directive)));
    }

    /// Returns the time since the last heartbeat of another entry.
    pub fn silent_for(&self, now: Instant, peer: Incarnation) -> Option<Duration> {
        self.peers.get(&peer).map(|peer| now.saturating_duration_since(peer.last_heartbeat))
    }

    /// Returns the settings offset in the last heartbeat of another entry.
    pub fn settings_offset_of(&self, peer: Incarnation) -> Option<Offset> {
        self.peers.get(&peer).map(|peer| peer.settings_offset)
    }

    /// Sends heartbeats to the other entries if they are due.
    pub(super) fn send_heartbeats(
        &mut self,
        now: Instant,
        silent_agents: &[Incarnation],
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + jittered(self.limits.heartbeat, &mut self.random);
        let sent = now.saturating_duration_since(self.started);
        for to in self.heartbeat_receivers() {
            let heartbeat = EntryHeartbeat {
                ownership_offset: self.view.next_offset(),
                settings_offset: self.settings.next_offset(),
                silent_agents: silent_agents.to_vec(),
                sent_ms: sent.as_millis() as u64,
                echo_ms: self.peers.get(&to.incarnation).map(|peer| peer.sent_ms),
            };
            effects.push(Effect::send(to, Message::EntryHeartbeat(heartbeat)));
        }
    }

    /// Returns the other members, and also the seeds while this entry is not a member, since it
    /// may not know any member yet.
    fn heartbeat_receivers(&self) -> Vec<Destination> {
        let own_incarnation = self.identity.incarnation;
        let members =
            self.view().members.iter().filter(|(incarnation, _)| **incarnation != own_incarnation);
        let members = members
            .map(|(&incarnation, member)| Destination { address: member.address, incarnation });
        let mut receivers: Vec<Destination> = members.collect();
        if !self.is_member() {
            let own_address = self.identity.address;
            let seeds = self.seeds.iter().copied().filter(|address| *address != own_address);
            receivers.extend(seeds.map(|address| Destination { address, incarnation: 0 }));
        }
        receivers
    }

    /// Returns the registered agents from which no heartbeat has come for too long.
    pub(super) fn silent_agents(&self, now: Instant, agents: &AgentTable) -> Vec<Incarnation> {
        let is_silent = |agent: &Incarnation| {
            let silent_for = agents.silent_for(now, *agent);
            let known_for = now.saturating_duration_since(self.view_since);
            silent_for.unwrap_or(known_for) >= self.limits.agent_gone_after
        };
        self.view().agents.keys().copied().filter(is_silent).collect()
    }
}
