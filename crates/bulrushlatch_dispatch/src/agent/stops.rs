//! Stops of runs at the target.

use std::time::Duration;

use crate::{clock::BootTime, ids::TaskKey};

use super::{
    Agent, StopOrder, TargetOrder,
    target::{RunningRun, UnknownRun},
};

/// Interval at which a stop order is sent again while its run has not ended.
const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(40);

impl Agent {
    pub(super) fn stop_if_unknown(&mut self, now: BootTime, running: &RunningRun) {
        let run = running.task.as_ref().and_then(|task| self.runs.get(task));
        if run.is_some_and(|run| run.attempt == running.attempt) {
            return;
        }
        let Some(target) = &mut self.target else { return };
        let key = (running.name.clone(), running.attempt);
        if let Some(unknown) = target.unknown_runs.get_mut(&key) {
            unknown.listed_at = now;
            if now.saturating_sub(unknown.stop_sent_at) < STOP_RESEND_INTERVAL {
                return;
            }
        } else {
            self.counters.unknown_runs += 1;
            tracing::info!(task = %running.name, attempt = running.attempt, "unknown run: stopping it");
        }
        target.unknown_runs.insert(key, UnknownRun { stop_sent_at: now, listed_at: now });
        self.target_orders.push(TargetOrder::Stop(StopOrder {
            target: target.announcement.id.clone(),
            task: None,
            name: running.name.clone(),
            attempt: running.attempt,
        }));
    }

    /// Stops a run that may exist at the target.
    pub(super) fn request_stop(&mut self, now: BootTime, task: &TaskKey) {
        let Some(run) = self.runs.get_mut(task) else { return };
        run.stop_requested_at.get_or_insert(now);
        self.queue_stop(now, task);
    }

    fn queue_stop(&mut self, now: BootTime, task: &TaskKey) {
        let Some(target) = self.target_id().cloned() else { return };
        let Some(run) = self.runs.get_mut(task) else { return };
        run.stop_sent_at = Some(now);
        let (task, attempt) = (Some(task.clone()), run.attempt);
        self.target_orders.push(TargetOrder::Stop(StopOrder {
            target,
            task,
            name: String::new(),
            attempt,
        }));
    }

    /// Sends stop orders again to runs that have not ended since the last one.
    pub(super) fn resend_stops(&mut self, now: BootTime) {
        let due = self.runs.values().filter(|run| {
            let sent_at = run.stop_sent_at.unwrap_or_default();
            run.is_stopping() && now.saturating_sub(sent_at) >= STOP_RESEND_INTERVAL
        });
        for task in due.map(|run| run.task.clone()).collect::<Vec<_>>() {
            self.queue_stop(now, &task);
        }
    }

    /// Stops the runs of entries that have been silent for longer than the contact limit.
    pub(super) fn stop_orphaned_runs(&mut self, now: BootTime) {
        let limit = self.timing.contact_limit;
        let orphaned = self.runs.values().filter(|run| {
            !run.is_stopping() && now.saturating_sub(self.alive_at(&run.owner)) > limit
        });
        for task in orphaned.map(|run| run.task.clone()).collect::<Vec<_>>() {
            if let Some(run) = self.runs.get(&task) {
                let alive_at = self.sessions.get(&run.owner).map(|session| session.alive_at);
                let silent_ms = alive_at.map(|at| now.saturating_sub(at).as_millis() as u64);
                tracing::info!(%task, entry = %run.owner, silent_ms, "entry silent: stopping its run");
            }
            self.counters.orphaned += 1;
            self.request_stop(now, &task);
        }
    }
}
