//! Handling of orders from entries.

use crate::{
    clock::BootTime,
    frame::{Action, EntryFrame, Report, StartOrder},
    ids::{LinkId, OrderNumber, ProcessId, TaskKey},
    outcome::{Obstacle, RunOutcome},
    size::Size,
};

use super::{Agent, TargetOrder, run::Run, start_queue::QueuedStart};

impl Agent {
    /// Handles a frame from an entry.
    ///
    /// Ignores a frame from a link that has been replaced, since its orders may be outdated.
    pub fn receive(&mut self, now: BootTime, entry: &ProcessId, link: LinkId, frame: EntryFrame) {
        let Some(session) = self.sessions.get_mut(entry) else { return };
        if session.link != Some(link) {
            return;
        }
        session.received_at = now;
        // An entry orders stops with the next frame that it sends, so a job that it has ended since was
        // open when it sent the frame before this one.
        let job_open_at = session.alive_at;
        // The entry echoes a stamp of this agent, so it was alive after the stamp had been sent.
        let stamp = BootTime::from_millis(frame.stamp_echo_ms).min(now);
        session.alive_at = session.alive_at.max(stamp);
        session.is_in_use = frame.is_in_use;
        session.acknowledge(frame.reports_seen);
        for order in frame.orders {
            let Some(session) = self.sessions.get_mut(entry) else { return };
            if order.number <= session.orders_seen {
                continue;
            }
            session.orders_seen = order.number;
            session.has_pending_update = true;
            match order.action {
                Action::Start(start) => self.handle_start(now, entry, order.number, start),
                Action::Stop { task, order, is_stuck: true } => {
                    self.handle_stuck_run(now, entry, &task, order);
                }
                Action::Stop { task, order, is_stuck: false } => {
                    self.handle_job_end(now, entry, &task, order, job_open_at);
                }
            }
        }
    }

    fn handle_start(
        &mut self,
        now: BootTime,
        entry: &ProcessId,
        order: OrderNumber,
        start: StartOrder,
    ) {
        let unclaimed = self.unclaimed(now);
        let obstacle = self.start_obstacle(now, entry, &start, &unclaimed);
        let queued = QueuedStart { entry: entry.clone(), order, start, queued_at: now };
        match obstacle {
            None => self.begin_run(now, queued),
            Some(Obstacle::NoCapacity) => self.queue_start(queued),
            Some(obstacle) => self.refuse_start(queued, obstacle),
        }
    }

    /// Tracks a run and orders its start at the target.
    pub(super) fn begin_run(&mut self, now: BootTime, queued: QueuedStart) {
        self.counters.starts += 1;
        let QueuedStart { entry, order, start, .. } = queued;
        let task = start.task;
        let run = Run {
            task: task.clone(),
            attempt: start.attempt,
            size: start.size,
            owner: entry,
            order,
            payload: start.payload,
            has_failed: start.has_failed,
            start_sent_at: now,
            started_at: None,
            unanswered_starts: 0,
            over_by: None,
            job_open_at: None,
            stop_requested_at: None,
            stop_sent_at: None,
            stop_answered_at: None,
        };
        self.runs.insert(task.clone(), run);
        self.target_orders.push(TargetOrder::Start(task));
        self.mark_pending_update();
    }

    /// Returns why a task may not start with `free` capacity, if it may not.
    pub(super) fn start_obstacle(
        &self,
        now: BootTime,
        entry: &ProcessId,
        start: &StartOrder,
        free: &Size,
    ) -> Option<Obstacle> {
        if now.saturating_sub(self.alive_at(entry)) > self.timing.contact_limit {
            Some(Obstacle::StaleOrder)
        } else if !self.accepts(now) {
            Some(Obstacle::Unavailable)
        } else if self.runs.contains_key(&start.task) || self.start_queue.contains(&start.task) {
            Some(Obstacle::StillRunning)
        } else if !start.size.fits(free) || self.is_isolated_from(now, &start.task.job) {
            Some(Obstacle::NoCapacity)
        } else {
            None
        }
    }

    pub(super) fn refuse_start(&mut self, queued: QueuedStart, obstacle: Obstacle) {
        let QueuedStart { entry, order, start, .. } = queued;
        self.counters.not_started += 1;
        let is_cordoned = self.is_cordoned();
        tracing::info!(task = %start.task, %entry, %obstacle, is_cordoned, "start refused");
        let report = Report {
            number: 0,
            order,
            task: start.task,
            attempt: start.attempt,
            outcome: RunOutcome::NotStarted(obstacle),
            ran_ms: 0,
        };
        if let Some(session) = self.sessions.get_mut(&entry) {
            session.push(report);
        }
    }

    /// Handles the order to stop a run that counts as stuck. The job stays open.
    fn handle_stuck_run(
        &mut self,
        now: BootTime,
        entry: &ProcessId,
        task: &TaskKey,
        order: OrderNumber,
    ) {
        if self.cancel_queued_start(entry, order) || self.ordered_run(entry, task, order).is_none()
        {
            return;
        }
        self.record_failure(now, task);
        self.request_stop(now, task);
    }

    /// Handles the order to stop a run whose job has ended; the job was open at `job_open_at`.
    fn handle_job_end(
        &mut self,
        now: BootTime,
        entry: &ProcessId,
        task: &TaskKey,
        order: OrderNumber,
        job_open_at: BootTime,
    ) {
        if self.cancel_queued_start(entry, order) {
            return;
        }
        let Some(run) = self.ordered_run(entry, task, order) else { return };
        run.job_open_at.get_or_insert(job_open_at);
        self.request_stop(now, task);
    }

    /// Returns the run of a task that the entry ordered with the start order of the given number.
    fn ordered_run(
        &mut self,
        entry: &ProcessId,
        task: &TaskKey,
        order: OrderNumber,
    ) -> Option<&mut Run> {
        let run = self.runs.get_mut(task)?;
        (run.order == order && run.owner == *entry).then_some(run)
    }
}
