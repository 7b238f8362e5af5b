//! Starting and refusing tasks, and replies to probes and queries.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use bulrushlatch_protocol::{
    answer::Reason,
    ids::{Incarnation, SubmissionId, slice_of},
};

use super::{Agent, MAX_REMEMBERED_TASKS, ReportReceiver, WaitingTask, not_run};
use crate::{
    effect::{Destination, Effect},
    message::{
        Message, Placement, Probe, Query, QueryReply, Start, StartTask, TaskError, TaskReport,
        TaskReportState,
    },
    process::task_memory::AcceptedTask,
};

impl Agent {
    /// Accepts the tasks that may start here, and permanently refuses the other placements.
    pub(super) fn handle_start(
        &mut self,
        now: Instant,
        from: Destination,
        start: Start,
        effects: &mut Vec<Effect>,
    ) {
        let stamp = self.started + Duration::from_millis(start.stamp_ms);
        let is_stale = now.saturating_duration_since(stamp) > self.limits.stamp_age;
        let mut reports = Vec::new();
        for task in start.tasks {
            let placement = task.placement.clone();
            let accepted = self.memory.get(&placement.submission_id, placement.index);
            if let Some(accepted) = accepted.filter(|task| !task.may_be_replaced_by(&placement)) {
                reports.push(accepted.report());
                continue;
            }
            match self.check_start(now, from.incarnation, &task, is_stale) {
                None => {
                    self.reservations.use_reservation(from.incarnation);
                    self.accept(now, from, task);
                }
                Some(refusal) => {
                    if refusal.reason == Reason::QueueFull {
                        self.reservations.record_refusal(from);
                    }
                    self.counters.refused_starts += 1;
                    self.memory.record_refusal(now, &placement);
                    reports.push(TaskReport { placement, state: TaskReportState::Failed(refusal) });
                }
            }
        }
        self.start_waiting_tasks(now, effects);
        self.send_report(now, from, reports, effects);
    }

    /// Returns why a task may not start, or `None` if it may; raises the fence of its slice.
    fn check_start(
        &mut self,
        now: Instant,
        from: Incarnation,
        task: &StartTask,
        is_stale: bool,
    ) -> Option<TaskError> {
        let placement = &task.placement;
        let slice = usize::from(slice_of(&placement.submission_id));
        let is_fenced = placement.epoch < self.fences[slice];
        if is_fenced || is_stale {
            self.counters.fenced_starts += 1;
            return Some(not_run(Reason::OwnerUnreachable, "the owner is out of date"));
        }
        self.fences[slice] = placement.epoch;
        if self.memory.is_refused(placement) {
            return Some(not_run(Reason::TargetUnreachable, "the placement was refused before"));
        }
        if self.is_leaving() {
            return Some(not_run(Reason::ShuttingDown, "the target is leaving"));
        }
        if task.slots > self.description.slots {
            return Some(not_run(Reason::NeverFits, "the target has too few slots"));
        }
        let unavailable_slots =
            self.busy_slots() + self.reservations.reserved_for_others(now, from);
        if unavailable_slots + task.slots > self.description.slots {
            return Some(not_run(Reason::QueueFull, "the target is busy"));
        }
        if self.memory.len() >= MAX_REMEMBERED_TASKS {
            return Some(not_run(Reason::IdTableFull, "the agent remembers too many tasks"));
        }
        None
    }

    fn accept(&mut self, now: Instant, from: Destination, task: StartTask) {
        let placement = task.placement.clone();
        let submission_id = placement.submission_id.clone();
        let receiver = self.report_receivers.entry(submission_id);
        let receiver = receiver.or_insert(ReportReceiver { destination: from, open_tasks: 0 });
        receiver.destination = from;
        receiver.open_tasks += 1;
        let state = TaskReportState::Accepted;
        self.memory.record_accepted(now, AcceptedTask { placement, state, slots: task.slots });
        let deadline = now + Duration::from_millis(task.timeout_ms);
        self.waiting.push_back(WaitingTask { task, deadline });
    }

    /// Starts waiting tasks in order of arrival while slots are free; fails expired ones.
    pub(super) fn start_waiting_tasks(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(next) = self.waiting.front() {
            if self.running_slots + next.task.slots > self.description.slots {
                return;
            }
            let Some(WaitingTask { mut task, deadline }) = self.waiting.pop_front() else { return };
            let remaining_time = deadline.saturating_duration_since(now);
            if remaining_time.is_zero() {
                self.expire_waiting_task(now, &task.placement, effects);
                continue;
            }
            task.timeout_ms = remaining_time.as_millis().max(1) as u64;
            self.running_slots += task.slots;
            self.running_tasks += 1;
            self.counters.started_tasks += 1;
            effects.push(Effect::Run(Box::new(task)));
        }
    }

    fn expire_waiting_task(
        &mut self,
        now: Instant,
        placement: &Placement,
        effects: &mut Vec<Effect>,
    ) {
        let error = not_run(Reason::TimedOut, "the deadline passed before the task started");
        if let Some(report) = self.mark_failed(placement, error) {
            self.report_end(now, report, effects);
        }
    }

    /// Marks a waiting task as failed. It stays in the task memory, so that this placement never
    /// starts.
    fn mark_failed(&mut self, placement: &Placement, error: TaskError) -> Option<TaskReport> {
        let task = self.memory.get_mut(&placement.submission_id, placement.index)?;
        task.state = TaskReportState::Failed(error);
        Some(task.report())
    }

    /// Reports the probed placements; one that was never received is permanently refused.
    pub(super) fn handle_probe(
        &mut self,
        now: Instant,
        from: Destination,
        probe: &Probe,
        effects: &mut Vec<Effect>,
    ) {
        let mut reports = Vec::new();
        for placement in &probe.placements {
            let known = self.memory.get(&placement.submission_id, placement.index);
            let Some(known) = known else {
                self.memory.record_refusal(now, placement);
                let refusal = not_run(Reason::TargetUnreachable, "the start was not received");
                let state = TaskReportState::Failed(refusal);
                reports.push(TaskReport { placement: placement.clone(), state });
                continue;
            };
            reports.push(known.report());
        }
        self.send_report(now, from, reports, effects);
    }

    /// Reports a submission's tasks to its new owner, and raises the fence of its slice.
    pub(super) fn handle_query(
        &mut self,
        now: Instant,
        from: Destination,
        query: &Query,
        effects: &mut Vec<Effect>,
    ) {
        let slice = usize::from(slice_of(&query.submission_id));
        if query.epoch < self.fences[slice] {
            return;
        }
        self.fences[slice] = query.epoch;
        if let Some(receiver) = self.report_receivers.get_mut(&query.submission_id) {
            receiver.destination = from;
        }
        let tasks = self.memory.reports(&query.submission_id);
        let submission_id = query.submission_id.clone();
        let reply = QueryReply { epoch: query.epoch, submission_id, tasks };
        effects.push(Effect::send(from, Message::QueryReply(reply)));
        self.start_waiting_tasks(now, effects);
    }

    /// Returns tasks that have not started to their owners, which place them elsewhere.
    pub(super) fn return_waiting_tasks(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for waiting in std::mem::take(&mut self.waiting) {
            let error = not_run(Reason::ShuttingDown, "the target is leaving");
            if let Some(report) = self.mark_failed(&waiting.task.placement, error) {
                self.report_end(now, report, effects);
            }
        }
    }

    /// Cancels the waiting tasks of a submission, without a report.
    pub(super) fn drop_waiting_tasks(&mut self, submission_id: &SubmissionId) {
        let is_dropped =
            |waiting: &WaitingTask| waiting.task.placement.submission_id == *submission_id;
        let waiting = std::mem::take(&mut self.waiting);
        let (dropped, kept): (VecDeque<WaitingTask>, _) = waiting.into_iter().partition(is_dropped);
        self.waiting = kept;
        for waiting in dropped {
            let error = not_run(Reason::Cancelled, "the submission was given up");
            self.mark_failed(&waiting.task.placement, error);
            self.close_task(submission_id);
        }
    }
}
