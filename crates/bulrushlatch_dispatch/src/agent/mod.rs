//! Decisions of the agent, the process beside a target that alone starts tasks there.
//!
//! - [`crash_log`]: crashes of the target, told to entries
//! - `incarnation`: tells the present incarnation of the target from others
//! - `isolation`: one job at a time while jobs are isolated here
//! - `orders`: handles orders from entries
//! - `frames`: frames to entries
//! - [`demand`]: demand that entries state, and its sum
//! - `lease`: renews the target's lease, unless it would keep a run alive that is to be over
//! - `lifecycle`: starts and ends the runs at the target
//! - `stops`: stops runs
//! - [`run`]: one run of a task
//! - [`session`]: the state kept for each entry
//! - [`start_queue`]: start orders that wait until a run ends
//! - [`target`]: what is known of the target
//! - [`health`]: ejection of a target at which jobs fail

pub mod crash_log;
pub mod demand;
mod frames;
pub mod health;
mod incarnation;
mod isolation;
mod lease;
mod lifecycle;
mod orders;
pub mod run;
pub mod session;
pub mod start_queue;
mod stops;
pub mod target;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    clock::BootTime,
    cordon::Cordons,
    demand::DemandSummary,
    frame::FrameVersion,
    ids::{Attempt, LinkId, ProcessId, ReportNumber, TaskKey},
    size::Size,
    timing::Timing,
};

pub use self::lifecycle::StartRequest;

use self::{
    crash_log::CrashLog,
    demand::DemandTable,
    health::{Health, HealthState},
    lease::WithholdingReason,
    run::Run,
    session::Session,
    start_queue::StartQueue,
    target::{Announcement, SHORT_POLL_WAIT, Target, TargetId},
};

/// An order that the agent's process is to send to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetOrder {
    /// Start a task; [`Agent::prepare_start`] returns the order's content.
    Start(TaskKey),
    /// Stop a run.
    Stop(StopOrder),
}

/// An order to stop a run at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The target's incarnation.
    pub target: TargetId,
    /// The task, for a run that this agent tracks.
    pub task: Option<TaskKey>,
    /// The task's name at the target, for a run that is listed by the target, but not tracked under
    /// that task and attempt; otherwise empty.
    pub name: String,
    /// Number of the start.
    pub attempt: Attempt,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentCounters {
    /// Start orders accepted.
    pub starts: u64,
    /// Start orders that found no capacity and waited for it.
    pub queued_starts: u64,
    /// Start orders accepted after they had waited.
    pub started_from_queue: u64,
    /// Runs whose task was done.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped.
    pub stopped: u64,
    /// Runs that ended as [`RunOutcome::Lost`].
    pub lost: u64,
    /// Incarnations of the target that ended without having announced that they leave.
    pub target_crashes: u64,
    /// Start orders of which no run began.
    pub not_started: u64,
    /// Runs stopped because their entry was silent for too long.
    pub orphaned: u64,
    /// Runs listed by the target, but not tracked under that task and attempt.
    pub unknown_runs: u64,
    /// Times that the lease was not renewed because of a run that it would have kept alive.
    pub withheld_renewals: u64,
    /// Valid statements of demand received from entries.
    pub demand_statements: u64,
    /// Summaries of demand sent to entries.
    pub demand_summaries: u64,
    /// Invalid statements of demand, which were dropped.
    pub invalid_demand: u64,
}

/// State and decisions of an agent; its process does the input and output.
#[derive(Debug)]
pub struct Agent {
    timing: Timing,
    /// When this process started; the earlier one beside the same target had ended by then.
    started_at: BootTime,
    target: Option<Target>,
    /// Another incarnation that has announced itself while the present one may still exist.
    successor: Option<Announcement>,
    /// Incarnations of the target that are over; late announcements of them are ignored.
    past_targets: BTreeSet<TargetId>,
    runs: BTreeMap<TaskKey, Run>,
    /// Holds no task of which there is a run.
    start_queue: StartQueue,
    sessions: BTreeMap<ProcessId, Session>,
    /// Highest number of a report to a removed entry. The entry may still know this agent, and
    /// accepts only reports with higher numbers than it has seen.
    last_removed_report: ReportNumber,
    health: Health,
    cordons: Cordons,
    is_shutting_down: bool,
    counters: AgentCounters,
    /// Whether demand is exchanged with entries.
    is_demand_exchanged: bool,
    demand: DemandTable,
    /// Summaries that go with the frames which were returned last.
    demand_summaries: Vec<(LinkId, DemandSummary)>,
    crash_log: CrashLog,
    /// Time until which the target runs one job at a time.
    isolated_until: BootTime,
    /// Why the lease was not renewed when it was last due, if it was not.
    withholding: Option<WithholdingReason>,
    /// Orders to the target that the process has not taken yet.
    target_orders: Vec<TargetOrder>,
}

impl Agent {
    /// Returns an agent whose process started at `started_at` and that has received no announcement of a
    /// target.
    pub fn new(timing: Timing, started_at: BootTime) -> Self {
        Self {
            timing,
            started_at,
            target: None,
            successor: None,
            past_targets: BTreeSet::new(),
            runs: BTreeMap::new(),
            start_queue: StartQueue::default(),
            sessions: BTreeMap::new(),
            last_removed_report: 0,
            health: Health::default(),
            cordons: Cordons::default(),
            is_shutting_down: false,
            counters: AgentCounters::default(),
            is_demand_exchanged: false,
            demand: DemandTable::default(),
            demand_summaries: Vec::new(),
            crash_log: CrashLog::default(),
            isolated_until: BootTime::ZERO,
            withholding: None,
            target_orders: Vec::new(),
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the id of the target's present incarnation.
    pub fn target_id(&self) -> Option<&TargetId> {
        self.target.as_ref().map(|target| &target.announcement.id)
    }

    /// Returns whether there are no runs and no start order waits.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.start_queue.is_empty()
    }

    /// Removes and returns the orders to send to the target.
    pub fn take_orders(&mut self) -> Vec<TargetOrder> {
        std::mem::take(&mut self.target_orders)
    }

    /// Refuses all start orders from now on.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
        self.mark_pending_update();
    }

    /// Returns the newest cordons that are known here.
    pub fn cordons(&self) -> &Cordons {
        &self.cordons
    }

    /// Applies `update` to the known cordons. While the target's zone is cordoned, start orders are
    /// refused; runs continue. `source` is logged with a change.
    pub fn update_cordons(
        &mut self,
        source: &'static str,
        update: impl FnOnce(&mut Cordons) -> bool,
    ) {
        if !update(&mut self.cordons) {
            return;
        }
        let Cordons { offset, zones } = &self.cordons;
        let is_cordoned = self.is_cordoned();
        tracing::info!(offset, ?zones, is_cordoned, source, "cordoned zones changed");
        self.mark_pending_update();
    }

    /// Returns whether the target's zone is cordoned.
    fn is_cordoned(&self) -> bool {
        self.target.as_ref().is_some_and(|target| self.cordons.contains(&target.announcement.zone))
    }

    /// Returns the time for which the target may hold the next status poll open; zero without a
    /// target.
    pub fn poll_wait(&self, now: BootTime) -> Duration {
        let Some(target) = &self.target else { return Duration::ZERO };
        if self.have_earlier_leases_ended(now) { target.poll_wait(now) } else { SHORT_POLL_WAIT }
    }

    /// Records that a link to an entry, with frames of `version`, has opened in place of an earlier
    /// one.
    pub fn link_up(
        &mut self,
        now: BootTime,
        entry: ProcessId,
        link: LinkId,
        version: FrameVersion,
    ) {
        let last_report = self.last_removed_report;
        self.demand.resend_summary(&entry);
        let session = self.sessions.entry(entry);
        let session = session.or_insert_with(|| Session::new(link, now, last_report));
        session.link = Some(link);
        session.version = version;
        session.received_at = now;
        // Frames that were sent on the old link may be lost.
        session.sent_report = 0;
        session.sent_crash = 0;
        session.is_profile_sent = false;
        session.is_in_use = false;
        session.has_pending_update = true;
    }

    /// Records that a link to an entry has closed.
    pub fn link_down(&mut self, entry: &ProcessId, link: LinkId) {
        if let Some(session) = self.sessions.get_mut(entry)
            && session.link == Some(link)
        {
            session.link = None;
        }
    }

    /// Returns links on which nothing has arrived for so long that they should be replaced.
    pub fn silent_links(&self, now: BootTime) -> Vec<LinkId> {
        let timing = &self.timing;
        let silent = self.sessions.values().filter(|session| {
            let limit = if session.is_in_use {
                timing.contact_limit.mul_f64(SILENT_LINK_SHARE)
            } else {
                timing.idle_heartbeat(session.version) * IDLE_LINK_HEARTBEATS
            };
            now.saturating_sub(session.received_at) > limit
        });
        silent.filter_map(|session| session.link).collect()
    }

    /// Does the work that depends on the time alone. To be called at short intervals.
    pub fn tick(&mut self, now: BootTime) {
        self.stop_orphaned_runs(now);
        self.resend_stops(now);
        self.finish_runs_of_silent_target(now);
        self.settle_runs_of_restarted_target(now);
        self.start_queued(now);
        self.remove_entries(now);
        self.demand.expire(now);
    }

    /// Removes entries that have no link and of which no run can be left.
    fn remove_entries(&mut self, now: BootTime) {
        let limit = self.timing.all_runs_ended_after() * ENTRY_RETENTION_FACTOR;
        let last_removed = &mut self.last_removed_report;
        self.sessions.retain(|_, session| {
            let is_kept = session.link.is_some() || now.saturating_sub(session.alive_at) < limit;
            if !is_kept {
                *last_removed = session.last_report.max(*last_removed);
            }
            is_kept
        });
    }

    /// Returns the target's free capacity: zero without a target or while it counts as full;
    /// otherwise its capacity less the sizes of tracked runs.
    fn free(&self, now: BootTime) -> Size {
        let Some(target) = &self.target else { return Size::default() };
        if now < target.full_until {
            return Size::default();
        }
        target.announcement.capacity.saturating_sub(&self.occupied())
    }

    /// Returns the sum of the sizes of tracked runs.
    fn occupied(&self) -> Size {
        let mut occupied = Size::default();
        for run in self.runs.values() {
            occupied.add(&run.size);
        }
        occupied
    }

    /// Returns the newest stamp that an entry has echoed: it was alive after that time.
    fn alive_at(&self, entry: &ProcessId) -> BootTime {
        self.sessions.get(entry).map_or(BootTime::ZERO, |session| session.alive_at)
    }

    /// Returns whether the tracked runs are within the target's capacity.
    fn runs_fit(&self) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| self.occupied().fits(&target.announcement.capacity))
    }

    /// Returns whether new tasks are accepted.
    fn accepts(&self, now: BootTime) -> bool {
        let Some(target) = &self.target else { return false };
        let limit = self.timing.contact_limit;
        let is_answering = target.answered_at.is_some_and(|at| now.saturating_sub(at) < limit);
        let is_healthy = match self.health.state(now) {
            HealthState::Healthy => true,
            HealthState::Probation => self.runs.is_empty(),
            HealthState::Ejected => false,
        };
        // Unknown runs occupy capacity, but their sizes are not known.
        let is_load_known = !target.has_unknown_runs();
        let is_staying = !self.is_shutting_down && !target.announcement.is_leaving;
        is_answering && is_healthy && is_load_known && is_staying && !self.is_cordoned()
    }
}

/// Share of the contact limit without a frame after which a link is replaced. The rest is left to
/// open a new link before the entry counts as silent.
const SILENT_LINK_SHARE: f64 = 0.6;
/// Idle heartbeats without a frame after which a link that is not in use is replaced.
const IDLE_LINK_HEARTBEATS: u32 = 3;
/// Multiple of [`Timing::all_runs_ended_after`] after which a silent entry without a link is
/// removed.
const ENTRY_RETENTION_FACTOR: u32 = 4;
