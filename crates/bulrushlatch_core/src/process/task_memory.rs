//! What an agent remembers of tasks.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bulrushlatch_protocol::ids::{Epoch, SubmissionId, TaskIndex};

use crate::message::{Attempt, Placement, TaskReport, TaskReportState};

/// Every task that the agent accepted, and every placement that it refused for good.
///
/// A task is handed to the target at most once in the life of the process, whatever the epochs
/// and attempts of its placements; one that provably did not start may be accepted again.
#[derive(Debug, Default)]
pub struct TaskMemory {
    accepted: BTreeMap<SubmissionId, BTreeMap<TaskIndex, AcceptedTask>>,
    accepted_order: VecDeque<(Instant, SubmissionId, TaskIndex)>,
    refused: BTreeMap<(SubmissionId, TaskIndex), RefusedTask>,
    refused_order: VecDeque<(Instant, SubmissionId, TaskIndex)>,
    accepted_len: usize,
}

/// A task that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedTask {
    /// The placement that was accepted.
    pub placement: Placement,
    /// How far it is.
    pub state: TaskReportState,
    /// Slots that it takes until it ends.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct RefusedTask {
    /// Placements up to this one are refused.
    highest: (Epoch, Attempt),
    since: Instant,
}

impl TaskMemory {
    /// Returns the number of accepted tasks that are remembered.
    pub fn len(&self) -> usize {
        self.accepted_len
    }

    /// Returns whether no accepted task is remembered.
    pub fn is_empty(&self) -> bool {
        self.accepted_len == 0
    }

    /// Returns an accepted task.
    pub fn get(&self, submission_id: &str, index: TaskIndex) -> Option<&AcceptedTask> {
        self.accepted.get(submission_id)?.get(&index)
    }

    /// Returns an accepted task to change.
    pub fn get_mut(&mut self, submission_id: &str, index: TaskIndex) -> Option<&mut AcceptedTask> {
        self.accepted.get_mut(submission_id)?.get_mut(&index)
    }

    /// Remembers an accepted task.
    pub fn accept(&mut self, now: Instant, task: AcceptedTask) {
        let submission_id = task.placement.submission_id.clone();
        let index = task.placement.index;
        self.accepted_order.push_back((now, submission_id.clone(), index));
        let replaced = self.accepted.entry(submission_id).or_default().insert(index, task);
        self.accepted_len += usize::from(replaced.is_none());
    }

    /// Returns whether a placement was refused for good.
    pub fn is_refused(&self, placement: &Placement) -> bool {
        let key = (placement.submission_id.clone(), placement.index);
        let refused = self.refused.get(&key);
        refused.is_some_and(|refused| (placement.epoch, placement.attempt) <= refused.highest)
    }

    /// Refuses a placement, and all older ones of its task, for good.
    pub fn refuse(&mut self, now: Instant, placement: &Placement) {
        let key = (placement.submission_id.clone(), placement.index);
        self.refused_order.push_back((now, key.0.clone(), key.1));
        let highest = (placement.epoch, placement.attempt);
        let refused = self.refused.entry(key).or_insert(RefusedTask { highest, since: now });
        refused.highest = refused.highest.max(highest);
        refused.since = now;
    }

    /// Returns reports on all accepted tasks of a submission.
    pub fn reports(&self, submission_id: &str) -> Vec<TaskReport> {
        let tasks = self.accepted.get(submission_id).into_iter().flat_map(BTreeMap::values);
        tasks.map(AcceptedTask::report).collect()
    }

    /// Returns the positions of the accepted tasks of a submission.
    pub fn indices(&self, submission_id: &str) -> Vec<TaskIndex> {
        let tasks = self.accepted.get(submission_id);
        tasks.into_iter().flat_map(BTreeMap::keys).copied().collect()
    }

    /// Forgets tasks accepted before `oldest_accepted` that have ended.
    pub fn forget_accepted(&mut self, now: Instant, oldest_accepted: Instant) {
        while let Some((since, _, _)) = self.accepted_order.front() {
            if *since >= oldest_accepted {
                return;
            }
            let Some((_, submission_id, index)) = self.accepted_order.pop_front() else { return };
            let state = self.get(&submission_id, index).map(|task| &task.state);
            if matches!(state, Some(TaskReportState::Accepted)) {
                self.accepted_order.push_back((now, submission_id, index));
                continue;
            }
            self.remove_accepted(&submission_id, index);
        }
    }

    /// Forgets refusals made before `oldest_refused`; older placements are refused by age.
    pub fn forget_refused(&mut self, oldest_refused: Instant) {
        while let Some((since, _, _)) = self.refused_order.front() {
            if *since >= oldest_refused {
                return;
            }
            let Some((_, submission_id, index)) = self.refused_order.pop_front() else { return };
            let key = (submission_id, index);
            if self.refused.get(&key).is_some_and(|refused| refused.since < oldest_refused) {
                self.refused.remove(&key);
            }
        }
    }

    fn remove_accepted(&mut self, submission_id: &str, index: TaskIndex) {
        let Some(tasks) = self.accepted.get_mut(submission_id) else { return };
        self.accepted_len -= usize::from(tasks.remove(&index).is_some());
        if tasks.is_empty() {
            self.accepted.remove(submission_id);
        }
    }
}

impl AcceptedTask {
    /// Returns whether the task provably did not start and a newer placement may start it.
    pub fn may_be_replaced_by(&self, placement: &Placement) -> bool {
        let TaskReportState::Failed(error) = &self.state else { return false };
        let is_newer =
            (self.placement.epoch, self.placement.attempt) < (placement.epoch, placement.attempt);
        is_newer && error.ran.allows_another_placement()
    }

    /// Returns the report on the task.
    pub fn report(&self) -> TaskReport {
        TaskReport { placement: self.placement.clone(), state: self.state.clone() }
    }
}
