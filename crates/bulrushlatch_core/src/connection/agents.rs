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
    version::{policy::is_drain_requested, settings::SettingsTree, view::View},
};

/// At most one in this many targets of a service may be ejected at once.
const EJECTION_DIVISOR: usize = 2;

/// All registered agents, as one entry sees them.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: BTreeMap<Incarnation, AgentState>,
    by_service: BTreeMap<ServiceName, BTreeSet<Incarnation>>,
    /// Latest reported loads, also of agents that are not registered yet.
    loads: BTreeMap<Incarnation, ReceivedLoad>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedLoad {
    received_at: Instant,
    load: AgentLoad,
}

/// One registered agent.
#[derive(Clone, Debug)]
pub struct AgentState {
    /// Name, address, availability zone, service and slots of the agent.
    pub description: AgentDescription,
    /// Whether operators drain its target.
    pub is_drain_requested: bool,
    /// Recent successes and failures of its target.
    pub health: TargetHealth,
    /// Slots of the tasks that this entry placed and that have not ended.
    outstanding_slots: u32,
    /// Slots of the tasks placed since the agent last reported its load.
    unreported_slots: u32,
}

/// Summary of the agents of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Slots of all agents that can be used.
    pub slots: u64,
    /// Largest number of slots at one registered agent, used or not.
    pub largest_slots: u32,
    /// Whether some agent has not reported a load within the silence limit, and may still be
    /// usable.
    pub is_any_silent: bool,
}

impl AgentTable {
    /// Adds and removes agents according to a new membership view.
    pub fn apply_view(&mut self, view: &View, settings: &SettingsTree) {
        self.agents.retain(|incarnation, _| view.agents.contains_key(incarnation));
        for (&incarnation, registered) in &view.agents {
            self.agents.entry(incarnation).or_insert_with(|| AgentState {
                description: registered.description.clone(),
                is_drain_requested: false,
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

    /// Updates from new settings which targets are drained.
    pub fn apply_settings(&mut self, settings: &SettingsTree) {
        for agent in self.agents.values_mut() {
            agent.is_drain_requested = is_drain_requested(settings, &agent.description.name);
        }
    }

    /// Stores a load that an agent reported; ignores one that is older than the latest.
    pub fn update_load(&mut self, now: Instant, agent: Incarnation, load: AgentLoad) {
        let latest = self.loads.entry(agent).or_insert(ReceivedLoad { received_at: now, load });
        if load.stamp_ms < latest.load.stamp_ms {
            return;
        }
        *latest = ReceivedLoad { received_at: now, load };
        if let Some(state) = self.agents.get_mut(&agent) {
            state.unreported_slots = 0;
        }
    }

    /// Forgets the loads of unregistered agents that last reported at least `max_age` ago.
    pub fn forget_unregistered_loads(&mut self, now: Instant, max_age: Duration) {
        let agents = &self.agents;
        self.loads.retain(|incarnation, latest| {
            agents.contains_key(incarnation)
                || now.saturating_duration_since(latest.received_at) < max_age
        });
    }

    /// Returns a registered agent.
    pub fn get(&self, agent: Incarnation) -> Option<&AgentState> {
        self.agents.get(&agent)
    }

    /// Returns all registered agents.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, &AgentState)> {
        self.agents.iter().map(|(&incarnation, state)| (incarnation, state))
    }

    /// Returns the address and incarnation of a registered agent.
    pub fn destination(&self, agent: Incarnation) -> Option<Destination> {
        let address = self.agents.get(&agent)?.description.address;
        Some(Destination { address, incarnation: agent })
    }

    /// Returns the latest reported stamp of an agent, or zero if it has reported none.
    pub fn latest_stamp_ms(&self, agent: Incarnation) -> u64 {
        self.loads.get(&agent).map_or(0, |latest| latest.load.stamp_ms)
    }

    /// Returns the time since an agent last reported its load, or `None` if it never did.
    pub fn silent_for(&self, now: Instant, agent: Incarnation) -> Option<Duration> {
        self.loads.get(&agent).map(|latest| now.saturating_duration_since(latest.received_at))
    }

    /// Returns the latest reported load of an agent.
    pub fn latest_load(&self, agent: Incarnation) -> Option<AgentLoad> {
        self.loads.get(&agent).map(|latest| latest.load)
    }

    /// Returns the agents on which a task of `slots` slots can be placed now.
    pub fn candidates(
        &self,
        now: Instant,
        silence_limit: Duration,
        zone: &ZoneName,
        service: &ServiceName,
        slots: u32,
    ) -> Vec<Candidate> {
        let Some(agents) = self.by_service.get(service) else { return Vec::new() };
        let candidates = agents.iter().filter_map(|&agent| {
            let state = self.agents.get(&agent)?;
            let free_slots = self.free_slots(now, silence_limit, agent, state);
            if free_slots < slots || slots == 0 {
                return None;
            }
            let is_same_zone = state.description.zone == *zone;
            Some(Candidate { agent, free_slots, slots: state.description.slots, is_same_zone })
        });
        candidates.collect()
    }

    /// Returns the capacity of a service, or `None` if it has no registered agent.
    pub fn capacity(
        &self,
        now: Instant,
        silence_limit: Duration,
        service: &ServiceName,
    ) -> Option<ServiceCapacity> {
        let agents = self.by_service.get(service)?;
        let mut capacity = ServiceCapacity::default();
        for &agent in agents {
            let Some(state) = self.agents.get(&agent) else { continue };
            capacity.largest_slots = capacity.largest_slots.max(state.description.slots);
            let silent_for = self.silent_for(now, agent);
            capacity.is_any_silent |= silent_for.is_none_or(|time| time >= silence_limit);
            if self.is_usable(now, silence_limit, agent, state) {
                capacity.slots += u64::from(state.description.slots);
            }
        }
        Some(capacity)
    }

    /// Records that a task was placed.
    pub fn record_placement(&mut self, now: Instant, agent: Incarnation, slots: u32) {
        let Some(state) = self.agents.get_mut(&agent) else { return };
        state.outstanding_slots += slots;
        state.unreported_slots += slots;
        state.health.record_placement(now);
    }

    /// Records that a placed task ended or is no longer awaited.
    pub fn record_task_end(&mut self, agent: Incarnation, slots: u32) {
        let Some(state) = self.agents.get_mut(&agent) else { return };
        state.outstanding_slots = state.outstanding_slots.saturating_sub(slots);
    }

    /// Records that a target completed a task.
    pub fn record_success(&mut self, agent: Incarnation) {
        let Some(state) = self.agents.get_mut(&agent) else { return };
        state.health.record_success();
    }

    /// Records that a target failed a task; returns whether this ejected the target.
    pub fn record_failure(&mut self, now: Instant, agent: Incarnation) -> bool {
        let Some(service) = self.agents.get(&agent).map(|state| &state.description.service) else {
            return false;
        };
        let agents = self.by_service.get(service).into_iter().flatten();
        let agents: Vec<&AgentState> = agents.filter_map(|agent| self.agents.get(agent)).collect();
        let ejected = agents.iter().filter(|agent| agent.health.is_ejected()).count();
        let may_eject = (ejected + 1) * EJECTION_DIVISOR <= agents.len();
        let state = self.agents.get_mut(&agent);
        state.is_some_and(|state| state.health.record_failure(now, may_eject))
    }

    fn free_slots(
        &self,
        now: Instant,
        silence_limit: Duration,
        agent: Incarnation,
        state: &AgentState,
    ) -> u32 {
        if !self.is_usable(now, silence_limit, agent, state) || !state.health.allows_task(now) {
            return 0;
        }
        let reported_slots = self.loads.get(&agent).map_or(0, |latest| latest.load.busy_slots);
        let busy_slots = state.outstanding_slots.max(reported_slots + state.unreported_slots);
        state.description.slots.saturating_sub(busy_slots)
    }

    fn is_usable(
        &self,
        now: Instant,
        silence_limit: Duration,
        agent: Incarnation,
        state: &AgentState,
    ) -> bool {
        let Some(latest) = self.loads.get(&agent) else { return false };
        let is_silent = now.saturating_duration_since(latest.received_at) >= silence_limit;
        !is_silent && !latest.load.leaving && !state.is_drain_requested
    }
}
