//! What an entry knows of one life of an agent.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    clock::BootTime,
    frame::{Action, AgentFrame, EntryFrame, Offer, Order, Profile},
    ids::{JobId, LinkId, OrderNumber, ReportNumber, TaskKey},
    size::Size,
    timing::Timing,
};

/// Share of the contact limit without a frame after which nothing new is placed at an agent.
const FRESH_SHARE: f64 = 0.5;

/// An order that the agent has not confirmed yet.
#[derive(Clone, Debug)]
struct UnseenOrder {
    number: OrderNumber,
    action: Action,
}

/// One life of an agent.
#[derive(Debug)]
pub struct AgentView {
    /// The open link, if there is one.
    pub link: Option<LinkId>,
    /// Whether tasks are placed there.
    pub is_in_use: bool,
    /// What the agent's target is.
    pub profile: Profile,
    /// What the agent said it can take.
    pub offer: Offer,
    /// When its last frame arrived; it stops our runs a bounded time after we sent that stamp back.
    pub received_at: BootTime,
    /// Whether a frame has arrived on the present link.
    is_synced: bool,
    stamp_ms: u64,
    reports_seen: ReportNumber,
    last_order: OrderNumber,
    pending: Vec<Order>,
    unseen: VecDeque<UnseenOrder>,
    sent_at: BootTime,
    /// Our runs there, with the order that began each.
    pub runs: BTreeMap<TaskKey, OrderNumber>,
    /// Run time over the caller's estimate, against that of all agents; 1 is average.
    pub slowness: f64,
}

impl AgentView {
    /// Returns an agent whose link has just been opened, to which orders after `last_order` go.
    pub fn new(link: LinkId, now: BootTime, last_order: OrderNumber) -> Self {
        Self {
            link: Some(link),
            is_in_use: false,
            profile: Profile::default(),
            offer: Offer::default(),
            received_at: now,
            is_synced: false,
            stamp_ms: 0,
            reports_seen: 0,
            last_order,
            pending: Vec::new(),
            unseen: VecDeque::new(),
            sent_at: BootTime::ZERO,
            runs: BTreeMap::new(),
            slowness: 1.0,
        }
    }

    /// Takes a new link.
    pub fn link_up(&mut self, link: LinkId) {
        self.link = Some(link);
        self.is_synced = false;
        self.sent_at = BootTime::ZERO;
    }

    /// Returns the number of the newest order.
    pub fn last_order(&self) -> OrderNumber {
        self.last_order
    }

    /// Loses its link.
    pub fn link_down(&mut self, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
            self.is_synced = false;
        }
    }

    /// Takes a frame; returns the tasks of start orders that never reached the agent, and how much
    /// processor was set free since the last frame, in thousandths of a core.
    pub fn receive(&mut self, now: BootTime, frame: &AgentFrame) -> (Vec<TaskKey>, u64) {
        while self.unseen.front().is_some_and(|order| order.number <= frame.orders_seen) {
            self.unseen.pop_front();
        }
        let undelivered = if self.is_synced { Vec::new() } else { self.sync() };
        let before = self.offer.released_cpu_millis;
        let released = match before {
            0 => 0,
            before => frame.offer.released_cpu_millis.saturating_sub(before),
        };
        self.offer = frame.offer;
        if let Some(profile) = &frame.profile {
            self.profile = profile.clone();
        }
        self.received_at = now;
        self.stamp_ms = frame.stamp_ms;
        (undelivered, released)
    }

    /// Begins to use a new link: what the old one lost is known now. Stops are ordered again;
    /// returns the tasks of the starts.
    fn sync(&mut self) -> Vec<TaskKey> {
        self.is_synced = true;
        self.pending.clear();
        let lost: Vec<UnseenOrder> = self.unseen.drain(..).collect();
        let mut undelivered = Vec::new();
        for order in lost {
            match order.action {
                Action::Start(start) => undelivered.push(start.task),
                stop @ Action::Stop { .. } => {
                    self.order(stop);
                }
            }
        }
        undelivered
    }

    /// Returns whether a report is new, and notes it.
    pub fn is_new_report(&mut self, number: ReportNumber) -> bool {
        let is_new = number > self.reports_seen;
        self.reports_seen = self.reports_seen.max(number);
        is_new
    }

    /// Returns whether the agent was heard from lately.
    pub fn is_fresh(&self, now: BootTime, timing: &Timing) -> bool {
        let limit = timing.contact_limit.mul_f64(FRESH_SHARE);
        self.link.is_some() && self.is_synced && now.saturating_sub(self.received_at) <= limit
    }

    /// Returns whether new tasks may be placed there.
    pub fn is_open(&self, now: BootTime, timing: &Timing) -> bool {
        self.is_in_use && self.offer.accepts && self.is_fresh(now, timing)
    }

    /// Returns whether no run of ours can be left there although nothing has been heard.
    pub fn is_settled(&self, now: BootTime, timing: &Timing) -> bool {
        now > self.received_at + timing.all_runs_ended_after()
    }

    /// Returns what is free, less what our orders under way will take.
    pub fn free(&self) -> Size {
        let mut free = self.offer.free;
        for order in &self.unseen {
            if let Action::Start(start) = &order.action {
                free = free.saturating_sub(&start.size);
            }
        }
        free
    }

    /// Returns the number of our runs there of one step.
    pub fn tasks_of(&self, job: &JobId, step: u32) -> u32 {
        self.runs.keys().filter(|run| run.job == *job && run.step == step).count() as u32
    }

    /// Adds an order to the next frame; returns its number.
    pub fn order(&mut self, action: Action) -> OrderNumber {
        self.last_order += 1;
        let number = self.last_order;
        if let Action::Start(start) = &action {
            self.runs.insert(start.task.clone(), number);
        }
        self.unseen.push_back(UnseenOrder { number, action: action.clone() });
        self.pending.push(Order { number, action });
        number
    }

    /// Begins or ends to place tasks there; the agent hears of it at once.
    pub fn set_in_use(&mut self, is_in_use: bool) {
        if self.is_in_use != is_in_use {
            self.is_in_use = is_in_use;
            self.sent_at = BootTime::ZERO;
        }
    }

    /// Returns the frame that is due, if any.
    pub fn frame(&mut self, now: BootTime, timing: &Timing) -> Option<(LinkId, EntryFrame)> {
        let link = self.link?;
        let pause = if self.is_in_use { timing.heartbeat } else { timing.idle_heartbeat() };
        let is_due = now.saturating_sub(self.sent_at) >= pause;
        if !self.is_synced || (self.pending.is_empty() && !is_due) {
            return None;
        }
        self.sent_at = now;
        let frame = EntryFrame {
            stamp_echo_ms: self.stamp_ms,
            reports_seen: self.reports_seen,
            is_in_use: self.is_in_use,
            orders: std::mem::take(&mut self.pending),
        };
        Some((link, frame))
    }
}
