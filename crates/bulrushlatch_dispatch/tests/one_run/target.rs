//! A target: runs under leases on its own clock.

use std::collections::BTreeMap;

use bulrushlatch_dispatch::{
    agent::{
        StartRequest, StopOrder,
        target::{EndedRun, RunEnd, RunningRun, StartReply, TargetStatus},
    },
    ids::TaskKey,
};

use crate::oracle::Oracle;

/// Time after its agent heard that it leaves in which a target may still get new tasks, stated by
/// the platform.
const LEAVING_WITHIN_MS: u64 = 2_000;
/// Tasks that fit into a target.
pub const SLOTS: usize = 24;

/// A run at the target.
#[derive(Debug)]
struct TargetRun {
    attempt: u32,
    ends_at_ms: u64,
    fails: bool,
}

/// One life of a target.
#[derive(Debug)]
pub struct Target {
    /// Its place.
    pub place: usize,
    /// Id of this life.
    pub id: String,
    /// Rate of its clock.
    pub rate: f64,
    /// Whether tasks fail at once.
    pub fails: bool,
    /// Whether tasks stand still.
    pub is_stuck: bool,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// When its agent first heard that it leaves.
    pub leave_noted_ms: Option<u64>,
    lease_until_ms: u64,
    runs: BTreeMap<TaskKey, TargetRun>,
    highest: BTreeMap<TaskKey, u32>,
    ends: Vec<EndedRun>,
    last_end: u64,
}

impl Target {
    /// Returns a target on which nothing runs.
    pub fn new(place: usize, life: u64, rate: f64) -> Self {
        Self {
            place,
            id: format!("target-{place}-{life}"),
            rate,
            fails: false,
            is_stuck: false,
            is_leaving: false,
            leave_noted_ms: None,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    /// Returns its clock.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        1_000 + (now_ms as f64 * self.rate) as u64
    }

    /// Carries out a start order.
    pub fn start(
        &mut self,
        now_ms: u64,
        order: &StartRequest,
        run_ms: u64,
        oracle: &mut Oracle,
    ) -> StartReply {
        if order.target != self.id {
            return StartReply::OtherTarget;
        }
        if order.lease_until_ms <= self.clock_ms(now_ms) {
            return StartReply::Late;
        }
        self.lease_until_ms = self.lease_until_ms.max(order.lease_until_ms);
        if self.runs.get(&order.task).is_some_and(|run| run.attempt == order.attempt) {
            return StartReply::Started;
        }
        if self.highest.get(&order.task).is_some_and(|&highest| order.attempt <= highest) {
            return StartReply::OldAttempt;
        }
        self.highest.insert(order.task.clone(), order.attempt);
        if self.runs.len() >= SLOTS {
            oracle.note_fault(format!("{now_ms} ms: {} begins beyond the capacity", order.task));
        }
        oracle.began(now_ms, self.place, &order.task, order.attempt);
        let fails = self.fails;
        let ends_at_ms = if self.is_stuck { u64::MAX } else { now_ms + run_ms };
        self.runs
            .insert(order.task.clone(), TargetRun { attempt: order.attempt, ends_at_ms, fails });
        StartReply::Started
    }

    /// Carries out a stop order.
    pub fn stop(&mut self, order: &StopOrder, oracle: &mut Oracle) -> bool {
        if order.target != self.id {
            return false;
        }
        let Some(task) = order.task.clone().or_else(|| parse(&order.name)) else { return true };
        let highest = self.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(order.attempt);
        if self.runs.get(&task).is_some_and(|run| run.attempt <= order.attempt) {
            self.end(&task, RunEnd::Stopped, oracle);
        }
        true
    }

    /// Returns whether it should have had its last new task by now.
    pub fn has_left(&self, now_ms: u64) -> bool {
        self.leave_noted_ms.is_some_and(|noted_ms| now_ms > noted_ms + LEAVING_WITHIN_MS)
    }

    /// Renews the lease.
    pub fn renew(&mut self, until_ms: Option<u64>, now_ms: u64) {
        let until_ms = until_ms.unwrap_or_default().min(self.clock_ms(now_ms) + 1_000);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Returns what runs and what has ended since `seen`.
    pub fn look(&mut self, now_ms: u64, seen: u64) -> TargetStatus {
        self.ends.retain(|end| end.number > seen);
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: Some(task.clone()),
            name: task.to_string(),
            attempt: run.attempt,
        });
        TargetStatus {
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            ended: self.ends.clone(),
        }
    }

    /// Returns whether ends wait to be seen.
    pub fn has_ends(&self, seen: u64) -> bool {
        self.ends.iter().any(|end| end.number > seen)
    }

    /// Ends what is due.
    pub fn tick(&mut self, now_ms: u64, oracle: &mut Oracle) {
        if self.clock_ms(now_ms) >= self.lease_until_ms {
            for task in self.runs.keys().cloned().collect::<Vec<_>>() {
                self.end(&task, RunEnd::Lapsed, oracle);
            }
        }
        let due = self.runs.iter().filter(|(_, run)| run.ends_at_ms <= now_ms);
        let due: Vec<(TaskKey, bool)> = due.map(|(task, run)| (task.clone(), run.fails)).collect();
        for (task, fails) in due {
            let end = if fails { RunEnd::Failed } else { RunEnd::Done };
            self.end(&task, end, oracle);
        }
    }

    /// Ends everything, as the target dies.
    pub fn die(&mut self, oracle: &mut Oracle) {
        for (task, run) in std::mem::take(&mut self.runs) {
            oracle.ended(self.place, &task, run.attempt, false);
        }
    }

    fn end(&mut self, task: &TaskKey, end: RunEnd, oracle: &mut Oracle) {
        let Some(run) = self.runs.remove(task) else { return };
        oracle.ended(self.place, task, run.attempt, end == RunEnd::Done);
        self.last_end += 1;
        self.ends.push(EndedRun {
            number: self.last_end,
            task: Some(task.clone()),
            attempt: run.attempt,
            end,
        });
    }
}

fn parse(name: &str) -> Option<TaskKey> {
    let mut parts = name.split('/');
    let job = parts.next()?.into();
    Some(TaskKey { job, step: parts.next()?.parse().ok()?, index: parts.next()?.parse().ok()? })
}
