//! Starting and ending the runs at the target.

use std::time::Duration;

use crate::{
    clock::BootTime,
    frame::Report,
    ids::TaskKey,
    outcome::{Obstacle, RunOutcome},
};

use super::{
    Agent, StopOrder, TargetOrder,
    target::{EndedRun, RunEnd, RunningRun, StartReply, TargetId, TargetStatus, TargetTimeMs},
};

/// Time for which a target counts as full after it refused a start for lack of capacity.
const FULL_DURATION: Duration = Duration::from_millis(20);
/// Increase of the attempt when the target has seen it or a higher one.
const ATTEMPT_STEP: u32 = 1;
/// Highest attempt to which a start is raised; the order counts as rejected if the target has seen
/// that too.
const MAX_RAISED_ATTEMPT: u32 = 64;

/// Start orders of one attempt that may go unanswered; after that, the run is stopped.
const MAX_UNANSWERED_STARTS: u32 = 3;

/// Content of a start order for the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The target's incarnation.
    pub target: TargetId,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// Passed to the target without being interpreted.
    pub payload: std::sync::Arc<str>,
    /// End of the requested lease, on the target's clock.
    pub lease_until_ms: TargetTimeMs,
}

impl Agent {
    /// Returns the content of a start order to send now, or `None` if it must not be sent; the run
    /// is then reported as not started, or stopped if an earlier order may have started it.
    pub fn prepare_start(&mut self, now: BootTime, task: &TaskKey) -> Option<StartRequest> {
        let run = self.runs.get(task)?;
        if run.is_stopping() {
            self.abandon_start(now, task, Obstacle::StaleOrder);
            return None;
        }
        if self.is_cordoned() {
            self.abandon_start(now, task, Obstacle::Unavailable);
            return None;
        }
        // The target may have shrunk since the order was accepted, or since it was sent first.
        if !self.runs_fit() {
            self.abandon_start(now, task, Obstacle::NoCapacity);
            return None;
        }
        let Some(lease_until_ms) = self.prepare_renewal(now) else {
            self.abandon_start(now, task, Obstacle::Unavailable);
            return None;
        };
        let target = self.target_id()?.clone();
        let run = self.runs.get_mut(task)?;
        run.start_sent_at = now;
        let (attempt, payload) = (run.attempt, run.payload.clone());
        Some(StartRequest { target, task: task.clone(), attempt, payload, lease_until_ms })
    }

    /// Ends a run whose start order is not sent. If an earlier order of the attempt went unanswered,
    /// the run may exist, and is stopped.
    fn abandon_start(&mut self, now: BootTime, task: &TaskKey, obstacle: Obstacle) {
        if self.runs.get(task).is_some_and(|run| run.unanswered_starts > 0) {
            self.request_stop(now, task);
        } else {
            self.finish(now, task, RunOutcome::NotStarted(obstacle));
        }
    }

    /// Handles the answer to a start order.
    pub fn handle_start_reply(
        &mut self,
        now: BootTime,
        start: &StartRequest,
        clock_ms: Option<TargetTimeMs>,
        reply: &StartReply,
    ) {
        if self.target_id() != Some(&start.target) {
            return;
        }
        if let (Some(target), Some(clock_ms)) = (&mut self.target, clock_ms) {
            target.record_answer(now, clock_ms);
        }
        let task = &start.task;
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.attempt != start.attempt {
            return;
        }
        match reply {
            StartReply::Started => {
                run.started_at = Some(now);
                let (attempt, entry) = (run.attempt, &run.owner);
                tracing::info!(%task, attempt, %entry, "run started");
            }
            StartReply::NoAnswer => self.handle_unanswered_start(now, task),
            // An earlier order of this attempt may have started a run that is over, or may still be
            // carried out. Only a stop and the status after it tell.
            StartReply::OldAttempt
            | StartReply::Rejected
            | StartReply::NoRoom
            | StartReply::Late
            | StartReply::Unhealthy
            | StartReply::Unsent
                if run.unanswered_starts > 0 =>
            {
                self.request_stop(now, task);
            }
            StartReply::OldAttempt if run.attempt < MAX_RAISED_ATTEMPT && !run.is_stopping() => {
                run.attempt += ATTEMPT_STEP;
                self.target_orders.push(TargetOrder::Start(task.clone()));
            }
            StartReply::OldAttempt | StartReply::Rejected => {
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::Rejected));
            }
            StartReply::NoRoom => {
                if let Some(target) = &mut self.target {
                    target.full_until = now + FULL_DURATION;
                }
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::NoCapacity));
            }
            StartReply::Late | StartReply::OtherTarget | StartReply::Unsent => {
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::Unavailable));
            }
            StartReply::Unhealthy => {
                self.record_failure(now, task);
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::Unavailable));
            }
        }
    }

    /// Sends an unanswered start order again, unless the run is known to have started. The target
    /// starts one attempt at most once, however often it is ordered.
    fn handle_unanswered_start(&mut self, now: BootTime, task: &TaskKey) {
        if let Some(target) = &mut self.target {
            target.record_no_answer(now);
        }
        let Some(run) = self.runs.get_mut(task) else { return };
        if run.started_at.is_some() || run.is_stopping() {
            return;
        }
        run.unanswered_starts += 1;
        let (attempt, unanswered) = (run.attempt, run.unanswered_starts);
        if unanswered < MAX_UNANSWERED_STARTS {
            tracing::info!(%task, attempt, unanswered, "start order unanswered: sending it again");
            self.target_orders.push(TargetOrder::Start(task.clone()));
        } else {
            tracing::info!(%task, attempt, unanswered, "start order unanswered: stopping the run");
            self.request_stop(now, task);
        }
    }

    /// Handles the answer to a stop order; returns whether the run is still tracked under that
    /// attempt.
    pub fn handle_stop_reply(
        &mut self,
        now: BootTime,
        stop: &StopOrder,
        clock_ms: TargetTimeMs,
    ) -> bool {
        if self.target_id() != Some(&stop.target) {
            return false;
        }
        if let Some(target) = &mut self.target {
            target.record_answer(now, clock_ms);
        }
        let run = stop.task.as_ref().and_then(|task| self.runs.get_mut(task));
        let Some(run) = run.filter(|run| run.attempt == stop.attempt) else { return false };
        run.stop_answered_at.get_or_insert(now);
        true
    }

    /// Handles the answer to a status poll of the target that was sent at `polled_at`.
    pub fn handle_status(
        &mut self,
        now: BootTime,
        polled_at: BootTime,
        id: &TargetId,
        status: &TargetStatus,
    ) {
        if self.target_id() != Some(id) {
            return;
        }
        if let Some(target) = &mut self.target {
            target.record_answer(now, status.clock_ms);
            target.silent_runs.clear();
            target.polled_at = target.polled_at.max(Some(polled_at));
        }
        for ended in &status.ended {
            self.apply_end(now, ended);
        }
        for running in &status.running {
            self.confirm_start(now, running);
            self.stop_if_unknown(now, running);
        }
        if let Some(target) = &mut self.target {
            target.update_unknown_runs(now, polled_at, status);
        }
        // Any tracked run may be among the unreadable ones.
        if status.unreadable_runs == 0 {
            self.finish_unlisted(now, polled_at, status);
        }
    }

    /// Returns the highest number of an ended run that was processed, to acknowledge it to the
    /// target.
    pub fn ends_seen(&self) -> u64 {
        self.target.as_ref().map_or(0, |target| target.ends_seen)
    }

    fn apply_end(&mut self, now: BootTime, ended: &EndedRun) {
        let Some(target) = &mut self.target else { return };
        if ended.number <= target.ends_seen {
            return;
        }
        target.ends_seen = ended.number;
        let Some(task) = &ended.task else { return };
        if self.runs.get(task).is_none_or(|run| run.attempt != ended.attempt) {
            return;
        }
        match ended.end {
            RunEnd::Done => {
                self.health.record_success();
                self.finish(now, task, RunOutcome::Done);
            }
            RunEnd::Failed => {
                self.record_failure(now, task);
                self.finish(now, task, RunOutcome::Failed);
            }
            RunEnd::Stopped => self.finish(now, task, RunOutcome::Stopped),
            RunEnd::Lapsed => self.finish(now, task, RunOutcome::Lost),
        }
    }

    /// Records the start of a tracked run that the target lists as running.
    fn confirm_start(&mut self, now: BootTime, running: &RunningRun) {
        let run = running.task.as_ref().and_then(|task| self.runs.get_mut(task));
        if let Some(run) = run.filter(|run| run.attempt == running.attempt) {
            run.started_at.get_or_insert(now);
            run.over_by = None;
        }
    }

    /// Finishes the runs that are certainly over because the status does not list them.
    fn finish_unlisted(&mut self, now: BootTime, polled_at: BootTime, status: &TargetStatus) {
        let is_listed = |task: &TaskKey| {
            status.running.iter().any(|running| running.task.as_ref() == Some(task))
        };
        let runs = self.runs.values();
        let unlisted =
            runs.filter(|run| run.is_over_if_unlisted(polled_at) && !is_listed(&run.task));
        let unlisted: Vec<TaskKey> = unlisted.map(|run| run.task.clone()).collect();
        for task in unlisted {
            let is_stopping = self.runs.get(&task).is_some_and(|run| run.is_stopping());
            let outcome = if is_stopping { RunOutcome::Stopped } else { RunOutcome::Lost };
            self.finish(now, &task, outcome);
        }
    }

    /// Settles the runs that may have begun at a restarted target which has not listed them: their
    /// leases have expired, unless the target is known and its lease is renewed.
    pub(super) fn settle_runs_of_restarted_target(&mut self, now: BootTime) {
        let due = self.runs.values().filter(|run| run.over_by.is_some_and(|at| now > at));
        for task in due.map(|run| run.task.clone()).collect::<Vec<_>>() {
            if self.target.is_none() {
                self.finish(now, &task, RunOutcome::Lost);
                continue;
            }
            if let Some(run) = self.runs.get_mut(&task) {
                run.over_by = None;
            }
            self.request_stop(now, &task);
        }
    }

    /// Finishes all runs as lost once the lease of a target that does not answer has expired.
    pub(super) fn finish_runs_of_silent_target(&mut self, now: BootTime) {
        let Some(target) = &self.target else { return };
        let answered_at = target.answered_at.unwrap_or_default();
        let is_silent = now.saturating_sub(answered_at) > self.timing.contact_limit;
        if !is_silent || now <= target.lease_ends_at {
            return;
        }
        // The lease of an earlier incarnation bounds those that may have begun at a restarted target.
        let over = self.runs.values().filter(|run| run.over_by.is_none());
        for task in over.map(|run| run.task.clone()).collect::<Vec<_>>() {
            self.record_silent_run(now, &task);
            self.finish(now, &task, RunOutcome::Lost);
        }
    }

    /// Counts a failure against the target, unless the task has failed before, or the last counted
    /// failure since a success was of the same job; not counted during an ejection.
    pub(super) fn record_failure(&mut self, now: BootTime, task: &TaskKey) {
        let has_failed_before = self.runs.get(task).is_some_and(|run| run.has_failed);
        if !has_failed_before && self.health.record_failure(&task.job, now) {
            tracing::info!(%task, "target ejected: tasks of different jobs fail in a row");
            self.mark_pending_update();
        }
    }

    /// Removes a run, reports its outcome to its entry and starts tasks that wait for its capacity.
    pub(super) fn finish(&mut self, now: BootTime, task: &TaskKey, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(task) else { return };
        match outcome {
            RunOutcome::Done => self.counters.done += 1,
            RunOutcome::Failed => self.counters.failed += 1,
            RunOutcome::Stopped => self.counters.stopped += 1,
            RunOutcome::Lost => self.counters.lost += 1,
            RunOutcome::NotStarted(_) => self.counters.not_started += 1,
        }
        if outcome != RunOutcome::Done {
            let attempt = run.attempt;
            tracing::info!(%task, attempt, entry = %run.owner, %outcome, "run ended");
        }
        let report = Report {
            number: 0,
            order: run.order,
            task: run.task,
            attempt: run.attempt,
            outcome,
            ran_ms: now.saturating_sub(run.start_sent_at).as_millis() as u64,
        };
        if let Some(session) = self.sessions.get_mut(&run.owner) {
            session.push(report);
        }
        self.start_queued(now);
        self.mark_pending_update();
    }
}
