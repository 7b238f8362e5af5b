//! What an agent knows of its target.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    crash::CrashedRun,
    ids::{Attempt, TaskKey},
    size::Size,
    timing::on_agent_clock,
};

/// Time for which a target may hold a status poll open until a run ends: well below the lease and
/// the time after which the target counts as silent.
const POLL_WAIT: Duration = Duration::from_millis(100);
/// The same while answers get lost, since the ends in a lost answer are learned from the next poll, and while
/// starts of an earlier process may be carried out.
pub(super) const SHORT_POLL_WAIT: Duration = Duration::from_millis(10);
/// Time after an unanswered call for which further answers are expected to get lost.
const LOSS_MEMORY: Duration = Duration::from_secs(2);

/// Time of one target's clock, in milliseconds.
pub type TargetTimeMs = u64;
/// Id of one incarnation of a target.
pub type TargetId = String;

/// A target's description of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Id of the target's incarnation.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: String,
    /// Availability zone of the target.
    pub zone: String,
    /// All resources of the target, in use or free.
    pub capacity: Size,
    /// Labels that steps of jobs may require or prefer.
    pub labels: Vec<String>,
    /// Whether the target is about to leave and is to get no new tasks.
    pub is_leaving: bool,
    /// The target's clock when it sent the announcement.
    pub clock_ms: TargetTimeMs,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
}

/// The answer to a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, or was running already.
    Started,
    /// The target has not enough free capacity.
    NoRoom,
    /// The target has seen this attempt or a higher one.
    OldAttempt,
    /// The lease in the order had expired.
    Late,
    /// The target reported itself as unhealthy and started nothing.
    Unhealthy,
    /// The target does not accept the order.
    Rejected,
    /// Another incarnation of the target answered.
    OtherTarget,
    /// The order did not reach the target.
    Unsent,
    /// No answer came: the order may be carried out now, later or never.
    NoAnswer,
}

/// The answer to a status poll of the target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// The target's clock.
    pub clock_ms: TargetTimeMs,
    /// Runs that have not ended.
    pub running: Vec<RunningRun>,
    /// Number of further runs that have not ended, of which nothing else is known.
    pub unreadable_runs: usize,
    /// Ended runs that were not acknowledged, in the order of their numbers.
    pub ended: Vec<EndedRun>,
}

/// A run that a target lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRun {
    /// The task, if its name at the target is a valid task key.
    pub task: Option<TaskKey>,
    /// The task's name at the target.
    pub name: String,
    /// Number of the start.
    pub attempt: Attempt,
}

/// An ended run, as a target lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Increases with each run that ends at one incarnation of the target.
    pub number: u64,
    /// The task, if its name at the target is a valid task key.
    pub task: Option<TaskKey>,
    /// Number of the start.
    pub attempt: Attempt,
    /// How the run ended.
    pub end: RunEnd,
}

/// How a run ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task or the target failed.
    Failed,
    /// The run was stopped by a stop order.
    Stopped,
    /// The target's lease expired.
    Lapsed,
}

/// Why a status poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollError {
    /// Nothing listens at the target's address: the target is not running.
    Absent,
    /// Another incarnation of the target answered, which refuses orders for this one.
    OtherTarget,
    /// Another incarnation of the target answered, which obeys orders for this one.
    Restarted,
    /// No answer came, or one that cannot be read.
    NoAnswer,
}

/// A run that the target lists, but that is not tracked under its task and attempt.
#[derive(Clone, Copy, Debug)]
pub struct UnknownRun {
    /// When the last stop order was sent.
    pub stop_sent_at: BootTime,
    /// When a status that lists the run was last received. Only a poll sent after that can show that the
    /// run is over: the answer to an earlier one may have been overtaken.
    pub listed_at: BootTime,
}

/// The present incarnation of the target.
#[derive(Debug)]
pub struct Target {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Highest value of its clock in an answer, which no lease is requested before. Announcements do not
    /// count, as anybody may send one.
    pub clock_ms: TargetTimeMs,
    /// Latest time at which its lease may end, on the agent's clock.
    pub lease_ends_at: BootTime,
    /// When the newest status poll that it answered was sent.
    pub polled_at: Option<BootTime>,
    /// When it last answered a call.
    pub answered_at: Option<BootTime>,
    /// When a call to it last went unanswered.
    pub unanswered_at: Option<BootTime>,
    /// Highest number of an ended run that was processed.
    pub ends_seen: u64,
    /// Runs listed by the target, but not tracked under that task and attempt, by the task's name at the
    /// target.
    pub unknown_runs: BTreeMap<(String, Attempt), UnknownRun>,
    /// When a status with unreadable runs was last received, if no poll sent after that has shown that there are none.
    pub unreadable_runs_at: Option<BootTime>,
    /// Runs that have ended because the target was silent, until it answers a status poll.
    pub silent_runs: Vec<CrashedRun>,
    /// Time until which the target counts as full, after it refused a start for lack of capacity.
    pub full_until: BootTime,
}

impl Target {
    /// Returns a target that has announced itself and has answered no call yet.
    pub fn new(announcement: Announcement) -> Self {
        Self {
            clock_ms: 0,
            announcement,
            lease_ends_at: BootTime::ZERO,
            polled_at: None,
            answered_at: None,
            unanswered_at: None,
            ends_seen: 0,
            unknown_runs: BTreeMap::new(),
            unreadable_runs_at: None,
            silent_runs: Vec::new(),
            full_until: BootTime::ZERO,
        }
    }

    /// Returns the end, on the target's clock, of a lease requested now that lasts for `lease` there.
    pub fn request_lease(&mut self, now: BootTime, lease: Duration) -> TargetTimeMs {
        self.lease_ends_at = self.lease_ends_at.max(now + on_agent_clock(lease));
        self.clock_ms.saturating_add(lease.as_millis() as u64)
    }

    /// Returns whether runs may be at the target that are not tracked.
    pub fn has_unknown_runs(&self) -> bool {
        !self.unknown_runs.is_empty() || self.unreadable_runs_at.is_some()
    }

    /// Forgets the unknown runs which a status, whose poll was sent at `polled_at`, shows to be over, and records
    /// whether it has unreadable ones.
    pub fn update_unknown_runs(
        &mut self,
        now: BootTime,
        polled_at: BootTime,
        status: &TargetStatus,
    ) {
        self.unknown_runs.retain(|(name, attempt), unknown| {
            let mut running = status.running.iter();
            let is_listed = running.any(|run| run.name == *name && run.attempt == *attempt);
            is_listed || polled_at < unknown.listed_at
        });
        if status.unreadable_runs > 0 {
            self.unreadable_runs_at = Some(now);
        } else if self.unreadable_runs_at.is_some_and(|at| polled_at >= at) {
            self.unreadable_runs_at = None;
        }
    }

    /// Returns the time for which the target may hold the next status poll open.
    pub fn poll_wait(&self, now: BootTime) -> Duration {
        let is_losing = self.unanswered_at.is_some_and(|at| now.saturating_sub(at) < LOSS_MEMORY);
        if is_losing { SHORT_POLL_WAIT } else { POLL_WAIT }
    }

    /// Records that a call to the target went unanswered.
    pub fn record_no_answer(&mut self, now: BootTime) {
        self.unanswered_at = Some(now);
    }

    /// Records that the target answered a call, with the target's clock.
    pub fn record_answer(&mut self, now: BootTime, clock_ms: TargetTimeMs) {
        self.clock_ms = self.clock_ms.max(clock_ms);
        self.answered_at = Some(now);
    }
}
