//! Incarnations of the target: which one is present, and when one is over.

use crate::{clock::BootTime, outcome::RunOutcome};

use std::collections::BTreeMap;

use super::{
    Agent,
    health::Health,
    run::Run,
    target::{Announcement, PollError, Target, TargetId},
};

/// Past incarnations of the target that are remembered, beyond which the smallest id is dropped;
/// fewer start beside one agent in a day.
const MAX_PAST_TARGETS: usize = 64;

/// How an incarnation of the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum TargetEnd {
    /// It had announced that it leaves.
    Left,
    /// It ended without having announced that.
    Crashed,
}

impl Agent {
    /// Handles the announcement of a target.
    pub fn handle_announcement(&mut self, announcement: Announcement) {
        if self.past_targets.contains(&announcement.id) {
            tracing::info!(target = %announcement.id, "announcement of a past target ignored");
            return;
        }
        match &self.target {
            None => self.adopt_target(announcement),
            Some(target) if target.announcement.id == announcement.id => {
                self.update_announcement(announcement);
            }
            // A poll of the target's address shows which of the two is running.
            Some(target) => {
                tracing::info!(
                    present = %target.announcement.id, other = %announcement.id,
                    "announcement of another target"
                );
                self.successor = Some(announcement);
            }
        }
    }

    fn adopt_target(&mut self, announcement: Announcement) {
        tracing::info!(
            target = %announcement.id, service = %announcement.service,
            cpu_millis = announcement.capacity.cpu_millis, "target found"
        );
        self.target = Some(Target::new(announcement));
        self.resend_profiles();
        self.health = Health::default();
        self.mark_pending_update();
    }

    fn update_announcement(&mut self, announcement: Announcement) {
        let Some(target) = &mut self.target else { return };
        if target.announcement.sequence >= announcement.sequence {
            return;
        }
        let was_leaving = target.announcement.is_leaving;
        let is_leaving = announcement.is_leaving;
        let old_capacity = target.announcement.capacity;
        target.announcement = announcement;
        if old_capacity != target.announcement.capacity {
            let Announcement { id, capacity, .. } = &target.announcement;
            tracing::info!(target = %id, from = ?old_capacity, to = ?capacity, "target's capacity changed");
            self.resend_profiles();
            self.mark_pending_update();
        }
        let Some(target) = &self.target else { return };
        if was_leaving != is_leaving {
            tracing::info!(target = %target.announcement.id, is_leaving, "target changed state");
            self.mark_pending_update();
        }
    }

    /// Handles the message that the target has left.
    pub fn handle_departure(&mut self, now: BootTime, id: &TargetId) {
        if self.target_id() == Some(id) {
            self.retire_target(now, TargetEnd::Left);
        }
    }

    /// Handles a failed status poll of the target.
    pub fn handle_poll_error(&mut self, now: BootTime, id: &TargetId, error: PollError) {
        if self.target_id() != Some(id) {
            return;
        }
        match error {
            PollError::Absent | PollError::OtherTarget => {
                let end = self.target_end();
                self.retire_target(now, end);
            }
            PollError::Restarted => self.replace_restarted_target(now),
            PollError::NoAnswer => {
                if let Some(target) = &mut self.target {
                    target.record_no_answer(now);
                }
            }
        }
    }

    /// Ends the present incarnation of a target that has restarted. Starts that it had not confirmed
    /// before its last status poll may have taken place at the next incarnation.
    fn replace_restarted_target(&mut self, now: BootTime) {
        let Some(target) = &self.target else { return };
        let polled_at = target.polled_at;
        let over_by = now + self.timing.max_granted_lease_on_agent_clock();
        let mut kept = BTreeMap::new();
        for (task, run) in std::mem::take(&mut self.runs) {
            // A start that was confirmed earlier took place at the incarnation that has ended.
            if run.started_at.is_none_or(|at| Some(at) >= polled_at) {
                let kept_run = Run {
                    started_at: None,
                    unanswered_starts: run.unanswered_starts.max(1),
                    over_by: Some(over_by),
                    // Only the incarnation that answered refuses the start.
                    stop_answered_at: None,
                    ..run
                };
                kept.insert(task, kept_run);
            } else {
                self.runs.insert(task, run);
            }
        }
        tracing::info!(unsettled_runs = kept.len(), "target restarted");
        let end = self.target_end();
        self.retire_target(now, end);
        self.runs = kept;
    }

    /// Returns how a target that is gone without a message has ended.
    fn target_end(&self) -> TargetEnd {
        let is_leaving = self.target.as_ref().is_some_and(|target| target.announcement.is_leaving);
        if is_leaving { TargetEnd::Left } else { TargetEnd::Crashed }
    }

    /// Ends the present incarnation of the target and reports its runs as lost.
    fn retire_target(&mut self, now: BootTime, end: TargetEnd) {
        if end == TargetEnd::Crashed {
            self.record_crash(now);
        }
        let Some(target) = self.target.take() else { return };
        tracing::info!(
            target = %target.announcement.id, %end, runs = self.runs.len(), "target lost"
        );
        self.past_targets.insert(target.announcement.id);
        self.resend_profiles();
        while self.past_targets.len() > MAX_PAST_TARGETS {
            self.past_targets.pop_first();
        }
        for task in self.runs.keys().cloned().collect::<Vec<_>>() {
            self.finish(now, &task, RunOutcome::Lost);
        }
        self.mark_pending_update();
        if let Some(successor) = self.successor.take()
            && !self.past_targets.contains(&successor.id)
        {
            self.adopt_target(successor);
        }
    }
}
