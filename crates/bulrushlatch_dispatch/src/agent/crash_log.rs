//! Crashes of the target, and what of them entries have been told.

use std::collections::VecDeque;

use crate::{
    clock::BootTime,
    crash::{CrashNotice, CrashNumber, CrashRecord, CrashedRun},
    frame::CRASH_FRAME_VERSION,
    ids::{LinkId, TaskKey},
};

use super::Agent;

/// Crashes that are remembered; they are told to entries that start later.
const MAX_RECORDS: usize = 64;

/// The newest crashes of the target under which there were runs.
#[derive(Debug, Default)]
pub struct CrashLog {
    /// Oldest first.
    records: VecDeque<CrashRecord>,
    last_number: CrashNumber,
}

impl CrashLog {
    fn record(&mut self, runs: Vec<CrashedRun>) {
        self.last_number += 1;
        self.records.push_back(CrashRecord { number: self.last_number, runs });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    fn notice_after(&self, number: CrashNumber) -> CrashNotice {
        let new = self.records.iter().filter(|record| record.number > number);
        CrashNotice { crashes: new.cloned().collect() }
    }
}

impl Agent {
    /// Records a crash of the target with the tasks that may have caused it.
    pub(super) fn record_crash(&mut self, now: BootTime) {
        let Some(target) = self.target_id().cloned() else { return };
        self.counters.target_crashes += 1;
        let mut runs = self.take_silent_runs();
        for run in self.runs.values() {
            let ran_ms = now.saturating_sub(run.start_sent_at).as_millis() as u64;
            let is_started = run.started_at.is_some();
            tracing::info!(%target, task = %run.task, entry = %run.owner, ran_ms, is_started, "run at a target that crashed");
            runs.push(CrashedRun { task: run.task.clone(), ran_ms });
        }
        runs.sort_unstable_by(|left, right| left.task.cmp(&right.task));
        if !runs.is_empty() {
            self.crash_log.record(runs);
        }
    }

    /// Remembers a run that has ended because the target was silent: its crash, if that is the reason,
    /// shows when it is back.
    pub(super) fn record_silent_run(&mut self, now: BootTime, task: &TaskKey) {
        let (Some(run), Some(target)) = (self.runs.get(task), &mut self.target) else { return };
        let ran_ms = now.saturating_sub(run.start_sent_at).as_millis() as u64;
        target.silent_runs.push(CrashedRun { task: task.clone(), ran_ms });
    }

    fn take_silent_runs(&mut self) -> Vec<CrashedRun> {
        let target = self.target.as_mut();
        target.map(|target| std::mem::take(&mut target.silent_runs)).unwrap_or_default()
    }

    /// Returns the crashes to tell entries now, with their links. They are to be sent before the
    /// frames that report the runs as lost: entries decide by both whether to repeat a run.
    pub fn take_crash_notices(&mut self) -> Vec<(LinkId, CrashNotice)> {
        let last_number = self.crash_log.last_number;
        let mut notices = Vec::new();
        for session in self.sessions.values_mut() {
            let Some(link) = session.link else { continue };
            if session.version < CRASH_FRAME_VERSION || session.sent_crash >= last_number {
                continue;
            }
            notices.push((link, self.crash_log.notice_after(session.sent_crash)));
            session.sent_crash = last_number;
        }
        notices
    }
}
