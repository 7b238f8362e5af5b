//! Queue of tasks that wait for a free slot.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bulrushlatch_protocol::ids::{ServiceName, SubmissionId, TaskIndex, TeamId};

/// Identifies a task by its submission and its position in it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// Id of the submission.
    pub submission_id: SubmissionId,
    /// Position of the task in the submission.
    pub index: TaskIndex,
}

/// A task that waits for a free slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// Which task this is.
    pub key: TaskKey,
    /// Slots that the task occupies while it runs.
    pub slots: u32,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
}

/// Sort key of a task within its team: earliest deadline first.
type TeamSortKey = (Instant, TaskKey);

/// Fair queue that serves teams by weight and orders tasks by deadline within a team.
///
/// Deficit round robin: a team whose deficit is too small for its next task is credited with its
/// weight times the slots of that task, and keeps unspent slots as long as it has waiting tasks.
#[derive(Debug, Default)]
pub struct FairQueue {
    services: BTreeMap<ServiceName, ServiceQueue>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Every team with waiting tasks, exactly once, in the order in which they are visited.
    round_robin: VecDeque<TeamId>,
    /// Sum over the waiting tasks of slots times expected run time.
    work_slot_ms: u64,
}

#[derive(Debug, Default)]
struct TeamQueue {
    tasks: BTreeMap<TeamSortKey, QueuedTask>,
    /// Slots that the team may still use before it is credited again.
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
            service.round_robin.push_back(team.clone());
            team_queue.deficit_slots = 0;
        }
        service.work_slot_ms += task.work_slot_ms();
        team_queue.tasks.insert((deadline, task.key.clone()), task);
    }

    /// Removes a task that no longer needs to run.
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
            service.round_robin.retain(|waiting| waiting != team);
        }
    }

    /// Removes and returns the next task in fair order for which `fits` returns true.
    ///
    /// Only the first task of each team is tried, so that small tasks of the team cannot starve
    /// a large one.
    pub fn pop(
        &mut self,
        service: &ServiceName,
        weight_of: impl Fn(&TeamId) -> u64,
        mut fits: impl FnMut(&TeamId, &QueuedTask) -> bool,
    ) -> Option<QueuedTask> {
        let service = self.services.get_mut(service)?;
        for _ in 0..service.round_robin.len() {
            let team = service.round_robin.front()?.clone();
            let team_queue = service.teams.get_mut(&team)?;
            let (sort_key, task) = team_queue.tasks.first_key_value()?;
            if !fits(&team, task) {
                service.round_robin.rotate_left(1);
                continue;
            }
            let sort_key = sort_key.clone();
            let cost_slots = u64::from(task.slots);
            if team_queue.deficit_slots < cost_slots {
                team_queue.deficit_slots += weight_of(&team).max(1) * cost_slots;
            }
            team_queue.deficit_slots -= cost_slots;
            let task = team_queue.tasks.remove(&sort_key)?;
            service.work_slot_ms -= task.work_slot_ms();
            if team_queue.tasks.is_empty() {
                service.round_robin.pop_front();
            } else if team_queue.deficit_slots == 0 {
                service.round_robin.rotate_left(1);
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

    /// Returns the number of waiting tasks of all services.
    pub fn len(&self) -> usize {
        let teams = self.services.values().flat_map(|service| service.teams.values());
        teams.map(|team| team.tasks.len()).sum()
    }

    /// Returns whether no task is waiting.
    pub fn is_empty(&self) -> bool {
        self.services.values().all(|service| service.round_robin.is_empty())
    }

    /// Returns the work waiting at a service: the sum of slots times expected run time.
    pub fn work_slot_ms(&self, service: &ServiceName) -> u64 {
        self.services.get(service).map_or(0, |service| service.work_slot_ms)
    }

    /// Returns the services that have waiting tasks.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let waiting = self.services.iter().filter(|(_, service)| !service.round_robin.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    }
}

impl QueuedTask {
    fn work_slot_ms(&self) -> u64 {
        u64::from(self.slots) * self.expected_ms
    }
}
