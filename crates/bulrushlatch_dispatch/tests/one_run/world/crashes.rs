//! Tasks that crash each target which starts them.

use super::*;

/// Time from the start of such a task until its target crashes.
const CRASH_AFTER_MS: u64 = 20;
/// Time after which a crashed target is back.
const ABSENCE_MS: u64 = 600;

/// Time of a case after which no such job is submitted, early enough for the isolation of its route to
/// be over when the site must have recovered.
const LAST_CRASHING_JOB_MS: u64 = 4_000;

impl World {
    /// Lets the first task of every `interval`th job, an even number, crash its targets: all are of one
    /// route.
    pub fn with_crashing_jobs(mut self, interval: usize) -> Self {
        self.crashing_job_interval = interval;
        self
    }

    pub(super) fn is_crashing_job(&self, number: usize) -> bool {
        let interval = self.crashing_job_interval;
        let are_over = self.now_ms >= BOOT_MS + LAST_CRASHING_JOB_MS;
        interval > 0 && number > 0 && number.is_multiple_of(interval) && !are_over
    }

    /// Schedules the crash of a target that has started a task, if the task is one that crashes it.
    pub(super) fn crash_if_started(&mut self, agent: usize, task: &TaskKey) {
        let number = task.job.trim_start_matches("job-").parse::<usize>().ok();
        let job = number.and_then(|number| self.jobs.get(number));
        if task.index == 0 && job.is_some_and(|job| job.crashes_targets) {
            let id = self.targets[agent].id.clone();
            self.after(CRASH_AFTER_MS, Event::TargetCrash { agent, id });
        }
    }

    pub(super) fn crash_target(&mut self, agent: usize, id: &str) {
        if self.targets[agent].id != id {
            return;
        }
        for (task, target) in self.oracle.running() {
            let number = task.job.trim_start_matches("job-").parse::<usize>().ok();
            let job = number.and_then(|number| self.jobs.get(number));
            if target == agent && task.index == 0 && job.is_some_and(|job| job.crashes_targets) {
                self.oracle.record_crash(&task);
            }
        }
        self.replace_target(agent);
        self.absent_targets.insert(agent, self.now_ms + ABSENCE_MS);
    }

    pub(super) fn is_absent(&self, agent: usize) -> bool {
        self.absent_targets.get(&agent).is_some_and(|&end| self.now_ms < end)
    }

    /// Lets the agent learn at once that nothing listens at its target's address.
    pub(super) fn refuse_connection(&mut self, agent: usize, incarnation: u64, call: Call) {
        match call {
            Call::Start(start) => {
                let reply = StartReply::Unsent;
                let event = Event::Started { agent, incarnation, start, reply, clock_ms: None };
                self.after(1, event);
            }
            Call::Stop(_) => {}
            Call::Poll { id, polled_ms, repeats, .. } => {
                let status = Err(PollError::Absent);
                self.after(1, Event::Polled { agent, incarnation, id, polled_ms, status, repeats });
            }
        }
    }
}
