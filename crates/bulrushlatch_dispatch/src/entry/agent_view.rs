//! What an entry knows of one incarnation of an agent.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::BootTime,
    frame::{
        Action, AgentFrame, EntryFrame, FrameVersion, OLDEST_FRAME_VERSION, Offer, Order, Profile,
        StartOrder,
    },
    ids::{JobId, LinkId, OrderNumber, ReportNumber, ServiceName, TaskKey},
    size::Size,
    timing::Timing,
};

use super::{
    delegation::{
        fresh_limit,
        proofs::{LivenessProofs, OriginId},
    },
    demand::AgentDemand,
    service_numbers::ServiceNumber,
    stamps::StampHistory,
    target_speed::TargetSpeed,
};

/// Part of the contact limit, as its divisor, without a frame after which nothing new is placed at an
/// agent. An integer, since each decision checks each agent.
const FRESH_DIVISOR: u32 = 2;

/// Idle heartbeats without a frame beyond which an agent is not chosen for placement.
const MAX_SILENT_HEARTBEATS: u32 = 2;

/// An order that the agent has not acknowledged yet.
#[derive(Clone, Debug)]
struct UnacknowledgedOrder {
    number: OrderNumber,
    action: Action,
}

/// A run that this entry has ordered and that is not known to be over.
#[derive(Clone, Copy, Debug)]
pub struct OrderedRun {
    /// Number of the start order.
    pub order: OrderNumber,
    /// CPU that the task occupies, in thousandths of a core.
    pub cpu_millis: u64,
    /// Expected run time.
    pub run_time: Duration,
    /// The entry whose caller waits for the job, if it is another one. As long as the run may be
    /// open, stamps are echoed to the agent only up to that entry's liveness proof.
    pub origin: Option<OriginId>,
    /// The same proof when the job ended, from which on it no longer counts that the other entry lives:
    /// the caller may submit the job again.
    pub origin_alive_at: Option<BootTime>,
}

/// One incarnation of an agent, as this entry sees it.
#[derive(Debug)]
pub struct AgentView {
    /// The open link, if there is one.
    pub link: Option<LinkId>,
    /// Version of the frames on that link.
    version: FrameVersion,
    /// Rank by which this entry chooses the agents that it uses.
    pub rank: u64,
    /// Whether this entry places tasks at the agent.
    pub is_in_use: bool,
    /// Whether the target's zone receives no new tasks.
    pub is_cordoned: bool,
    /// Whether only isolated jobs start there.
    pub is_isolated: bool,
    /// Service of the last target that the agent had; empty before the first.
    pub last_service: ServiceName,
    /// Last received profile of the agent's target.
    pub profile: Profile,
    /// Whether the profile's zone is the entry's own.
    pub is_in_own_zone: bool,
    /// Number of the profile's service; `None` before the first profile.
    pub service: Option<ServiceNumber>,
    /// Last received offer.
    pub offer: Offer,
    /// When the last frame arrived. No later stamp can have been echoed to the agent, so it stops
    /// this entry's runs a bounded time after that; see [`Self::have_runs_ended`].
    pub received_at: BootTime,
    /// Whether a frame has arrived on the present link.
    is_synced: bool,
    /// Stamps of the frames, to be echoed.
    stamps: StampHistory,
    reports_seen: ReportNumber,
    last_order: OrderNumber,
    /// Orders for the next frame.
    pending: Vec<Order>,
    unacknowledged: VecDeque<UnacknowledgedOrder>,
    /// Sum of the sizes in the start orders of `unacknowledged`.
    unacknowledged_size: Size,
    sent_at: BootTime,
    /// This entry's runs at the agent.
    pub runs: BTreeMap<TaskKey, OrderedRun>,
    /// Moving average of the ratio of actual to expected run times; 1 is average.
    pub slowness: f64,
    /// Demand exchanged with the agent.
    pub demand: AgentDemand,
    /// Speed of the target, learned since it last started.
    pub speed: TargetSpeed,
}

impl AgentView {
    /// Returns the view of an agent whose link has just been opened; the numbers of its orders
    /// continue after `last_order`.
    pub fn new(link: LinkId, now: BootTime, last_order: OrderNumber, rank: u64) -> Self {
        Self {
            link: Some(link),
            version: OLDEST_FRAME_VERSION,
            rank,
            is_in_use: false,
            is_cordoned: false,
            is_isolated: false,
            last_service: ServiceName::new(),
            profile: Profile::default(),
            is_in_own_zone: false,
            service: None,
            offer: Offer::default(),
            received_at: now,
            is_synced: false,
            stamps: StampHistory::default(),
            reports_seen: 0,
            last_order,
            pending: Vec::new(),
            unacknowledged: VecDeque::new(),
            unacknowledged_size: Size::default(),
            sent_at: BootTime::ZERO,
            runs: BTreeMap::new(),
            slowness: 1.0,
            demand: AgentDemand::default(),
            speed: TargetSpeed::default(),
        }
    }

    /// Replaces the link; nothing is sent on the new one, with frames of `version`, before the agent's
    /// first frame.
    pub fn link_up(&mut self, link: LinkId, version: FrameVersion) {
        self.link = Some(link);
        self.version = version;
        self.is_synced = false;
        self.sent_at = BootTime::ZERO;
        self.demand.reset_link();
    }

    /// Returns the version of the frames on the link.
    pub fn version(&self) -> FrameVersion {
        self.version
    }

    /// Returns the number of the newest order.
    pub fn last_order(&self) -> OrderNumber {
        self.last_order
    }

    /// Removes the link, unless it has been replaced by another.
    pub fn link_down(&mut self, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
            self.is_synced = false;
        }
    }

    /// Applies a frame; returns the tasks of start orders that never reached the agent.
    pub fn receive(&mut self, now: BootTime, frame: &AgentFrame) -> Vec<TaskKey> {
        while self.unacknowledged.front().is_some_and(|order| order.number <= frame.orders_seen) {
            let order = self.unacknowledged.pop_front();
            if let Some(UnacknowledgedOrder { action: Action::Start(start), .. }) = order {
                self.unacknowledged_size = self.unacknowledged_size.saturating_sub(&start.size);
            }
        }
        let undelivered = if self.is_synced { Vec::new() } else { self.sync() };
        self.offer = frame.offer;
        if let Some(profile) = &frame.profile {
            // Otherwise the target or its agent has started, or the link was opened again.
            let is_resized = profile.total != self.profile.total
                && *profile == Profile { total: profile.total, ..self.profile.clone() };
            if !is_resized {
                self.speed = TargetSpeed::default();
            }
            self.profile = profile.clone();
            if !profile.service.is_empty() {
                self.last_service = profile.service.clone();
            }
        }
        self.received_at = now;
        self.stamps.record(now, frame.stamp_ms);
        undelivered
    }

    /// Starts to use a new link, after its first frame has shown which orders the old link lost.
    ///
    /// Issues lost stop orders again; returns the tasks of lost start orders.
    fn sync(&mut self) -> Vec<TaskKey> {
        self.is_synced = true;
        self.pending.clear();
        let lost: Vec<UnacknowledgedOrder> = self.unacknowledged.drain(..).collect();
        self.unacknowledged_size = Size::default();
        let mut undelivered = Vec::new();
        for order in lost {
            match order.action {
                Action::Start(start) => undelivered.push(start.task),
                stop @ Action::Stop { .. } => {
                    self.issue_order(stop);
                }
            }
        }
        undelivered
    }

    /// Records the number of a received report; returns whether the report is new.
    pub fn is_new_report(&mut self, number: ReportNumber) -> bool {
        let is_new = number > self.reports_seen;
        self.reports_seen = self.reports_seen.max(number);
        is_new
    }

    /// Returns whether a frame arrived recently on an open link.
    #[inline]
    pub fn is_fresh(&self, now: BootTime, timing: &Timing) -> bool {
        let limit = timing.contact_limit / FRESH_DIVISOR;
        self.link.is_some() && self.is_synced && now.saturating_sub(self.received_at) <= limit
    }

    /// Returns whether the agent's state is known well enough to choose it for placement.
    pub fn is_recent(&self, now: BootTime, timing: &Timing) -> bool {
        let limit = timing.idle_heartbeat(self.version) * MAX_SILENT_HEARTBEATS;
        now.saturating_sub(self.received_at) <= limit
    }

    /// Returns whether the agent accepts new tasks and its target's zone may receive them.
    pub fn accepts_tasks(&self) -> bool {
        self.offer.accepts && !self.is_cordoned
    }

    /// Returns whether new tasks may be placed at the agent.
    pub fn is_available(&self, now: BootTime, timing: &Timing) -> bool {
        self.is_in_use && self.accepts_tasks() && self.is_fresh(now, timing)
    }

    /// Returns whether the agent has been silent for so long that none of this entry's runs can be
    /// left at its target.
    pub fn have_runs_ended(&self, now: BootTime, timing: &Timing) -> bool {
        now > self.received_at + timing.all_runs_ended_after()
    }

    /// Returns the offered free capacity, less what unacknowledged start orders will occupy.
    pub fn free(&self) -> Size {
        self.offer.free.saturating_sub(&self.unacknowledged_size)
    }

    /// Returns the free capacity if new tasks may be placed at the agent.
    pub fn free_if_available(&self, now: BootTime, timing: &Timing) -> Option<Size> {
        self.is_available(now, timing).then(|| self.free())
    }

    /// Returns the number of this entry's runs of a step at the agent.
    pub fn count_runs(&self, job: &JobId, step: u32) -> u32 {
        self.runs.keys().filter(|run| run.job == *job && run.step == step).count() as u32
    }

    /// Adds an order to start a task, which is expected to take `run_time`, to the next frame;
    /// returns the order's number. `origin` is the entry whose caller waits, if it is another one.
    pub fn issue_start(
        &mut self,
        start: StartOrder,
        run_time: Duration,
        origin: Option<OriginId>,
    ) -> OrderNumber {
        let (task, cpu_millis) = (start.task.clone(), start.size.cpu_millis);
        let order = self.issue_order(Action::Start(start));
        self.runs.insert(
            task,
            OrderedRun { order, cpu_millis, run_time, origin, origin_alive_at: None },
        );
        order
    }

    /// Adds an order to the next frame; returns the order's number.
    pub fn issue_order(&mut self, action: Action) -> OrderNumber {
        self.last_order += 1;
        let number = self.last_order;
        if let Action::Start(start) = &action {
            self.unacknowledged_size.add(&start.size);
        }
        self.unacknowledged.push_back(UnacknowledgedOrder { number, action: action.clone() });
        self.pending.push(Order { number, action });
        number
    }

    /// Sets whether this entry places tasks at the agent; returns whether this is a change, which the
    /// next frame carries at once.
    pub fn set_in_use(&mut self, is_in_use: bool) -> bool {
        let has_changed = self.is_in_use != is_in_use;
        if has_changed {
            self.is_in_use = is_in_use;
            self.sent_at = BootTime::ZERO;
        }
        has_changed
    }

    /// Returns whether a frame is to be sent before the next heartbeat.
    pub fn has_pending_frame(&self) -> bool {
        !self.pending.is_empty() || self.sent_at.is_zero()
    }

    /// Fixes the liveness proofs to which the runs of a job that has ended are bound.
    pub fn fix_origin_proof(&mut self, job: &JobId, proofs: &LivenessProofs) {
        let first = TaskKey { job: job.clone(), step: 0, index: 0 };
        let runs = self.runs.range_mut(first..).take_while(|(task, _)| task.job == *job);
        for (_, run) in runs {
            let alive_at = run.origin.map(|origin| proofs.alive_at(origin));
            run.origin_alive_at = run.origin_alive_at.or(alive_at);
        }
    }

    /// Returns when the newest stamp that has been echoed was received.
    pub fn echoed_at(&self) -> BootTime {
        self.stamps.echoed_at()
    }

    /// Returns the frame to send now: pending orders or a due heartbeat, if any. Its echo is bounded by
    /// the proofs of the origins whose runs are open here.
    pub fn frame(
        &mut self,
        now: BootTime,
        timing: &Timing,
        proofs: &LivenessProofs,
    ) -> Option<(LinkId, EntryFrame)> {
        let link = self.link?;
        let interval =
            if self.is_in_use { timing.heartbeat } else { timing.idle_heartbeat(self.version) };
        let is_due = now.saturating_sub(self.sent_at) >= interval;
        if !self.is_synced || (self.pending.is_empty() && !is_due) {
            return None;
        }
        self.sent_at = now;
        let bound = proofs.bound(now, fresh_limit(timing), self.runs.values());
        let frame = EntryFrame {
            stamp_echo_ms: self.stamps.echo(bound),
            reports_seen: self.reports_seen,
            is_in_use: self.is_in_use,
            orders: std::mem::take(&mut self.pending),
        };
        Some((link, frame))
    }
}
