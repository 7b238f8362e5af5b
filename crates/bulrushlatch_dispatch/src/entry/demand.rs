//! Exchange of demand with the agents in use, and the share of the released CPU that follows.
//!
//! Load: waves of demand at a different phase in each availability zone, over targets that all
//! entries share. An entry at its peak may expect more than an even part of what ending runs
//! release, and one at its trough less.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    demand::{
        self, ClassDemand, DEMAND_LIFETIME, DEMAND_RENEWAL, DemandStatement, DemandSummary,
        MIN_DEMAND_INTERVAL,
    },
    frame::DEMAND_FRAME_VERSION,
    ids::{LinkId, ProcessId, ServiceName},
    routing::Route,
};

use super::{Entry, agent_view::AgentView, offered_load::OfferedLoad};

/// Interval between updates of this entry's demand and share, below that of statements.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which an agent's share returns to the even share after its summary has expired.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Smallest share, in multiples of the even share, since other entries may state too much.
const MIN_EVEN_SHARES: f64 = 0.25;
/// Factor by which the ratio of the share to the even share must change to be logged.
const LOGGED_FACTOR: f64 = 1.5;
/// Shortest interval between log lines about the share of one service.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// What an entry and one agent have told each other about demand.
#[derive(Debug, Default)]
pub struct AgentDemand {
    /// Last statement sent.
    sent: Vec<ClassDemand>,
    /// When it was sent; `None` if none was sent on the present link.
    sent_at: Option<BootTime>,
    summary: DemandSummary,
    /// When `summary` arrived; `None` if none did.
    summary_at: Option<BootTime>,
}

impl AgentDemand {
    /// Makes the next frame carry a statement, since the last one may be lost with its link.
    pub fn reset_link(&mut self) {
        self.sent_at = None;
    }

    /// Returns the statement to send now, if one is due. `classes` is the demand for a target with
    /// `total_cpu_millis`.
    fn due_statement(
        &mut self,
        now: BootTime,
        classes: impl Iterator<Item = ClassDemand> + Clone,
        total_cpu_millis: u64,
    ) -> Option<DemandStatement> {
        let sent_ago = self.sent_at.map(|at| now.saturating_sub(at));
        if sent_ago.is_some_and(|ago| ago < MIN_DEMAND_INTERVAL) {
            return None;
        }
        let is_expiring = sent_ago.is_none_or(|ago| ago >= DEMAND_RENEWAL);
        let has_demand = classes.clone().any(|class| class.cpu_millis() > 0);
        let sent = self.sent.iter().copied();
        let is_due = (is_expiring && has_demand)
            || demand::differs_noticeably(sent, classes.clone(), total_cpu_millis);
        if !is_due {
            return None;
        }
        self.sent_at = Some(now);
        self.sent.clear();
        self.sent.extend(classes);
        Some(DemandStatement { classes: self.sent.clone() })
    }

    /// Returns how much the last summary counts: 1 until it expires, then gradually less.
    fn weight(&self, now: BootTime) -> f64 {
        let Some(at) = self.summary_at else { return 0.0 };
        let expired_for = now.saturating_sub(at).saturating_sub(DEMAND_LIFETIME);
        (1.0 - expired_for.as_secs_f64() / RETURN_TIME.as_secs_f64()).max(0.0)
    }
}

/// Demand of this entry for the targets of one service.
#[derive(Debug, Default)]
struct ServiceDemand {
    /// Load of arriving jobs by priority number of their routes.
    offered: BTreeMap<u32, OfferedLoad>,
    /// Demand at the last update, in ascending order of priority numbers.
    classes: Vec<ClassDemand>,
    /// CPU of the available targets, in thousandths of a core.
    total_cpu_millis: u64,
    /// CPU of the targets over which the demand is spread, in thousandths of a core: the available
    /// ones, but at least half of those in use. After a pause of this process most agents seem silent
    /// until their frames have been read.
    spread_cpu_millis: u64,
    /// Share of the released CPU; `None` while no summary counts.
    share: Option<DemandShare>,
    /// Ratio of the share to the even share in the last log line; 0 before the first.
    logged_ratio: f64,
    logged_at: BootTime,
}

impl ServiceDemand {
    /// Sets the classes to the load of arriving jobs; forgets classes without load.
    fn update_offered(&mut self, now: BootTime) {
        self.offered.retain(|_, load| load.cpu_millis(now) >= 1.0);
        self.classes.clear();
        self.classes.extend(self.offered.iter().map(|(&priority, load)| {
            let offered_cpu_millis = load.cpu_millis(now) as u64;
            ClassDemand { priority, offered_cpu_millis, waiting_cpu_millis: 0 }
        }));
    }

    fn add_waiting(&mut self, priority: u32, waiting_cpu_millis: u64) {
        match self.classes.binary_search_by_key(&priority, |class| class.priority) {
            Ok(index) => self.classes[index].waiting_cpu_millis += waiting_cpu_millis,
            Err(index) => {
                let class = ClassDemand { priority, offered_cpu_millis: 0, waiting_cpu_millis };
                self.classes.insert(index, class);
            }
        }
    }

    /// Returns the part of the demand that falls to a target with `cpu_millis`: its share of the CPU of
    /// all available targets.
    fn part(&self, cpu_millis: u64) -> impl Iterator<Item = ClassDemand> + Clone + '_ {
        let spread_cpu_millis = self.spread_cpu_millis.max(cpu_millis).max(1);
        let factor = cpu_millis as f64 / spread_cpu_millis as f64;
        self.classes.iter().map(move |class| class.scaled(factor))
    }

    /// Logs the share if its ratio to the even share has changed much since the last line.
    fn log_share(&mut self, now: BootTime, service: &str, even_share: f64) {
        let Some(DemandShare { share, weight }) = self.share else { return };
        let ratio = share / even_share;
        let change = ratio.max(self.logged_ratio) / ratio.min(self.logged_ratio);
        let is_early = now.saturating_sub(self.logged_at) < LOG_INTERVAL;
        if change < LOGGED_FACTOR || is_early {
            return;
        }
        let own: u64 = self.classes.iter().map(ClassDemand::cpu_millis).sum();
        tracing::info!(
            service,
            share,
            even_share,
            weight,
            ratio,
            last_ratio = self.logged_ratio,
            own_demand_cpu_millis = own,
            total_cpu_millis = self.total_cpu_millis,
            "share of the released capacity changed"
        );
        self.logged_ratio = ratio;
        self.logged_at = now;
    }
}

/// Share of the released CPU that follows from demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandShare {
    /// The share, 0 to 1.
    pub share: f64,
    /// Part of the targets' CPU of which the demand is known, 0 to 1. For the rest the rules without
    /// summaries apply.
    pub weight: f64,
}

/// State of the exchange, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandStatus {
    /// Largest number of entries whose demand an agent in use knows, this one included.
    pub entries: u32,
    /// Share over all services, 0 to 1; the even share as far as no summary counts.
    pub share: f64,
    /// Share that would apply without summaries.
    pub even_share: f64,
}

/// State of the exchange, apart from what each [`AgentView`] holds.
#[derive(Debug, Default)]
pub struct DemandExchange {
    is_on: bool,
    services: BTreeMap<ServiceName, ServiceDemand>,
    updated_at: BootTime,
    /// Statements that go with the frames which were returned last.
    statements: Vec<(LinkId, DemandStatement)>,
}

impl DemandExchange {
    /// Records the load of a job.
    pub fn record_job(
        &mut self,
        now: BootTime,
        route: &Route,
        cpu_millis: u64,
        run_time: Duration,
    ) {
        if !self.is_on {
            return;
        }
        if !self.services.contains_key(&route.service) {
            self.services.insert(route.service.clone(), ServiceDemand::default());
        }
        if let Some(service) = self.services.get_mut(&route.service) {
            let load = service.offered.entry(route.priority).or_default();
            load.record(now, cpu_millis, run_time);
        }
    }

    /// Returns this entry's share of the CPU that is released at the targets of a service; `None`
    /// while no summary counts.
    pub fn share(&self, service: &str) -> Option<DemandShare> {
        self.services.get(service)?.share
    }

    /// Adds the statement to an agent to which a frame is about to be sent, if one is due.
    pub fn add_due_statement(&mut self, now: BootTime, view: &mut AgentView) {
        let is_understood = view.version() >= DEMAND_FRAME_VERSION;
        if !self.is_on || !view.is_in_use || !is_understood {
            return;
        }
        let Some(link) = view.link else { return };
        let total_cpu_millis = view.profile.total.cpu_millis;
        let Some(service) = self.services.get(&view.profile.service) else { return };
        let part = service.part(total_cpu_millis);
        if let Some(statement) = view.demand.due_statement(now, part, total_cpu_millis) {
            self.statements.push((link, statement));
        }
    }
}

impl Entry {
    /// Sets whether this entry tells agents its demand and uses their summaries.
    pub fn set_demand_exchange(&mut self, is_on: bool) {
        self.demand.is_on = is_on;
    }

    /// Removes and returns the statements that go with the frames which were returned last.
    pub fn take_demand_statements(&mut self) -> Vec<(LinkId, DemandStatement)> {
        let statements = std::mem::take(&mut self.demand.statements);
        self.counters.demand_statements += statements.len() as u64;
        statements
    }

    /// Handles an agent's summary of the other entries' demand.
    ///
    /// Ignores one from a link that has been replaced, and drops an invalid one.
    pub fn receive_demand_summary(
        &mut self,
        now: BootTime,
        agent: &ProcessId,
        link: LinkId,
        summary: DemandSummary,
    ) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if !self.demand.is_on || view.link != Some(link) {
            return;
        }
        if !summary.is_valid(view.profile.total.cpu_millis) {
            self.counters.invalid_demand += 1;
            let invalid = self.counters.invalid_demand;
            if demand::is_invalid_logged(invalid) {
                tracing::info!(%agent, link, invalid, "invalid summary of demand dropped");
            }
            return;
        }
        self.counters.demand_summaries += 1;
        view.demand.summary = summary;
        view.demand.summary_at = Some(now);
    }

    /// Returns the state of the exchange, for the metrics.
    pub fn demand_status(&self, now: BootTime) -> DemandStatus {
        let even_share = 1.0 / self.entries_per_agent();
        let (mut share, mut total) = (0.0, 0.0);
        for service in self.demand.services.values() {
            let cpu_millis = service.total_cpu_millis as f64;
            let blended = service.share.map_or(even_share, |stated| {
                stated.share * stated.weight + even_share * (1.0 - stated.weight)
            });
            share += cpu_millis * blended;
            total += cpu_millis;
        }
        let share = if total > 0.0 { share / total } else { even_share };
        let counted = self.agents.values().filter(|view| view.demand.weight(now) > 0.0);
        let entries = counted.map(|view| view.demand.summary.entries + 1).max().unwrap_or(0);
        DemandStatus { entries, share, even_share }
    }

    /// Updates this entry's demand, and its share of what is released.
    pub(super) fn update_demand(&mut self, now: BootTime) {
        let is_early = now.saturating_sub(self.demand.updated_at) < UPDATE_INTERVAL;
        if !self.demand.is_on || is_early {
            return;
        }
        self.demand.updated_at = now;
        self.update_own_demand(now);
        self.update_shares(now);
    }

    /// Sums the load of arriving jobs and the waiting tasks by service and priority number.
    fn update_own_demand(&mut self, now: BootTime) {
        for service in self.demand.services.values_mut() {
            service.update_offered(now);
        }
        for task in self.waiting.iter() {
            let Some(job) = self.jobs.get(&task.key.job) else { continue };
            let Some(step) = job.request.steps.get(task.key.step as usize) else { continue };
            if let Some(service) = self.demand.services.get_mut(&job.route.service) {
                service.add_waiting(job.route.priority, step.size.cpu_millis);
            }
        }
        for service in self.demand.services.values_mut() {
            demand::limit_classes(&mut service.classes);
        }
    }

    /// Updates the shares of the services from the summaries of the available agents.
    fn update_shares(&mut self, now: BootTime) {
        let even_share = 1.0 / self.entries_per_agent();
        let timing = self.timing;
        for (name, service) in &mut self.demand.services {
            let views = self
                .agents
                .values()
                .filter(|view| view.is_available(now, &timing) && view.profile.service == *name);
            service.total_cpu_millis =
                views.clone().map(|view| view.profile.total.cpu_millis).sum();
            let in_use = self.agents.values().filter(|view| view.is_in_use);
            let in_use = in_use.filter(|view| view.profile.service == *name);
            let in_use_cpu_millis: u64 = in_use.map(|view| view.profile.total.cpu_millis).sum();
            service.spread_cpu_millis = service.total_cpu_millis.max(in_use_cpu_millis / 2);
            let (mut sum, mut known_cpu_millis) = (0.0, 0.0);
            for view in views {
                let cpu_millis = view.profile.total.cpu_millis;
                let known = view.demand.weight(now) * cpu_millis as f64;
                if known > 0.0 {
                    let own = service.part(cpu_millis);
                    sum += known * demand::share(own, &view.demand.summary, cpu_millis);
                    known_cpu_millis += known;
                }
            }
            let min_share = even_share * MIN_EVEN_SHARES;
            service.share = (known_cpu_millis > 0.0).then(|| DemandShare {
                share: (sum / known_cpu_millis).clamp(min_share, 1.0),
                weight: known_cpu_millis / service.total_cpu_millis as f64,
            });
            service.log_share(now, name, even_share);
        }
    }
}
