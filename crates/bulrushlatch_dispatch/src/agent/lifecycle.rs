//! The runs at the target: what begins them, what ends them.

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

/// Pause before a stop order that had no effect is sent again.
const STOP_PAUSE: Duration = Duration::from_millis(40);
/// Time for which a target that refused for want of room is taken as full.
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// Attempts by which a start is raised when the target has seen higher ones.
const ATTEMPT_STEP: u32 = 1;
/// Highest attempt that is tried.
const MOST_ATTEMPTS: u32 = 64;

/// A start order for the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// The life of the target.
    pub target: TargetId,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub attempt: u32,
    /// Handed to the target unread.
    pub payload: std::sync::Arc<str>,
    /// End of the lease, on the target's clock.
    pub lease_until_ms: TargetTimeMs,
}

impl Agent {
    /// Returns the content of a start order that goes out now; none if it must not.
    pub fn prepare_start(&mut self, now: BootTime, task: &TaskKey) -> Option<StartRequest> {
        let run = self.runs.get(task)?;
        if run.is_stopping() {
            self.finish(now, task, RunOutcome::NotStarted(Obstacle::StaleOrder));
            return None;
        }
        let Some(lease_until_ms) = self.prepare_renewal(now) else {
            self.finish(now, task, RunOutcome::NotStarted(Obstacle::Unavailable));
            return None;
        };
        let target = self.target_id()?.clone();
        let run = self.runs.get_mut(task)?;
        run.since = now;
        let (attempt, payload) = (run.attempt, run.payload.clone());
        Some(StartRequest { target, task: task.clone(), attempt, payload, lease_until_ms })
    }

    /// Takes the answer to a start order.
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
            target.answered(now, clock_ms);
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
            StartReply::OldAttempt if run.attempt < MOST_ATTEMPTS && !run.is_stopping() => {
                run.attempt += ATTEMPT_STEP;
                self.orders.push(TargetOrder::Start(task.clone()));
            }
            StartReply::OldAttempt | StartReply::Rejected => {
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::Rejected));
            }
            StartReply::NoRoom => {
                if let Some(target) = &mut self.target {
                    target.full_until = now + FULL_PAUSE;
                }
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::NoRoom));
            }
            StartReply::Late | StartReply::OtherTarget => {
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::Unavailable));
            }
            StartReply::Unhealthy => {
                self.note_failure(now, task);
                self.finish(now, task, RunOutcome::NotStarted(Obstacle::Unavailable));
            }
            StartReply::NoAnswer => {
                tracing::info!(%task, attempt = start.attempt, "start unanswered: stopping it");
                self.want_stop(now, task);
            }
        }
    }

    /// Takes the answer to a stop order; returns whether the end of the run is still to be seen.
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
            target.answered(now, clock_ms);
        }
        let run = stop.task.as_ref().and_then(|task| self.runs.get_mut(task));
        let Some(run) = run.filter(|run| run.attempt == stop.attempt) else { return false };
        run.stop_answered_at = Some(now);
        true
    }

    /// Takes a look at the target that was asked for at `asked_at`.
    pub fn handle_status(
        &mut self,
        now: BootTime,
        asked_at: BootTime,
        id: &TargetId,
        look: &TargetStatus,
    ) {
        if self.target_id() != Some(id) {
            return;
        }
        if let Some(target) = &mut self.target {
            target.answered(now, look.clock_ms);
        }
        for ended in &look.ended {
            self.take_end(now, ended);
        }
        for running in &look.running {
            self.take_running(now, running);
        }
        self.end_unlisted(now, asked_at, look);
    }

    /// Returns the highest end that was processed.
    pub fn ends_seen(&self) -> u64 {
        self.target.as_ref().map_or(0, |target| target.ends_seen)
    }

    fn take_end(&mut self, now: BootTime, ended: &EndedRun) {
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
                self.health.succeeded();
                self.finish(now, task, RunOutcome::Done);
            }
            RunEnd::Failed => {
                self.note_failure(now, task);
                self.finish(now, task, RunOutcome::Failed);
            }
            RunEnd::Stopped => self.finish(now, task, RunOutcome::Stopped),
            RunEnd::Lapsed => self.finish(now, task, RunOutcome::Lost),
        }
    }

    fn take_running(&mut self, now: BootTime, running: &RunningRun) {
        let run = running.task.as_ref().and_then(|task| self.runs.get(task));
        if run.is_some_and(|run| run.attempt == running.attempt) {
            return;
        }
        let Some(target) = &mut self.target else { return };
        let key = (running.name.clone(), running.attempt);
        let last = target.unknown_runs.get(&key).copied();
        if last.is_some_and(|at| now.saturating_sub(at) < STOP_PAUSE) {
            return;
        }
        if last.is_none() {
            self.counters.unknown_runs += 1;
            tracing::info!(task = %running.name, attempt = running.attempt, "unknown run: stopping it");
        }
        target.unknown_runs.insert(key, now);
        self.orders.push(TargetOrder::Stop(StopOrder {
            target: target.announcement.id.clone(),
            task: None,
            name: running.name.clone(),
            attempt: running.attempt,
        }));
    }

    fn end_unlisted(&mut self, now: BootTime, asked_at: BootTime, look: &TargetStatus) {
        let is_listed =
            |task: &TaskKey| look.running.iter().any(|running| running.task.as_ref() == Some(task));
        let runs = self.runs.values();
        let over = runs.filter(|run| run.is_over_if_unlisted(asked_at) && !is_listed(&run.task));
        let over: Vec<TaskKey> = over.map(|run| run.task.clone()).collect();
        for task in over {
            let is_stopping = self.runs.get(&task).is_some_and(|run| run.is_stopping());
            let outcome = if is_stopping { RunOutcome::Stopped } else { RunOutcome::Lost };
            self.finish(now, &task, outcome);
        }
        if let Some(target) = &mut self.target {
            target.unknown_runs.retain(|(name, attempt), _| {
                look.running.iter().any(|it| it.name == *name && it.attempt == *attempt)
            });
        }
    }

    /// Wants the end of a run that may be at the target.
    pub(super) fn want_stop(&mut self, now: BootTime, task: &TaskKey) {
        let Some(run) = self.runs.get_mut(task) else { return };
        run.stop_wanted_at.get_or_insert(now);
        self.send_stop(now, task);
    }

    fn send_stop(&mut self, now: BootTime, task: &TaskKey) {
        let Some(target) = self.target_id().cloned() else { return };
        let Some(run) = self.runs.get_mut(task) else { return };
        run.stop_sent_at = Some(now);
        let (task, attempt) = (Some(task.clone()), run.attempt);
        self.orders.push(TargetOrder::Stop(StopOrder {
            target,
            task,
            name: String::new(),
            attempt,
        }));
    }

    pub(super) fn repeat_stops(&mut self, now: BootTime) {
        let due = self.runs.values().filter(|run| {
            let sent_at = run.stop_sent_at.unwrap_or_default();
            run.is_stopping() && now.saturating_sub(sent_at) >= STOP_PAUSE
        });
        for task in due.map(|run| run.task.clone()).collect::<Vec<_>>() {
            self.send_stop(now, &task);
        }
    }

    /// Stops the runs of entries that have been silent for too long.
    pub(super) fn stop_orphans(&mut self, now: BootTime) {
        let limit = self.timing.contact_limit;
        let contacts = &self.contacts;
        let orphans = self.runs.values().filter(|run| {
            let heard_at = contacts.get(&run.owner).map_or(BootTime::ZERO, |it| it.heard_at);
            !run.is_stopping() && now.saturating_sub(heard_at) > limit
        });
        for task in orphans.map(|run| run.task.clone()).collect::<Vec<_>>() {
            if let Some(run) = self.runs.get(&task) {
                let heard_at = self.contacts.get(&run.owner).map(|contact| contact.heard_at);
                let silent_ms = heard_at.map(|at| now.saturating_sub(at).as_millis() as u64);
                tracing::info!(%task, entry = %run.owner, silent_ms, "entry silent: stopping its run");
            }
            self.counters.orphaned += 1;
            self.want_stop(now, &task);
        }
    }

    /// Ends all runs once no lease of a target that does not answer can hold any more.
    pub(super) fn give_up_silent_target(&mut self, now: BootTime) {
        let Some(target) = &self.target else { return };
        let answered_at = target.answered_at.unwrap_or_default();
        let is_silent = now.saturating_sub(answered_at) > self.timing.contact_limit;
        if !is_silent || now <= target.lease_ends_at {
            return;
        }
        for task in self.runs.keys().cloned().collect::<Vec<_>>() {
            self.finish(now, &task, RunOutcome::Lost);
        }
    }

    /// Counts a failure against the target, unless it is one job that keeps failing, here or elsewhere.
    pub(super) fn note_failure(&mut self, now: BootTime, task: &TaskKey) {
        let says_little = self.runs.get(task).is_some_and(|run| run.has_failed);
        if !says_little && self.health.failed(&task.job, now) {
            tracing::info!(%task, "target suspended: tasks of different jobs fail in a row");
            self.note_news();
        }
    }

    /// Takes a run off the ledger and tells its entry.
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
        if !matches!(outcome, RunOutcome::NotStarted(_)) {
            self.released_cpu_millis += run.size.cpu_millis;
        }
        let report = Report {
            number: 0,
            order: run.order,
            task: run.task,
            attempt: run.attempt,
            outcome,
            ran_ms: now.saturating_sub(run.since).as_millis() as u64,
        };
        if let Some(contact) = self.contacts.get_mut(&run.owner) {
            contact.push(report);
        }
        self.note_news();
    }
}
