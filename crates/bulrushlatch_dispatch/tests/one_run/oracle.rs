//! The invariants, checked from the view of targets and callers.

use std::collections::{BTreeMap, BTreeSet};

use bulrushlatch_dispatch::{
    ids::{JobId, TaskKey},
    outcome::Answer,
};

/// Crashes of one task after which its starts are counted, as stated by the platform.
const CRASHES_KNOWN: u32 = 3;
/// Number of such starts that the platform forbids.
const FORBIDDEN_STARTS: u32 = 3;

/// Checks starts and ends of runs, and answers to callers.
#[derive(Debug, Default)]
pub struct Oracle {
    running: BTreeMap<TaskKey, (usize, u32)>,
    started: BTreeSet<JobId>,
    done: BTreeSet<TaskKey>,
    /// Whether each job has had no other answer than a refusal.
    only_refused: BTreeMap<JobId, bool>,
    /// Number of targets that each task has crashed.
    crashes: BTreeMap<TaskKey, u32>,
    /// Number of starts of each task after it had crashed [`CRASHES_KNOWN`] targets.
    starts_after_crashes: BTreeMap<TaskKey, u32>,
    /// The first violation.
    violation: Option<String>,
}

impl Oracle {
    /// Records that a run began at a target.
    pub fn record_start(&mut self, now_ms: u64, target: usize, task: &TaskKey, attempt: u32) {
        tracing::info!(now_ms, target, %task, attempt, "ORACLE began");
        self.started.insert(task.job.clone());
        if self.crashes(task) >= CRASHES_KNOWN {
            let starts = self.starts_after_crashes.entry(task.clone()).or_default();
            *starts += 1;
            if *starts >= FORBIDDEN_STARTS {
                self.violation.get_or_insert(format!(
                    "{now_ms} ms: {task} begins again though it crashes each target"
                ));
            }
        }
        if let Some((other_target, other_attempt)) =
            self.running.insert(task.clone(), (target, attempt))
        {
            self.violation.get_or_insert(format!(
                "{now_ms} ms: {task} run {attempt} begins at target {target} while run {other_attempt} is at {other_target}"
            ));
        }
    }

    /// Records that a task has crashed a target.
    pub fn record_crash(&mut self, task: &TaskKey) {
        *self.crashes.entry(task.clone()).or_default() += 1;
    }

    /// Returns the number of targets that a task has crashed.
    pub fn crashes(&self, task: &TaskKey) -> u32 {
        self.crashes.get(task).copied().unwrap_or_default()
    }

    /// Returns the tasks that run, each with the number of its target.
    pub fn running(&self) -> Vec<(TaskKey, usize)> {
        self.running.iter().map(|(task, (target, _))| (task.clone(), *target)).collect()
    }

    /// Records a violation that another part of the simulation has found.
    pub fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Records that a run is over.
    pub fn record_end(&mut self, target: usize, task: &TaskKey, attempt: u32, is_done: bool) {
        tracing::info!(target, %task, attempt, is_done, "ORACLE ended");
        if self.running.get(task) == Some(&(target, attempt)) {
            self.running.remove(task);
        }
        if is_done {
            self.done.insert(task.clone());
        }
    }

    /// Records the answer to one submission of a job with the given number of tasks.
    pub fn record_answer(&mut self, now_ms: u64, job: &JobId, tasks: u32, answer: Answer) {
        match answer {
            Answer::Completed => {
                let are_all_done = (0..tasks)
                    .all(|index| self.done.contains(&TaskKey { job: job.clone(), step: 0, index }));
                if !are_all_done {
                    let text = format!(
                        "{now_ms} ms: {job} is answered as completed, but not all its tasks are done"
                    );
                    self.violation.get_or_insert(text);
                }
                self.only_refused.insert(job.clone(), false);
            }
            Answer::Refused { .. } => {
                self.only_refused.entry(job.clone()).or_insert(true);
            }
            _ => {
                self.only_refused.insert(job.clone(), false);
            }
        }
    }

    /// Records that a submission got no answer, so that the job may have run.
    pub fn record_no_answer(&mut self, job: &JobId) {
        self.only_refused.insert(job.clone(), false);
    }

    /// Returns an error that describes the first violation, if there is one.
    pub fn verdict(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let false_refusal = self
            .only_refused
            .iter()
            .find(|(job, is_only_refused)| **is_only_refused && self.started.contains(*job));
        match false_refusal {
            Some((job, _)) => Err(format!("{job} was only refused, and has run")),
            None => Ok(()),
        }
    }
}
