//! The tasks and refusals that an agent remembers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bulrushlatch_protocol::{
    answer::Reason,
    ids::{Epoch, SubmissionId, TaskIndex},
    verdict::Verdict,
};

use crate::message::{Attempt, Placement, TaskError, TaskReport, TaskReportState};

/// The tasks that the agent accepted, and the placements that it permanently refused.
///
/// A task is started at most once in the lifetime of the process, whatever the epochs and attempts
/// of its placements; a task that provably did not start may be accepted again.
#[derive(Debug, Default)]
pub struct TaskMemory {
    accepted: BTreeMap<SubmissionId, BTreeMap<TaskIndex, AcceptedTask>>,
    accepted_order: VecDeque<(Instant, SubmissionId, TaskIndex)>,
    refused: BTreeMap<(SubmissionId, TaskIndex), RefusedTask>,
    refused_order: VecDeque<(Instant, SubmissionId, TaskIndex)>,
    accepted_len: usize,
    /// Tasks that have a result, in the order in which they ended.
    results_order: VecDeque<(SubmissionId, TaskIndex)>,
    result_bytes: usize,
}

/// A task that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedTask {
    /// The placement that was accepted.
    pub placement: Placement,
    /// Current state, as reported to owners.
    pub state: TaskReportState,
    /// Slots that the task occupies until it ends.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct RefusedTask {
    /// Placements up to this one are refused.
    highest: (Epoch, Attempt),
    since: Instant,
}

impl TaskMemory {
    /// Returns the number of remembered accepted tasks.
    pub fn len(&self) -> usize {
        self.accepted_len
    }

    /// Returns whether no accepted task is remembered.
    pub fn is_empty(&self) -> bool {
        self.accepted_len == 0
    }

    /// Returns a remembered accepted task.
    pub fn get(&self, submission_id: &str, index: TaskIndex) -> Option<&AcceptedTask> {
        self.accepted.get(submission_id)?.get(&index)
    }

    /// Returns a remembered accepted task for modification.
    pub fn get_mut(&mut self, submission_id: &str, index: TaskIndex) -> Option<&mut AcceptedTask> {
        self.accepted.get_mut(submission_id)?.get_mut(&index)
    }

    /// Records a task that the agent accepted.
    pub fn record_accepted(&mut self, now: Instant, task: AcceptedTask) {
        let submission_id = task.placement.submission_id.clone();
        let index = task.placement.index;
        self.accepted_order.push_back((now, submission_id.clone(), index));
        let replaced = self.accepted.entry(submission_id).or_default().insert(index, task);
        self.accepted_len += usize::from(replaced.is_none());
    }

    /// Records that a task has a result, and drops the oldest results beyond `max_bytes`.
    ///
    /// A task whose result is dropped stays remembered as one that ran.
    pub fn record_result(
        &mut self,
        submission_id: &SubmissionId,
        index: TaskIndex,
        max_bytes: usize,
    ) {
        let Some(task) = self.get(submission_id, index) else { return };
        self.result_bytes += task.result_bytes();
        self.results_order.push_back((submission_id.clone(), index));
        while self.result_bytes > max_bytes {
            let Some((submission_id, index)) = self.results_order.pop_front() else { return };
            self.drop_result(&submission_id, index);
        }
    }

    fn drop_result(&mut self, submission_id: &str, index: TaskIndex) {
        let Some(task) = self.get_mut(submission_id, index) else { return };
        let bytes = task.result_bytes();
        if bytes > 0 {
            task.state = TaskReportState::Failed(TaskError {
                ran: Verdict::Ran,
                reason: Reason::ResultsDropped,
                message: "it ran, but its result is no longer kept".to_owned(),
            });
        }
        self.result_bytes = self.result_bytes.saturating_sub(bytes);
    }

    /// Returns whether a placement was permanently refused.
    pub fn is_refused(&self, placement: &Placement) -> bool {
        let key = (placement.submission_id.clone(), placement.index);
        let refused = self.refused.get(&key);
        refused.is_some_and(|refused| (placement.epoch, placement.attempt) <= refused.highest)
    }

    /// Records that a placement and all older ones of its task are permanently refused.
    pub fn record_refusal(&mut self, now: Instant, placement: &Placement) {
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

    /// Returns the indices of the accepted tasks of a submission.
    pub fn indices(&self, submission_id: &str) -> Vec<TaskIndex> {
        let tasks = self.accepted.get(submission_id);
        tasks.into_iter().flat_map(BTreeMap::keys).copied().collect()
    }

    /// Forgets ended tasks that were accepted before `oldest_accepted`.
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

    /// Forgets refusals made before `oldest_refused`; their placements have a stale stamp by then.
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
        let bytes = self.get(submission_id, index).map_or(0, AcceptedTask::result_bytes);
        self.result_bytes = self.result_bytes.saturating_sub(bytes);
        let Some(tasks) = self.accepted.get_mut(submission_id) else { return };
        self.accepted_len -= usize::from(tasks.remove(&index).is_some());
        if tasks.is_empty() {
            self.accepted.remove(submission_id);
        }
        let accepted = &self.accepted;
        let is_forgotten = |(id, index): &(SubmissionId, TaskIndex)| {
            accepted.get(id).is_none_or(|tasks| !tasks.contains_key(index))
        };
        while self.results_order.front().is_some_and(is_forgotten) {
            self.results_order.pop_front();
        }
    }
}

impl AcceptedTask {
    /// Returns whether the task provably did not start and a newer placement may start it.
    pub fn may_be_replaced_by(&self, placement: &Placement) -> bool {
        let TaskReportState::Failed(error) = &self.state else { return false };
        let is_newer =
            (self.placement.epoch, self.placement.attempt) < (placement.epoch, placement.attempt);
        is_newer && error.ran.is_safe_to_retry()
    }

    /// Returns the size of the kept result, or zero.
    fn result_bytes(&self) -> usize {
        match &self.state {
            TaskReportState::Done(done) => done.result.get().len(),
            _ => 0,
        }
    }

    /// Returns a report of the task's current state.
    pub fn report(&self) -> TaskReport {
        TaskReport { placement: self.placement.clone(), state: self.state.clone() }
    }
}
