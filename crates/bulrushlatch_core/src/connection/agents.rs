//! The agents that an entry places tasks on.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bulrushlatch_protocol::ids::{Incarnation, ServiceName, ZoneName};

use super::{health::TargetHealth, placement::Candidate};
use crate::{
    effect::Destination,
    message::{AgentDescription, AgentLoad},
    version::{policy::is_drained, settings::SettingsTree, view::View},
};

/// Share of a service's targets that may be ejected at once: one in this many.
const EJECTED_SHARE: usize = 2;

/// All registered agents, as one entry sees them.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: BTreeMap<Incarnation, AgentState>,
    by_service: BTreeMap<ServiceName, BTreeSet<Incarnation>>,
    /// Latest heartbeats, also of agents that are not registered yet.
    heard: BTreeMap<Incarnation, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    load: AgentLoad,
}

/// One registered agent.
#[derive(Clone, Debug)]
pub struct AgentState {
    /// Who the agent is.
    pub description: AgentDescription,
    /// Whether operators drain its target.
    pub is_drained: bool,
    /// Whether its target fails what it is given.
    pub health: TargetHealth,
    /// Slots of the tasks that this entry placed and that have not ended.
    outstanding_slots: u32,
    /// Slots of the tasks placed since the agent last told its load.
    unreported_slots: u32,
}

/// Summary of the agents of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Slots of all agents that can be used.
    pub slots: u64,
    /// Largest number of slots at one registered agent, used or not.
    pub largest_slots: u32,
    /// Whether some agent has not been heard yet, or not lately, and may be usable.
    pub is_any_silent: bool,
}

impl AgentTable {
    /// Takes a new membership view into account.
    pub fn apply_view(&mut self, view: &View, settings: &SettingsTree) {
        self.agents.retain(|incarnation, _| view.agents.contains_key(incarnation));
        for (&incarnation, registered) in &view.agents {
            self.agents.entry(incarnation).or_insert_with(|| AgentState {
                description: registered.description.clone(),
                is_drained: false,
                health: TargetHealth::default(),
                outstanding_slots: 0,
                unreported_slots: 0,
            });
        }
        self.by_service.clear();
        for (&incarnation, agent) in &self.agents {
            let service = agent.description.service.clone();
            self.by_service.entry(service).or_default().insert(incarnation);
        }
        self.apply_settings(settings);
    }

    /// Takes new settings into account.
    pub fn apply_settings(&mut self, settings: &SettingsTree) {
        for agent in self.agents.values_mut() {
            agent.is_drained = is_drained(settings, &agent.description.name);
        }
    }

    /// Notes what an agent said of its load; older words than the latest are ignored.
    pub fn note_load(&mut self, now: Instant, agent: Incarnation, load: AgentLoad) {
        let heard = self.heard.entry(agent).or_insert(Heard { at: now, load });
        if load.stamp_ms < heard.load.stamp_ms {
            return;
        }
        *heard = Heard { at: now, load };
        if let Some(state) = self.agents.get_mut(&agent) {
            state.unreported_slots = 0;
        }
    }

    /// Forgets agents that are not registered and have been silent for `silence`.
    pub fn forget_silent(&mut self, now: Instant, silence: Duration) {
        let agents = &self.agents;
        self.heard.retain(|incarnation, heard| {
            agents.contains_key(incarnation) || now.saturating_duration_since(heard.at) < silence
        });
    }

    /// Returns one agent.
    pub fn get(&self, agent: Incarnation) -> Option<&AgentState> {
        self.agents.get(&agent)
    }

    /// Returns all registered agents.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &AgentState)> {
        self.agents.iter().map(|(&incarnation, state)| (incarnation, state))
    }

    /// Returns where an agent can be reached.
    pub fn destination(&self, agent: Incarnation) -> Option<Destination> {
        let address = self.agents.get(&agent)?.description.address;
        Some(Destination { address, incarnation: agent })
    }

    /// Returns the agent's clock as last heard.
    pub fn stamp_ms(&self, agent: Incarnation) -> u64 {
        self.heard.get(&agent).map_or(0, |heard| heard.load.stamp_ms)
    }

    /// Returns how long an agent has been silent, if it was ever heard.
    pub fn silent_for(&self, now: Instant, agent: Incarnation) -> Option<Duration> {
        self.heard.get(&agent).map(|heard| now.saturating_duration_since(heard.at))
    }

    /// Returns the load that an agent last told.
    pub fn load(&self, agent: Incarnation) -> Option<AgentLoad> {
        self.heard.get(&agent).map(|heard| heard.load)
    }

    /// Returns the agents that can take a task of `slots` now.
    pub fn candidates(
        &self,
        now: Instant,
        silence: Duration,
        zone: &ZoneName,
        service: &ServiceName,
        slots: u32,
    ) -> Vec<Candidate> {
        let Some(agents) = self.by_service.get(service) else { return Vec::new() };
        let candidates = agents.iter().filter_map(|&agent| {
            let state = self.agents.get(&agent)?;
            let free_slots = self.free_slots(now, silence, agent, state);
            if free_slots < slots || slots == 0 {
                return None;
            }
            let is_same_zone = state.description.zone == *zone;
            Some(Candidate { agent, free_slots, slots: state.description.slots, is_same_zone })
        });
        candidates.collect()
    }

    /// Returns the capacity of a service, or nothing if no agent ever announced it.
    pub fn capacity(
        &self,
        now: Instant,
        silence: Duration,
        service: &ServiceName,
    ) -> Option<ServiceCapacity> {
        let agents = self.by_service.get(service)?;
        let mut capacity = ServiceCapacity::default();
        for &agent in agents {
            let Some(state) = self.agents.get(&agent) else { continue };
            capacity.largest_slots = capacity.largest_slots.max(state.description.slots);
            let silent_for = self.silent_for(now, agent);
            capacity.is_any_silent |= silent_for.is_none_or(|time| time >= silence);
            if self.is_usable(now, silence, agent, state) {
                capacity.slots += u64::from(state.description.slots);
            }
        }
        Some(capacity)
    }

    /// Notes that a task was placed.
    pub fn note_placed(&mut self, now: Instant, agent: Incarnation, slots: u32) {
        let Some(state) = self.agents.get_mut(&agent) else { return };
        state.outstanding_slots += slots;
        state.unreported_slots += slots;
        state.health.note_placed(now);
    }

    /// Notes that a placed task ended or is no longer waited for.
    pub fn note_ended(&mut self, agent: Incarnation, slots: u32) {
        let Some(state) = self.agents.get_mut(&agent) else { return };
        state.outstanding_slots = state.outstanding_slots.saturating_sub(slots);
    }

    /// Notes that a target gave a result.
    pub fn note_success(&mut self, agent: Incarnation) {
        let Some(state) = self.agents.get_mut(&agent) else { return };
        state.health.note_success();
    }

    /// Notes that a target failed; returns whether it was ejected for it.
    pub fn note_failure(&mut self, now: Instant, agent: Incarnation) -> bool {
        let Some(service) = self.agents.get(&agent).map(|state| &state.description.service) else {
            return false;
        };
        let peers = self.by_service.get(service).into_iter().flatten();
        let peers: Vec<&AgentState> = peers.filter_map(|peer| self.agents.get(peer)).collect();
        let ejected = peers.iter().filter(|peer| peer.health.is_ejected()).count();
        let may_eject = (ejected + 1) * EJECTED_SHARE <= peers.len();
        let state = self.agents.get_mut(&agent);
        state.is_some_and(|state| state.health.note_failure(now, may_eject))
    }

    fn free_slots(
        &self,
        now: Instant,
        silence: Duration,
        agent: Incarnation,
        state: &AgentState,
    ) -> u32 {
        if !self.is_usable(now, silence, agent, state) || !state.health.allows_task(now) {
            return 0;
        }
        let reported_slots = self.heard.get(&agent).map_or(0, |heard| heard.load.busy_slots);
        let busy_slots = state.outstanding_slots.max(reported_slots + state.unreported_slots);
        state.description.slots.saturating_sub(busy_slots)
    }

    fn is_usable(
        &self,
        now: Instant,
        silence: Duration,
        agent: Incarnation,
        state: &AgentState,
    ) -> bool {
        let Some(heard) = self.heard.get(&agent) else { return false };
        let is_silent = now.saturating_duration_since(heard.at) >= silence;
        !is_silent && !heard.load.leaving && !state.is_drained
    }
}
