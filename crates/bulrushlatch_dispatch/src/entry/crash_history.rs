//! Crashes of targets, and which jobs have caused them.
//!
//! Most tasks at a target that crashes only shared it with the one that caused the crash. So a crash is
//! held against a job for good only if no other job was there, and it was not the first one. Then the
//! earlier crashes under its tasks are explained by it too, and no longer held against the others.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    crash::{CrashNumber, CrashRecord, CrashedRun},
    ids::{JobId, ProcessId, TaskKey},
};

/// Crashes that are remembered.
const MAX_CRASHES: usize = 1_024;
/// Crashes without a known cause under a task from which on it is suspected of causing them, and is
/// started in isolation.
const MIN_CRASHES_OF_SUSPECT: usize = 2;
/// Crashes without a known cause under a task from which on it is not started again.
const MAX_CRASHES_OF_TASK: usize = 4;
/// Difference between the run times of a task that causes crashes, in ms and as a share of the longer
/// one, up to which they count as the same.
const RUN_TIME_TOLERANCE_MS: u64 = 10;
const RUN_TIME_TOLERANCE_PERCENT: u64 = 20;

/// Whether a job crashes targets, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashBlame {
    /// No crash without another cause has happened under its tasks.
    None,
    /// A target has crashed under one of its tasks, and the cause is not known.
    Possible,
    /// Targets have crashed more than once under one of its tasks, and the cause is not known.
    Suspected,
    /// It must not be started again.
    Certain,
}

/// A crash, identified by the agent and the number that it gave to the crash.
type CrashId = (ProcessId, CrashNumber);

#[derive(Debug)]
struct Crash {
    runs: Vec<CrashedRun>,
    /// The job that has caused it, once that is known.
    cause: Option<JobId>,
}

impl Crash {
    /// Returns the job that had all runs at the target, if it was the only one there.
    fn only_job(&self) -> Option<&JobId> {
        let mut jobs = self.runs.iter().map(|run| &run.task.job);
        let first = jobs.next()?;
        jobs.all(|job| job == first).then_some(first)
    }

    fn ran_ms(&self, task: &TaskKey) -> Option<u64> {
        self.runs.iter().find(|run| run.task == *task).map(|run| run.ran_ms)
    }
}

/// The newest crashes that agents have told.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: BTreeMap<CrashId, Crash>,
    /// The same crashes, oldest first.
    order: VecDeque<CrashId>,
    /// Crashes under each task, oldest first. It has the tasks of `crashes` and no others.
    by_task: BTreeMap<TaskKey, Vec<CrashId>>,
}

impl CrashHistory {
    /// Records a crash; returns whether it was not known.
    pub fn record(&mut self, agent: &ProcessId, record: CrashRecord) -> bool {
        let id = (agent.clone(), record.number);
        if self.crashes.contains_key(&id) {
            return false;
        }
        for run in &record.runs {
            self.by_task.entry(run.task.clone()).or_default().push(id.clone());
        }
        self.crashes.insert(id.clone(), Crash { runs: record.runs, cause: None });
        self.order.push_back(id.clone());
        if let Some(cause) = self.cause(&id) {
            self.explain_crashes(&cause);
        }
        if self.order.len() > MAX_CRASHES {
            self.remove_oldest();
        }
        true
    }

    /// Returns whether a job crashes targets, as far as is known.
    pub fn blame(&self, job: &JobId) -> CrashBlame {
        let blames = self.tasks_of(job).map(|(task, _)| self.blame_of_task(task));
        blames.max().unwrap_or(CrashBlame::None)
    }

    /// Returns whether a target has crashed while it had a run of this job, whatever the cause.
    pub fn has_job(&self, job: &JobId) -> bool {
        self.tasks_of(job).next().is_some()
    }

    /// Returns whether a target has crashed while it had runs of this job only.
    pub fn was_alone_at_crash(&self, job: &JobId) -> bool {
        let ids = self.tasks_of(job).flat_map(|(_, ids)| ids);
        let mut crashes = ids.filter_map(|id| self.crashes.get(id));
        crashes.any(|crash| crash.only_job().is_some())
    }

    /// Returns the job that has certainly or probably caused the newest crash. That is probable of the
    /// only job of which a task was at an earlier crash, without a known cause, after the same run time.
    pub fn probable_cause(&self) -> Option<&JobId> {
        let newest = self.crashes.get(self.order.back()?)?;
        if newest.cause.is_some() {
            return newest.cause.as_ref();
        }
        let repeated = newest.runs.iter().filter(|run| self.is_repeated(run));
        let mut jobs = repeated.map(|run| &run.task.job);
        let first = jobs.next()?;
        jobs.all(|job| job == first).then_some(first)
    }

    /// Returns the position of a task among those of the newest crash without a known cause under it.
    pub fn position_in_crash(&self, task: &TaskKey) -> Option<usize> {
        let newest = self.unexplained_crashes(task).last()?;
        newest.runs.iter().position(|run| run.task == *task)
    }

    fn tasks_of(&self, job: &JobId) -> impl Iterator<Item = (&TaskKey, &Vec<CrashId>)> {
        let first = TaskKey { job: job.clone(), step: 0, index: 0 };
        let job = job.clone();
        self.by_task.range(first..).take_while(move |(task, _)| task.job == job)
    }

    /// Returns the crashes under a task that have no known cause, oldest first.
    fn unexplained_crashes(&self, task: &TaskKey) -> impl Iterator<Item = &Crash> {
        let crashes = self.by_task.get(task).into_iter().flatten();
        crashes.filter_map(|id| self.crashes.get(id)).filter(|crash| crash.cause.is_none())
    }

    fn blame_of_task(&self, task: &TaskKey) -> CrashBlame {
        let ids = self.by_task.get(task).into_iter().flatten();
        let mut causes = ids.filter_map(|id| self.crashes.get(id)?.cause.as_ref());
        if causes.any(|cause| *cause == task.job) {
            return CrashBlame::Certain;
        }
        match self.unexplained_crashes(task).count() {
            0 => CrashBlame::None,
            count if count >= MAX_CRASHES_OF_TASK => CrashBlame::Certain,
            count if count >= MIN_CRASHES_OF_SUSPECT => CrashBlame::Suspected,
            _ => CrashBlame::Possible,
        }
    }

    /// Returns the job that has caused a crash, if that is certain.
    fn cause(&self, id: &CrashId) -> Option<JobId> {
        let job = self.crashes.get(id)?.only_job()?;
        (self.blame(job) >= CrashBlame::Suspected).then(|| job.clone())
    }

    fn is_repeated(&self, run: &CrashedRun) -> bool {
        let crashes = self.unexplained_crashes(&run.task);
        let run_times = crashes.filter_map(|crash| crash.ran_ms(&run.task));
        let same = run_times.filter(|&ran_ms| is_same_run_time(ran_ms, run.ran_ms));
        same.count() >= MIN_CRASHES_OF_SUSPECT
    }

    /// Sets a job as the cause of the crashes under its tasks that have no other.
    fn explain_crashes(&mut self, cause: &JobId) {
        for crash in self.crashes.values_mut() {
            if crash.cause.is_none() && crash.runs.iter().any(|run| run.task.job == *cause) {
                crash.cause = Some(cause.clone());
            }
        }
    }

    fn remove_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else { return };
        let Some(crash) = self.crashes.remove(&id) else { return };
        for run in crash.runs {
            if let Some(crashes) = self.by_task.get_mut(&run.task) {
                crashes.retain(|other| *other != id);
                if crashes.is_empty() {
                    self.by_task.remove(&run.task);
                }
            }
        }
    }
}

fn is_same_run_time(first_ms: u64, second_ms: u64) -> bool {
    let longer_ms = first_ms.max(second_ms);
    let tolerance_ms = RUN_TIME_TOLERANCE_MS + longer_ms * RUN_TIME_TOLERANCE_PERCENT / 100;
    first_ms.abs_diff(second_ms) <= tolerance_ms
}
