//! The process beside a target: the only place where tasks start.
//!
//! - [`run`]: one run in the ledger
//! - [`contact`]: what is kept for each entry
//! - [`target`]: what is known of the target
//! - [`health`]: whether the target does its work

pub mod contact;
pub mod health;
mod ledger;
mod orders;
pub mod run;
pub mod target;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::BootTime,
    frame::{AgentFrame, Offer, Profile, Report},
    ids::{Attempt, LinkId, ProcessId, ReportNumber, TaskKey},
    outcome::RunOutcome,
    size::Size,
    timing::Timing,
};

pub use self::ledger::StartRequest;

use self::{
    contact::Contact,
    health::{Health, Trust},
    run::Run,
    target::{Announcement, PollError, Target, TargetId, TargetTimeMs},
};

/// Something the agent wants done at its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetOrder {
    /// Start the run in the ledger; ask [`Agent::prepare_start`] for the order's content.
    Start(TaskKey),
    /// Stop a run, named as the target knows it.
    Stop(StopOrder),
}

/// An order to stop a run at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The life of the target.
    pub target: TargetId,
    /// The task, if it is one of ours.
    pub task: Option<TaskKey>,
    /// The task's name at the target, for a run that is not ours.
    pub name: String,
    /// Number of the start.
    pub attempt: Attempt,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentCounters {
    /// Start orders taken.
    pub starts: u64,
    /// Runs that were done.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped.
    pub stopped: u64,
    /// Runs whose lease or target ended.
    pub lost: u64,
    /// Start orders that began nothing.
    pub not_started: u64,
    /// Runs stopped because their entry fell silent.
    pub orphaned: u64,
    /// Runs at the target that this process had not ordered.
    pub unknown_runs: u64,
    /// Looks without renewal because an overdue stop was not confirmed.
    pub withheld_renewals: u64,
}

/// The decisions of an agent.
#[derive(Debug)]
pub struct Agent {
    timing: Timing,
    target: Option<Target>,
    /// Another life of the target that has announced itself while this one was not known to be over.
    successor: Option<Announcement>,
    /// Lives of the target that are over; what they still say is ignored.
    retired: BTreeSet<TargetId>,
    runs: BTreeMap<TaskKey, Run>,
    contacts: BTreeMap<ProcessId, Contact>,
    /// Highest report to an entry that was forgotten: it may still remember this agent, and takes
    /// only reports with higher numbers than it has seen.
    last_forgotten_report: ReportNumber,
    health: Health,
    is_leaving: bool,
    released_cpu_millis: u64,
    counters: AgentCounters,
    orders: Vec<TargetOrder>,
}

impl Agent {
    /// Returns an agent that knows no target yet.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            target: None,
            successor: None,
            retired: BTreeSet::new(),
            runs: BTreeMap::new(),
            contacts: BTreeMap::new(),
            last_forgotten_report: 0,
            health: Health::default(),
            is_leaving: false,
            released_cpu_millis: 0,
            counters: AgentCounters::default(),
            orders: Vec::new(),
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> AgentCounters {
        self.counters
    }

    /// Returns the id of the target's present life.
    pub fn target_id(&self) -> Option<&TargetId> {
        self.target.as_ref().map(|target| &target.announcement.id)
    }

    /// Returns whether runs are left.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns what is to be done at the target.
    pub fn take_orders(&mut self) -> Vec<TargetOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Takes no new tasks from now on.
    pub fn begin_shutdown(&mut self) {
        self.is_leaving = true;
        self.note_news();
    }

    /// Takes what a target says of itself.
    pub fn handle_announcement(&mut self, announcement: Announcement) {
        if self.retired.contains(&announcement.id) {
            tracing::info!(target = %announcement.id, "announcement of a past target ignored");
            return;
        }
        match &self.target {
            None => self.adopt(announcement),
            Some(target) if target.announcement.id == announcement.id => {
                self.renew_announcement(announcement);
            }
            // Only the target's address shows who is there: the next look finds it out.
            Some(target) => {
                tracing::info!(
                    present = %target.announcement.id, other = %announcement.id,
                    "announcement of another target"
                );
                self.successor = Some(announcement);
            }
        }
    }

    fn adopt(&mut self, announcement: Announcement) {
        tracing::info!(
            target = %announcement.id, service = %announcement.service,
            cpu_millis = announcement.capacity.cpu_millis, "target found"
        );
        self.target = Some(Target::new(announcement));
        self.renew_profiles();
        self.health = Health::default();
        self.note_news();
    }

    fn renew_announcement(&mut self, announcement: Announcement) {
        let Some(target) = &mut self.target else { return };
        if target.announcement.sequence >= announcement.sequence {
            return;
        }
        let was_leaving = target.announcement.is_leaving;
        let is_leaving = announcement.is_leaving;
        target.announcement = announcement;
        if was_leaving != is_leaving {
            tracing::info!(target = %target.announcement.id, is_leaving, "target changed state");
            self.note_news();
        }
    }

    /// Takes word that the target has left.
    pub fn handle_departure(&mut self, now: BootTime, id: &TargetId) {
        if self.target_id() == Some(id) {
            self.retire_target(now);
        }
    }

    /// Takes the failure of a look at the target.
    pub fn handle_poll_error(&mut self, now: BootTime, id: &TargetId, fault: PollError) {
        if self.target_id() != Some(id) {
            return;
        }
        match fault {
            PollError::Absent | PollError::OtherTarget => self.retire_target(now),
            PollError::NoAnswer => {}
        }
    }

    /// Ends the present life of the target: its runs are over.
    fn retire_target(&mut self, now: BootTime) {
        let Some(target) = self.target.take() else { return };
        tracing::info!(target = %target.announcement.id, runs = self.runs.len(), "target lost");
        self.retired.insert(target.announcement.id);
        self.renew_profiles();
        while self.retired.len() > MOST_RETIRED {
            self.retired.pop_first();
        }
        for task in self.runs.keys().cloned().collect::<Vec<_>>() {
            self.finish(now, &task, RunOutcome::Lost);
        }
        self.note_news();
        if let Some(successor) = self.successor.take()
            && !self.retired.contains(&successor.id)
        {
            self.adopt(successor);
        }
    }

    /// Opens a link to an entry.
    pub fn link_up(&mut self, now: BootTime, entry: ProcessId, link: LinkId) {
        let last_report = self.last_forgotten_report;
        let contact = self.contacts.entry(entry);
        let contact = contact.or_insert_with(|| Contact::new(link, now, last_report));
        contact.link = Some(link);
        contact.received_at = now;
        // What was sent on the old link may be lost.
        contact.sent_report = 0;
        contact.has_profile = false;
        contact.is_in_use = false;
        contact.has_news = true;
    }

    /// Closes a link to an entry.
    pub fn link_down(&mut self, entry: &ProcessId, link: LinkId) {
        if let Some(contact) = self.contacts.get_mut(entry)
            && contact.link == Some(link)
        {
            contact.link = None;
        }
    }

    /// Returns links on which nothing has arrived for so long that a new one should be tried.
    pub fn silent_links(&self, now: BootTime) -> Vec<LinkId> {
        let timing = &self.timing;
        let silent = self.contacts.values().filter(|contact| {
            let limit = if contact.is_in_use {
                timing.contact_limit.mul_f64(SILENT_LINK_SHARE)
            } else {
                timing.idle_heartbeat() * IDLE_LINK_HEARTBEATS
            };
            now.saturating_sub(contact.received_at) > limit
        });
        silent.filter_map(|contact| contact.link).collect()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: BootTime) {
        self.stop_orphans(now);
        self.repeat_stops(now);
        self.give_up_silent_target(now);
        self.forget_entries(now);
    }

    /// Forgets entries without a link of which no run can be left.
    fn forget_entries(&mut self, now: BootTime) {
        let limit = self.timing.all_runs_ended_after() * 4;
        let last_forgotten = &mut self.last_forgotten_report;
        self.contacts.retain(|_, contact| {
            let is_kept = contact.link.is_some() || now.saturating_sub(contact.heard_at) < limit;
            if !is_kept {
                *last_forgotten = contact.last_report.max(*last_forgotten);
            }
            is_kept
        });
    }

    /// Returns the frames that are due; `pause` is the shortest time between two on one link.
    pub fn frames(
        &mut self,
        now: BootTime,
        pause: std::time::Duration,
    ) -> Vec<(LinkId, AgentFrame)> {
        let offer = self.offer(now);
        let profile = self.profile();
        let timing = self.timing;
        let mut frames = Vec::new();
        for contact in self.contacts.values_mut() {
            let Some(link) = contact.link else { continue };
            if !contact.is_due(now, &timing, pause, offer.accepts) {
                continue;
            }
            let sent = contact.sent_report;
            let new = contact.reports.iter().filter(|report| report.number > sent);
            let reports: Vec<Report> = new.cloned().collect();
            contact.sent_report = contact.last_report;
            contact.sent_at = now;
            contact.has_news = false;
            let profile = (!contact.has_profile).then(|| profile.clone());
            contact.has_profile = true;
            contact.said_accepts = offer.accepts;
            let stamp_ms = now.as_millis() as u64;
            let orders_seen = contact.orders_seen;
            frames.push((link, AgentFrame { stamp_ms, orders_seen, profile, offer, reports }));
        }
        frames
    }

    /// Returns whether a frame should go out before the next heartbeat.
    pub fn has_pending_update(&self) -> bool {
        let is_used = |it: &Contact| it.link.is_some() && it.is_in_use && it.has_news;
        self.contacts.values().any(is_used)
    }

    fn profile(&self) -> Profile {
        let Some(target) = &self.target else { return Profile::default() };
        let announcement = &target.announcement;
        Profile {
            service: announcement.service.clone(),
            labels: announcement.labels.clone(),
            zone: announcement.zone.clone(),
            total: announcement.capacity,
        }
    }

    fn offer(&self, now: BootTime) -> Offer {
        Offer {
            free: self.free(now),
            accepts: self.accepts(now),
            released_cpu_millis: self.released_cpu_millis,
        }
    }

    /// Returns what the target has left, counting runs until their ends are known.
    fn free(&self, now: BootTime) -> Size {
        let Some(target) = &self.target else { return Size::default() };
        if now < target.full_until {
            return Size::default();
        }
        let mut taken = Size::default();
        for run in self.runs.values() {
            taken.add(&run.size);
        }
        target.announcement.capacity.saturating_sub(&taken)
    }

    fn accepts(&self, now: BootTime) -> bool {
        let Some(target) = &self.target else { return false };
        let limit = self.timing.contact_limit;
        let is_present = target.answered_at.is_some_and(|at| now.saturating_sub(at) < limit);
        let is_trusted = match self.health.trust(now) {
            Trust::Full => true,
            Trust::Probation => self.runs.is_empty(),
            Trust::Suspended => false,
        };
        // Runs of an earlier process take room that this one does not know.
        let is_known = target.unknown_runs.is_empty();
        let is_staying = !self.is_leaving && !target.announcement.is_leaving;
        is_present && is_trusted && is_known && is_staying
    }

    /// Returns the end of the lease to ask for, unless an overdue stop has not been confirmed.
    pub fn prepare_renewal(&mut self, now: BootTime) -> Option<TargetTimeMs> {
        self.stop_orphans(now);
        let overdue_after = self.timing.contact_limit + self.timing.stop_grace;
        let contacts = &self.contacts;
        let is_overdue = self.runs.values().any(|run| {
            let heard_at = contacts.get(&run.owner).map_or(BootTime::ZERO, |it| it.heard_at);
            now.saturating_sub(heard_at) > overdue_after
        });
        if is_overdue {
            self.counters.withheld_renewals += 1;
            return None;
        }
        let longest = self.timing.longest_lease();
        let lease = self.timing.lease;
        self.target.as_mut().map(|target| target.lease(now, lease, longest))
    }

    fn renew_profiles(&mut self) {
        for contact in self.contacts.values_mut() {
            contact.has_profile = false;
        }
    }

    fn note_news(&mut self) {
        for contact in self.contacts.values_mut() {
            contact.has_news = true;
        }
    }
}

/// Past lives of targets that are remembered: more than start beside one agent in a day.
const MOST_RETIRED: usize = 64;
/// Share of the contact limit without a frame after which a link is replaced, which leaves time for
/// a new one before the entry counts as silent.
const SILENT_LINK_SHARE: f64 = 0.6;
/// Heartbeats that may be missing on a link that is not in use before it is replaced.
const IDLE_LINK_HEARTBEATS: u32 = 3;
