//! Tasks that wait for a free slot.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bulrushlatch_protocol::ids::{ServiceName, SubmissionId, TaskIndex, TeamId};

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// Submission of the task.
    pub submission_id: SubmissionId,
    /// Position of the task.
    pub index: TaskIndex,
}

/// A waiting task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// The task.
    pub key: TaskKey,
    /// Slots that it takes.
    pub slots: u32,
    /// Expected run time.
    pub expected_ms: u64,
}

/// Position of a task among those of its team: the earliest deadline goes first.
type TeamOrder = (Instant, TaskKey);

/// Waiting tasks, shared out among teams by weight and ordered by deadline within a team.
///
/// A deficit round robin: a team that is visited gets slots to spend in proportion to its
/// weight, and keeps what it did not spend while it has tasks waiting.
#[derive(Debug, Default)]
pub struct FairQueue {
    services: BTreeMap<ServiceName, ServiceQueue>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Every team with waiting tasks, exactly once, in the order of the next visits.
    round: VecDeque<TeamId>,
    /// Sum over the waiting tasks of slots times expected run time.
    work_slot_ms: u64,
}

#[derive(Debug, Default)]
struct TeamQueue {
    tasks: BTreeMap<TeamOrder, QueuedTask>,
    /// Slots that the team may still take in this visit.
    deficit_slots: u64,
}

impl FairQueue {
    /// Adds a task.
    pub fn push(
        &mut self,
        service: &ServiceName,
        team: &TeamId,
        deadline: Instant,
        task: QueuedTask,
    ) {
        let service = self.services.entry(service.clone()).or_default();
        let team_queue = service.teams.entry(team.clone()).or_default();
        if team_queue.tasks.is_empty() {
            service.round.push_back(team.clone());
            team_queue.deficit_slots = 0;
        }
        service.work_slot_ms += task.work_slot_ms();
        team_queue.tasks.insert((deadline, task.key.clone()), task);
    }

    /// Removes a task that need not run any more.
    pub fn remove(
        &mut self,
        service: &ServiceName,
        team: &TeamId,
        deadline: Instant,
        key: &TaskKey,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        let Some(team_queue) = service.teams.get_mut(team) else { return };
        let Some(task) = team_queue.tasks.remove(&(deadline, key.clone())) else { return };
        service.work_slot_ms -= task.work_slot_ms();
        if team_queue.tasks.is_empty() {
            service.round.retain(|waiting| waiting != team);
        }
    }

    /// Takes the next task for which `fits` holds; teams are asked in fair order.
    ///
    /// Only the first task of each team is tried, so that a large one is not passed by for good.
    pub fn pop(
        &mut self,
        service: &ServiceName,
        weight_of: impl Fn(&TeamId) -> u64,
        mut fits: impl FnMut(&TeamId, &QueuedTask) -> bool,
    ) -> Option<QueuedTask> {
        let service = self.services.get_mut(service)?;
        for _ in 0..service.round.len() {
            let team = service.round.front()?.clone();
            let team_queue = service.teams.get_mut(&team)?;
            let (order, task) = team_queue.tasks.first_key_value()?;
            if !fits(&team, task) {
                service.round.rotate_left(1);
                continue;
            }
            let order = order.clone();
            let cost_slots = u64::from(task.slots);
            if team_queue.deficit_slots < cost_slots {
                team_queue.deficit_slots += weight_of(&team).max(1) * cost_slots;
            }
            team_queue.deficit_slots -= cost_slots;
            let task = team_queue.tasks.remove(&order)?;
            service.work_slot_ms -= task.work_slot_ms();
            if team_queue.tasks.is_empty() {
                service.round.pop_front();
            } else if team_queue.deficit_slots == 0 {
                service.round.rotate_left(1);
            }
            return Some(task);
        }
        None
    }

    /// Returns the number of waiting tasks of a team at a service.
    pub fn team_len(&self, service: &ServiceName, team: &TeamId) -> usize {
        let teams = self.services.get(service).map(|service| &service.teams);
        teams.and_then(|teams| teams.get(team)).map_or(0, |queue| queue.tasks.len())
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        let teams = self.services.values().flat_map(|service| service.teams.values());
        teams.map(|team| team.tasks.len()).sum()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(|service| service.round.is_empty())
    }

    /// Returns the sum over the waiting tasks of a service of slots times expected run time.
    pub fn work_slot_ms(&self, service: &ServiceName) -> u64 {
        self.services.get(service).map_or(0, |service| service.work_slot_ms)
    }

    /// Returns the services that have waiting tasks.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let waiting = self.services.iter().filter(|(_, service)| !service.round.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }
}

impl QueuedTask {
    fn work_slot_ms(&self) -> u64 {
        u64::from(self.slots) * self.expected_ms
    }
}
