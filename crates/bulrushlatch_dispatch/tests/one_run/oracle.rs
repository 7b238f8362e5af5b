//! What must hold, as seen from targets and callers.

use std::collections::{BTreeMap, BTreeSet};

use bulrushlatch_dispatch::{
    ids::{JobId, TaskKey},
    outcome::Answer,
};

/// Watches starts, ends and answers.
#[derive(Debug, Default)]
pub struct Oracle {
    running: BTreeMap<TaskKey, (usize, u32)>,
    started: BTreeSet<JobId>,
    done: BTreeSet<TaskKey>,
    refusals: BTreeMap<JobId, bool>,
    fault: Option<String>,
}

impl Oracle {
    /// Notes that a run began at a target.
    pub fn began(&mut self, now_ms: u64, target: usize, task: &TaskKey, attempt: u32) {
        tracing::info!(now_ms, target, %task, attempt, "ORACLE began");
        self.started.insert(task.job.clone());
        if let Some((other, run)) = self.running.insert(task.clone(), (target, attempt)) {
            self.fault.get_or_insert(format!(
                "{now_ms} ms: {task} run {attempt} begins at target {target} while run {run} is at {other}"
            ));
        }
    }

    /// Notes something that must not happen.
    pub fn note_fault(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    /// Notes that a run is over.
    pub fn ended(&mut self, target: usize, task: &TaskKey, attempt: u32, is_done: bool) {
        tracing::info!(target, %task, attempt, is_done, "ORACLE ended");
        if self.running.get(task) == Some(&(target, attempt)) {
            self.running.remove(task);
        }
        if is_done {
            self.done.insert(task.clone());
        }
    }

    /// Notes the answer to one submission of a job with so many tasks.
    pub fn answered(&mut self, now_ms: u64, job: &JobId, tasks: u32, answer: Answer) {
        match answer {
            Answer::Completed => {
                let is_whole = (0..tasks)
                    .all(|index| self.done.contains(&TaskKey { job: job.clone(), step: 0, index }));
                if !is_whole {
                    let text = format!("{now_ms} ms: {job} is answered completed and is not");
                    self.fault.get_or_insert(text);
                }
                self.refusals.insert(job.clone(), false);
            }
            Answer::Refused { .. } => {
                self.refusals.entry(job.clone()).or_insert(true);
            }
            _ => {
                self.refusals.insert(job.clone(), false);
            }
        }
    }

    /// Notes that a submission got no answer, so that it says nothing about having run.
    pub fn unanswered(&mut self, job: &JobId) {
        self.refusals.insert(job.clone(), false);
    }

    /// Returns what was broken first.
    pub fn verdict(&self) -> Result<(), String> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        let untrue = self.refusals.iter().find(|(job, only)| **only && self.started.contains(*job));
        match untrue {
            Some((job, _)) => Err(format!("{job} was only refused, and has run")),
            None => Ok(()),
        }
    }
}
