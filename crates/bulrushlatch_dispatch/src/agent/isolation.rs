//! Isolation of jobs that may crash the target: it runs one at a time.

use crate::{
    clock::BootTime,
    crash::{ISOLATION_NOTICE_LIFETIME, IsolationNotice},
    ids::JobId,
};

use super::Agent;

impl Agent {
    /// Handles what an entry isolates at this agent's target: while that is anything, the target runs
    /// one job at a time.
    pub fn receive_isolation(&mut self, now: BootTime, notice: &IsolationNotice) {
        self.isolated_until = if notice.is_empty() { now } else { now + ISOLATION_NOTICE_LIFETIME };
    }

    /// Returns whether a job has to wait because the target runs another one in isolation.
    pub(super) fn is_isolated_from(&self, now: BootTime, job: &JobId) -> bool {
        now < self.isolated_until && self.runs.keys().any(|task| task.job != *job)
    }
}
