//! Isolation of jobs that may crash targets.
//!
//! Tasks that share a target with one that crashes it are lost as well, and where such tasks keep
//! coming, a limit of crashes for each of them does not keep the targets up. So the jobs of a route
//! that has crashed targets start at a small share of the targets, which other jobs do not use. One
//! job at a time runs there: a crash then tells which job has caused it. Jobs that were at several
//! crashes whose cause is not known start there too.
//!
//! All entries isolate the same routes at the same targets. Each tells the others what it isolates,
//! and they all isolate the sum.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    clock::BootTime,
    crash::{ISOLATION_NOTICE_LIFETIME, IsolationNotice},
    ids::{JobId, LinkId, ProcessId, RouteName, ServiceName},
    job::Step,
    routing::Route,
};

use super::{Entry, agent_view::AgentView, crash_history::CrashBlame, subset};

/// Share of a service's targets that isolated jobs use.
const ISOLATED_SHARE: f64 = 0.25;
/// Time without a crash under the jobs of an isolated route that ends its isolation. Only time counts in
/// which there was a target for them: crashed ones are away for some seconds.
const QUIET_TIME: Duration = Duration::from_millis(2_500);
/// Longest time between two updates that counts, since this process may have been suspended.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which other entries are told what is isolated here, besides each change.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);
/// Expected time until an isolated target is free again; a crashed target is back after some seconds.
pub(super) const ISOLATED_WAIT: Duration = Duration::from_secs(1);
/// Seed of the ranks by which isolated targets are chosen, the same at all entries.
const RANK_SEED: u64 = 0;

/// A route that is isolated because of crashes under jobs of this entry.
#[derive(Debug)]
struct OwnRoute {
    service: ServiceName,
    /// Time since a target last crashed under its jobs, as far as there was one for them.
    quiet_time: Duration,
}

#[derive(Debug)]
struct PeerNotice {
    received_at: BootTime,
    notice: IsolationNotice,
}

/// What is isolated, and why.
#[derive(Debug, Default)]
pub struct Isolation {
    own_routes: BTreeMap<RouteName, OwnRoute>,
    peers: BTreeMap<LinkId, PeerNotice>,
    /// What is isolated here or at another entry.
    active: IsolationNotice,
    /// What other entries were last told, and when.
    told: IsolationNotice,
    told_at: BootTime,
    is_notice_due: bool,
    /// What agents are to be told, by link.
    agent_notices: Vec<(LinkId, IsolationNotice)>,
    agents_told_at: BootTime,
    updated_at: BootTime,
}

impl Isolation {
    /// Returns whether the jobs of a route are isolated.
    fn has_route(&self, route: &RouteName) -> bool {
        self.active.routes.contains(route)
    }

    /// Isolates a route from now on.
    pub(super) fn add_route(&mut self, route: &Route) {
        let own = OwnRoute { service: route.service.clone(), quiet_time: Duration::ZERO };
        self.own_routes.insert(route.name.clone(), own);
    }

    /// Ends the isolation of routes under which no target has crashed for long enough. `present` are
    /// the services with a target for isolated jobs now.
    fn end_quiet_routes(&mut self, now: BootTime, present: &BTreeSet<ServiceName>) {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_UPDATE_INTERVAL);
        self.updated_at = now;
        for own in self.own_routes.values_mut().filter(|own| present.contains(&own.service)) {
            own.quiet_time += elapsed;
        }
        self.own_routes.retain(|_, own| own.quiet_time < QUIET_TIME);
    }

    /// Returns what is isolated by this entry, together with the services of isolated jobs.
    fn own_notice(&self, mut services: BTreeSet<ServiceName>) -> IsolationNotice {
        services.extend(self.own_routes.values().map(|route| route.service.clone()));
        IsolationNotice { services, routes: self.own_routes.keys().cloned().collect() }
    }

    /// Applies what is isolated here; returns whether the sum over all entries has changed.
    fn update(&mut self, now: BootTime, own: IsolationNotice) -> bool {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.received_at) < ISOLATION_NOTICE_LIFETIME);
        let mut active = own.clone();
        for peer in self.peers.values() {
            active.services.extend(peer.notice.services.iter().cloned());
            active.routes.extend(peer.notice.routes.iter().cloned());
        }
        let is_repeat_due = !own.is_empty() && now.saturating_sub(self.told_at) >= NOTICE_INTERVAL;
        if own != self.told || is_repeat_due {
            self.told = own;
            self.told_at = now;
            self.is_notice_due = true;
        }
        let has_changed = active != self.active;
        self.active = active;
        has_changed
    }
}

impl Entry {
    /// Returns what other entries are to be told now, if anything.
    pub fn take_isolation_notice(&mut self) -> Option<IsolationNotice> {
        let is_due = std::mem::take(&mut self.isolation.is_notice_due);
        is_due.then(|| self.isolation.told.clone())
    }

    /// Returns what agents are to be told, with their links. It is to be sent before start orders.
    pub fn take_agent_isolation_notices(&mut self) -> Vec<(LinkId, IsolationNotice)> {
        std::mem::take(&mut self.isolation.agent_notices)
    }

    /// Handles what another entry isolates.
    pub fn receive_isolation(&mut self, now: BootTime, link: LinkId, notice: IsolationNotice) {
        self.isolation.peers.insert(link, PeerNotice { received_at: now, notice });
        self.update_isolation(now);
    }

    /// Lets the isolation of a route last longer after a crash under one of its jobs.
    pub(super) fn restart_isolation_of(&mut self, job: &JobId) {
        let Some(job) = self.jobs.get(job) else { return };
        if let Some(own) = self.isolation.own_routes.get_mut(&job.route.name) {
            own.quiet_time = Duration::ZERO;
        }
    }

    /// Returns whether a job is to start in isolation, so that a further crash shows whether it is the
    /// cause.
    fn is_suspected(&self, job: &JobId) -> bool {
        self.crash_history.blame(job) == CrashBlame::Suspected
    }

    /// Isolates what has to be, and ends what is over.
    pub(super) fn update_isolation(&mut self, now: BootTime) {
        let present = self.agents.values().filter(|view| view.is_isolated && view.accepts_tasks());
        let present = present.map(|view| view.last_service.clone()).collect();
        self.isolation.end_quiet_routes(now, &present);
        let isolated_jobs = self.jobs.values().filter(|job| self.is_suspected(&job.request.id));
        let services = isolated_jobs.map(|job| job.route.service.clone()).collect();
        let own = self.isolation.own_notice(services);
        let has_changed = self.isolation.update(now, own);
        if has_changed {
            let IsolationNotice { services, routes } = &self.isolation.active;
            tracing::info!(?routes, ?services, "isolated routes changed");
            self.is_placement_due = true;
        }
        if has_changed || !self.isolation.active.is_empty() {
            self.choose_isolated_agents(now);
        }
        if has_changed {
            self.end_unstarted_isolated_jobs(now);
        }
    }

    /// Chooses the targets for isolated jobs: those with the lowest ranks, present or not, so that a
    /// target that has crashed is not replaced by another one.
    fn choose_isolated_agents(&mut self, now: BootTime) {
        let mut isolated = BTreeSet::new();
        for service in &self.isolation.active.services {
            let views = self
                .agents
                .iter()
                .filter(|(_, view)| view.last_service == *service && !view.is_cordoned);
            let mut ranked: Vec<(u64, &ProcessId)> =
                views.map(|(agent, _)| (subset::rank(RANK_SEED, &agent.name), agent)).collect();
            ranked.sort_unstable();
            // Isolation needs a target for the other jobs.
            let most = ranked.len().saturating_sub(1);
            let count = (ranked.len() as f64 * ISOLATED_SHARE).ceil() as usize;
            isolated
                .extend(ranked.into_iter().take(count.min(most)).map(|(_, agent)| agent.clone()));
        }
        self.set_isolated_agents(now, &isolated);
    }

    /// Sets the agents with targets for isolated jobs, and tells them: such an agent runs one job at a
    /// time, also where two entries choose it at the same time.
    fn set_isolated_agents(&mut self, now: BootTime, isolated: &BTreeSet<ProcessId>) {
        let isolation = &mut self.isolation;
        let is_repeat_due = now.saturating_sub(isolation.agents_told_at) >= NOTICE_INTERVAL;
        if is_repeat_due {
            isolation.agents_told_at = now;
        }
        for (agent, view) in &mut self.agents {
            let is_isolated = isolated.contains(agent);
            let has_changed = is_isolated != view.is_isolated;
            view.is_isolated = is_isolated;
            let Some(link) = view.link else { continue };
            if has_changed || (is_isolated && is_repeat_due) {
                let notice =
                    if is_isolated { isolation.active.clone() } else { IsolationNotice::default() };
                isolation.agent_notices.push((link, notice));
            }
        }
    }

    /// Ends the jobs of isolated routes that wait and have not started: they could start only one
    /// after the other.
    fn end_unstarted_isolated_jobs(&mut self, now: BootTime) {
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, job)| self.is_route_isolated(&job.route) && !job.may_have_run());
        for id in jobs.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            tracing::info!(job = %id, "its route is isolated from now on");
            self.give_up_job_with_wait(now, &id, ISOLATED_WAIT);
        }
    }

    /// Returns whether a service has targets for isolated jobs, as it has if something is isolated and
    /// it has several targets.
    fn has_isolated_agents(&self, service: &str) -> bool {
        self.isolation.active.services.contains(service)
            && self.agents.values().any(|view| view.is_isolated && view.last_service == service)
    }

    /// Returns whether all jobs of a route start at isolated targets only.
    pub(super) fn is_route_isolated(&self, route: &Route) -> bool {
        self.isolation.has_route(&route.name) && self.has_isolated_agents(&route.service)
    }

    /// Returns whether a job starts at isolated targets only.
    pub(super) fn is_isolated(&self, id: &JobId, route: &Route) -> bool {
        self.has_isolated_agents(&route.service)
            && (self.isolation.has_route(&route.name) || self.is_suspected(id))
    }

    /// Returns whether a job of an isolated route is to be given up, as a target has crashed while no
    /// other job was there: another run would probably crash the next one.
    pub(super) fn is_crash_likely(&self, id: &JobId, route: &Route) -> bool {
        self.is_route_isolated(route) && self.crash_history.was_alone_at_crash(id)
    }

    /// Returns whether an isolated job can start now.
    pub(super) fn has_isolated_target(
        &self,
        now: BootTime,
        id: &JobId,
        route: &Route,
        steps: &[Step],
    ) -> bool {
        self.targets_of_service(now, route).any(|view| {
            view.may_start_isolated(id) && steps.iter().all(|step| step.fits(&view.profile))
        })
    }

    /// Returns the number of isolated routes.
    pub fn isolated_routes(&self) -> usize {
        self.isolation.active.routes.len()
    }
}

impl AgentView {
    /// Returns whether a job may start a task there, whether it is isolated or not.
    pub(super) fn may_start(&self, job: &JobId, is_isolated: bool) -> bool {
        if is_isolated { self.may_start_isolated(job) } else { !self.is_isolated }
    }

    /// Returns whether an isolated job may start a task there: nothing else runs there, as far as is
    /// known.
    fn may_start_isolated(&self, job: &JobId) -> bool {
        let is_idle = if self.runs.is_empty() {
            self.free() == self.profile.total
        } else {
            self.runs.keys().all(|task| task.job == *job)
        };
        self.is_isolated && is_idle
    }
}
