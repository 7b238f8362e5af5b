//! A simulated target, which runs tasks under a lease on its own clock.

use std::collections::BTreeMap;

use bulrushlatch_dispatch::{
    agent::{
        StartRequest, StopOrder,
        target::{EndedRun, RunEnd, RunningRun, StartReply, TargetStatus},
    },
    ids::TaskKey,
};

use crate::oracle::Oracle;

/// Time for which a leaving target may still get new tasks once its agent has received the
/// announcement, as stated by the platform.
const LEAVE_GRACE_MS: u64 = 2_000;
/// Longest lease that a renewal grants, on the target's clock.
const MAX_RENEWAL_MS: u64 = 1_000;
/// Tasks that fit into a target that has not shrunk.
pub const SLOTS: usize = 24;
/// Time for which a start may still go by the capacity from before the target shrank: one interval of
/// announcements, and the time that an order is on its way.
const SHRINK_GRACE_MS: u64 = 200;

/// A run at the target.
#[derive(Debug)]
struct TargetRun {
    attempt: u32,
    ends_at_ms: u64,
    fails: bool,
}

/// One incarnation of a target.
#[derive(Debug)]
pub struct Target {
    /// Index of the target in the site.
    pub index: usize,
    /// Id of this incarnation.
    pub id: String,
    /// Rate of the target's clock, relative to the virtual clock.
    pub rate: f64,
    /// Whether tasks that start now will fail.
    pub fails: bool,
    /// Whether tasks that start now will never end by themselves.
    pub is_stuck: bool,
    /// Tasks that fit into it now.
    pub slots: usize,
    /// When it last shrank.
    pub shrunk_ms: Option<u64>,
    /// Whether the target announces that it leaves.
    pub is_leaving: bool,
    /// When the agent first received the announcement that the target leaves.
    pub leave_received_ms: Option<u64>,
    lease_until_ms: u64,
    runs: BTreeMap<TaskKey, TargetRun>,
    highest_attempts: BTreeMap<TaskKey, u32>,
    ends: Vec<EndedRun>,
    last_end: u64,
}

impl Target {
    /// Returns a target on which nothing runs.
    pub fn new(index: usize, incarnation: u64, rate: f64) -> Self {
        Self {
            index,
            id: format!("target-{index}-{incarnation}"),
            rate,
            fails: false,
            is_stuck: false,
            slots: SLOTS,
            shrunk_ms: None,
            is_leaving: false,
            leave_received_ms: None,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            highest_attempts: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    /// Returns the target's clock.
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
        if self.highest_attempts.get(&order.task).is_some_and(|&highest| order.attempt <= highest) {
            return StartReply::OldAttempt;
        }
        self.highest_attempts.insert(order.task.clone(), order.attempt);
        if self.runs.len() >= self.counted_slots(now_ms) {
            oracle.record_violation(format!(
                "{now_ms} ms: {} begins beyond the capacity",
                order.task
            ));
        }
        oracle.record_start(now_ms, self.index, &order.task, order.attempt);
        let fails = self.fails;
        let ends_at_ms = if self.is_stuck { u64::MAX } else { now_ms + run_ms };
        self.runs
            .insert(order.task.clone(), TargetRun { attempt: order.attempt, ends_at_ms, fails });
        StartReply::Started
    }

    /// Carries out a stop order; returns false if it is for another incarnation.
    pub fn stop(&mut self, order: &StopOrder, oracle: &mut Oracle) -> bool {
        if order.target != self.id {
            return false;
        }
        let Some(task) = order.task.clone().or_else(|| parse_task_key(&order.name)) else {
            return true;
        };
        let highest = self.highest_attempts.entry(task.clone()).or_default();
        *highest = (*highest).max(order.attempt);
        if self.runs.get(&task).is_some_and(|run| run.attempt <= order.attempt) {
            self.end(&task, RunEnd::Stopped, oracle);
        }
        true
    }

    /// Changes the number of tasks that fit into the target.
    pub fn resize(&mut self, now_ms: u64, slots: usize) {
        if slots < self.slots {
            self.shrunk_ms = Some(now_ms);
        }
        self.slots = slots;
    }

    fn counted_slots(&self, now_ms: u64) -> usize {
        let has_just_shrunk = self.shrunk_ms.is_some_and(|at| now_ms <= at + SHRINK_GRACE_MS);
        if has_just_shrunk { SLOTS } else { self.slots }
    }

    /// Returns whether the target must get no new task any more, because it leaves.
    pub fn is_past_leave_grace(&self, now_ms: u64) -> bool {
        self.leave_received_ms.is_some_and(|received_ms| now_ms > received_ms + LEAVE_GRACE_MS)
    }

    /// Renews the lease.
    pub fn renew(&mut self, until_ms: Option<u64>, now_ms: u64) {
        let until_ms = until_ms.unwrap_or_default().min(self.clock_ms(now_ms) + MAX_RENEWAL_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Returns the running tasks and the ends with numbers above `ends_seen`.
    pub fn status(&mut self, now_ms: u64, ends_seen: u64) -> TargetStatus {
        self.ends.retain(|end| end.number > ends_seen);
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: Some(task.clone()),
            name: task.to_string(),
            attempt: run.attempt,
        });
        TargetStatus {
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            unreadable_runs: 0,
            ended: self.ends.clone(),
        }
    }

    /// Returns whether there are ends with numbers above `ends_seen`.
    pub fn has_ends(&self, ends_seen: u64) -> bool {
        self.ends.iter().any(|end| end.number > ends_seen)
    }

    /// Ends the runs that are done, and all runs once the lease has expired.
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

    /// Ends all runs without a report, as the target crashes.
    pub fn crash(&mut self, oracle: &mut Oracle) {
        for (task, run) in std::mem::take(&mut self.runs) {
            oracle.record_end(self.index, &task, run.attempt, false);
        }
    }

    fn end(&mut self, task: &TaskKey, end: RunEnd, oracle: &mut Oracle) {
        let Some(run) = self.runs.remove(task) else { return };
        oracle.record_end(self.index, task, run.attempt, end == RunEnd::Done);
        self.last_end += 1;
        self.ends.push(EndedRun {
            number: self.last_end,
            task: Some(task.clone()),
            attempt: run.attempt,
            end,
        });
    }
}

fn parse_task_key(name: &str) -> Option<TaskKey> {
    let mut parts = name.split('/');
    let job = parts.next()?.into();
    Some(TaskKey { job, step: parts.next()?.parse().ok()?, index: parts.next()?.parse().ok()? })
}
