//! What an agent knows of the target beside it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    ids::{Attempt, TaskKey},
    size::Size,
};

/// Time of one target's clock, in milliseconds.
pub type TargetTimeMs = u64;
/// Id of one life of a target.
pub type TargetId = String;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Id of this life of the target.
    pub id: TargetId,
    /// Service it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// All that it has.
    pub capacity: Size,
    /// Its labels.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Its clock when it spoke.
    pub clock_ms: TargetTimeMs,
    /// Counts up with each announcement of one life.
    pub sequence: u64,
}

/// The answer to a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The target has no room.
    NoRoom,
    /// The target has seen this attempt or a higher one.
    OldAttempt,
    /// The lease in the order was over.
    Late,
    /// The target is not well and did nothing.
    Unhealthy,
    /// The target does not accept the order.
    Rejected,
    /// Another life of the target answered.
    OtherTarget,
    /// No answer came: the order may be carried out now, later or never.
    NoAnswer,
}

/// What a look at the target showed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// Its clock.
    pub clock_ms: TargetTimeMs,
    /// Runs that are there.
    pub running: Vec<RunningRun>,
    /// Ends that were not acknowledged, by number.
    pub ended: Vec<EndedRun>,
}

/// A run that is there.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRun {
    /// The task, if its name is one of ours.
    pub task: Option<TaskKey>,
    /// The task's name at the target.
    pub name: String,
    /// Number of the start.
    pub attempt: Attempt,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Counts up with the ends of one life of the target.
    pub number: u64,
    /// The task, if its name is one of ours.
    pub task: Option<TaskKey>,
    /// Number of the start.
    pub attempt: Attempt,
    /// How it ended.
    pub end: RunEnd,
}

/// How a run ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Done.
    Done,
    /// Failed, by its own or the target's fault.
    Failed,
    /// Stopped on order.
    Stopped,
    /// Its lease ended.
    Lapsed,
}

/// Why a call to the target brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollError {
    /// Nobody listens at its address: it is not running.
    Absent,
    /// Another life of the target answered.
    OtherTarget,
    /// No usable answer came.
    NoAnswer,
}

/// The present life of the target.
#[derive(Debug)]
pub struct Target {
    /// What it said of itself.
    pub announcement: Announcement,
    /// Its clock when it last answered.
    pub clock_ms: TargetTimeMs,
    /// Until when its lease may hold, on our clock.
    pub lease_ends_at: BootTime,
    /// When it last answered.
    pub answered_at: Option<BootTime>,
    /// Highest end that was processed.
    pub ends_seen: u64,
    /// Runs that are not ours, and when they were last told to stop.
    pub unknown_runs: BTreeMap<(String, Attempt), BootTime>,
    /// Until when it is taken as full, after it refused for want of room.
    pub full_until: BootTime,
}

impl Target {
    /// Returns the life of a target that has just announced itself.
    pub fn new(announcement: Announcement) -> Self {
        Self {
            clock_ms: announcement.clock_ms,
            announcement,
            lease_ends_at: BootTime::ZERO,
            answered_at: None,
            ends_seen: 0,
            unknown_runs: BTreeMap::new(),
            full_until: BootTime::ZERO,
        }
    }

    /// Returns the end, on the target's clock, of a lease that is asked for now.
    pub fn lease(&mut self, now: BootTime, lease: Duration, longest: Duration) -> TargetTimeMs {
        self.lease_ends_at = self.lease_ends_at.max(now + longest);
        self.clock_ms + lease.as_millis() as u64
    }

    /// Notes an answer with the target's clock.
    pub fn answered(&mut self, now: BootTime, clock_ms: TargetTimeMs) {
        self.clock_ms = self.clock_ms.max(clock_ms);
        self.answered_at = Some(now);
    }
}
