//! Frames exchanged with agents.

use std::time::Duration;

use crate::{
    clock::BootTime,
    frame::{AgentFrame, EntryFrame, Report},
    ids::{LinkId, ProcessId, TaskKey},
    outcome::{Obstacle, RunOutcome},
    size::Size,
};

use super::Entry;

/// Shortest interval between checks of all agents for due heartbeats: short against the interval of
/// heartbeats, long against that of events.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Entry {
    /// Returns the frames to send now, with their links.
    pub fn frames(&mut self, now: BootTime) -> Vec<(LinkId, EntryFrame)> {
        let timing = self.timing;
        if now.saturating_sub(self.heartbeats_checked_at) >= HEARTBEAT_CHECK_INTERVAL {
            self.heartbeats_checked_at = now;
            self.agents_with_orders.clear();
            let frames = self.agents.values_mut().filter_map(|view| {
                let frame = view.frame(now, &timing, &self.delegation.proofs)?;
                self.demand.add_due_statement(now, view);
                Some(frame)
            });
            return frames.collect();
        }
        let mut frames = Vec::new();
        for agent in self.agents_with_orders.drain(..) {
            let Some(view) = self.agents.get_mut(&agent) else { continue };
            if let Some(frame) = view.frame(now, &timing, &self.delegation.proofs) {
                self.demand.add_due_statement(now, view);
                frames.push(frame);
            }
        }
        frames
    }

    /// Handles a frame from an agent.
    ///
    /// A frame on a link that has been replaced is out of date and ignored.
    pub fn receive(&mut self, now: BootTime, agent: &ProcessId, link: LinkId, frame: AgentFrame) {
        self.detect_suspension(now);
        let Some(view) = self.agents.get_mut(agent) else { return };
        if view.link != Some(link) {
            return;
        }
        let accepted_before = view.offer.accepts;
        let before = view.free_if_available(now, &self.timing);
        let undelivered = view.receive(now, &frame);
        if frame.profile.is_some() {
            view.is_cordoned = self.cordons.contains(&view.profile.zone);
            view.is_in_own_zone = view.profile.zone == self.zone;
            view.service = self.services.add(&view.profile.service);
        }
        if view.has_pending_frame() {
            self.agents_with_orders.push(agent.clone());
        }
        let after = view.free_if_available(now, &self.timing);
        // Without such a change each waiting task would miss again. The next tick tries them anyway,
        // since agents may have become unavailable by silence.
        let may_place = frame.profile.is_some()
            || !frame.reports.is_empty()
            || !undelivered.is_empty()
            || may_free_capacity(before, after);
        let is_in_use = view.is_in_use;
        if frame.profile.is_some() || (frame.offer.accepts && !is_in_use && !accepted_before) {
            self.update_agents_in_use(now);
        }
        for task in undelivered {
            self.handle_undelivered(now, agent, &task);
        }
        for report in frame.reports {
            self.handle_report(now, agent, &report);
        }
        if may_place || self.is_placement_due {
            self.place_waiting_tasks(now);
        }
    }

    /// Handles a start order that was lost with its link.
    fn handle_undelivered(&mut self, now: BootTime, agent: &ProcessId, task: &TaskKey) {
        let run = self.agents.get(agent).and_then(|view| view.runs.get(task));
        let Some(order) = run.map(|run| run.order) else { return };
        let outcome = RunOutcome::NotStarted(Obstacle::Undelivered);
        self.handle_run_end(now, agent, task, order, outcome, Duration::ZERO);
    }

    /// Handles an agent's report of an ended run, unless it has been handled before.
    fn handle_report(&mut self, now: BootTime, agent: &ProcessId, report: &Report) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if !view.is_new_report(report.number) {
            return;
        }
        let run_time = Duration::from_millis(report.ran_ms);
        if let Some(job) = self.jobs.get_mut(&report.task.job)
            && let Some(task) = job.task_mut(&report.task)
        {
            task.attempt = task.attempt.max(report.attempt);
        }
        self.handle_run_end(now, agent, &report.task, report.order, report.outcome, run_time);
    }
}

/// Returns whether a task that missed with `before` free at an agent may be placed with `after`; `None`
/// stands for an agent that is not available. Losing an agent counts, as the reserve shrinks with it.
fn may_free_capacity(before: Option<Size>, after: Option<Size>) -> bool {
    match (before, after) {
        (None, None) => false,
        (Some(before), Some(after)) => !after.fits(&before),
        _ => true,
    }
}
