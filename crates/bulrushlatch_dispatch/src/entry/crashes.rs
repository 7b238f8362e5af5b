//! What an entry does about jobs under which targets crash.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    clock::BootTime,
    crash::{CrashNotice, CrashRecord},
    ids::{JobId, ProcessId, TaskKey},
    outcome::Answer,
};

use super::{Entry, crash_history::CrashBlame, job_state::JobState, placement::Candidate};

impl Entry {
    /// Handles the crashes that an agent tells of; ends the jobs that must not be started again.
    pub fn receive_crashes(&mut self, now: BootTime, agent: &ProcessId, notice: CrashNotice) {
        self.detect_suspension(now);
        for crash in notice.crashes {
            self.handle_crash(now, agent, crash);
        }
        self.update_isolation(now);
    }

    fn handle_crash(&mut self, now: BootTime, agent: &ProcessId, crash: CrashRecord) {
        let jobs: BTreeSet<JobId> = crash.runs.iter().map(|run| run.task.job.clone()).collect();
        if !self.crash_history.record(agent, crash) {
            return;
        }
        self.counters.target_crashes += 1;
        if let Some(job) = self.crash_history.probable_cause().cloned() {
            self.isolate_route_of(&job);
        }
        for job in &jobs {
            self.restart_isolation_of(job);
            self.end_crashing_job(now, job);
        }
    }

    fn isolate_route_of(&mut self, job: &JobId) {
        let Some(route) = self.jobs.get(job).map(|job| Arc::clone(&job.route)) else { return };
        // Where there is no other route, there is none to protect.
        let has_others =
            self.table.as_ref().is_some_and(|table| table.has_several_routes(&route.service));
        tracing::info!(%job, route = %route.name, has_others, "job probably crashes targets");
        if has_others {
            self.isolation.add_route(&route);
        }
    }

    fn end_crashing_job(&mut self, now: BootTime, job: &JobId) {
        if self.jobs.contains_key(job) && self.is_crashing_job(job) {
            self.counters.crashing_jobs += 1;
            tracing::info!(%job, "job failed: targets crash under it");
            self.end_job(now, job, Answer::Failed);
        }
    }

    /// Returns whether a job may have run, for this submission or, as crashes show, an earlier one.
    pub(super) fn may_have_run(&self, job: &JobState) -> bool {
        job.may_have_run() || self.crash_history.has_job(&job.request.id)
    }

    /// Returns whether a job must not be started, as targets crash under it.
    pub(super) fn is_crashing_job(&self, job: &JobId) -> bool {
        self.crash_history.blame(job) == CrashBlame::Certain
    }

    /// Returns the agent at which to repeat a task that was at a crash, if it was: a different one for
    /// each task of that crash, whichever entry it belongs to, as far as there are agents.
    pub(super) fn agent_after_crash<'a>(
        &self,
        task: &TaskKey,
        mut candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    ) -> Option<Candidate<'a>> {
        let position = self.crash_history.position_in_crash(task)?;
        let count = candidates.clone().count();
        candidates.nth(position.checked_rem(count)?)
    }
}
