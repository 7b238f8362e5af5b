//! The agents that an entry knows: links, choice of those in use, and the loss of an agent.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    clock::BootTime,
    cordon::Cordons,
    frame::FrameVersion,
    ids::{LinkId, ProcessId},
    outcome::RunOutcome,
};

use super::{Entry, agent_view::AgentView, subset};

impl Entry {
    /// Handles a new link to an agent, with frames of `version`.
    pub fn link_up(
        &mut self,
        now: BootTime,
        agent: ProcessId,
        link: LinkId,
        version: FrameVersion,
    ) {
        self.detect_suspension(now);
        tracing::info!(%agent, link, version, "agent linked");
        let last_order = self.last_removed_order;
        let rank = subset::rank(self.seed, &agent.name);
        let view =
            self.agents.entry(agent).or_insert_with(|| AgentView::new(link, now, last_order, rank));
        view.link_up(link, version);
    }

    /// Handles the loss of a link to an agent.
    pub fn link_down(&mut self, now: BootTime, agent: &ProcessId, link: LinkId) {
        self.detect_suspension(now);
        if let Some(view) = self.agents.get_mut(agent) {
            view.link_down(link);
            tracing::info!(%agent, link, runs = view.runs.len(), "agent's link closed");
        }
    }

    /// Returns the newest cordons that are known here.
    pub fn cordons(&self) -> &Cordons {
        &self.cordons
    }

    /// Applies `update` to the known cordons; returns whether the zones have changed. `source` is
    /// logged with a change.
    pub fn update_cordons(
        &mut self,
        now: BootTime,
        source: &'static str,
        update: impl FnOnce(&mut Cordons) -> bool,
    ) -> bool {
        if !update(&mut self.cordons) {
            return false;
        }
        let Cordons { offset, zones } = &self.cordons;
        tracing::info!(offset, ?zones, source, "cordoned zones changed");
        for view in self.agents.values_mut() {
            view.is_cordoned = self.cordons.contains(&view.profile.zone);
        }
        self.update_agents_in_use(now);
        self.place_waiting_tasks(now);
        true
    }

    /// Chooses the agents at which tasks are placed; an agent that still has runs stays in use.
    pub(super) fn update_agents_in_use(&mut self, now: BootTime) {
        self.subset_chosen_at = now;
        let timing = self.timing;
        let views = self.agents.values();
        let usable = views.filter(|view| view.accepts_tasks() && view.is_recent(now, &timing));
        let candidates = usable.filter_map(|view| {
            Some(subset::Candidate {
                link: view.link?,
                rank: view.rank,
                service: &view.profile.service,
                is_in_own_zone: view.is_in_own_zone,
                cpu_millis: view.profile.total.cpu_millis,
            })
        });
        let load = |service: &str| {
            self.offered_loads.get(service).map_or(0.0, |load| load.cpu_millis(now))
        };
        let chosen: BTreeSet<LinkId> = subset::choose(candidates, load).into_iter().collect();
        let mut has_changed = false;
        for view in self.agents.values_mut() {
            let is_chosen = view.link.is_some_and(|link| chosen.contains(&link));
            has_changed |= view.set_in_use(is_chosen || !view.runs.is_empty());
        }
        if has_changed {
            self.is_placement_due = true;
            self.heartbeats_checked_at = BootTime::ZERO;
        }
    }

    /// Returns the estimated number of entries that use each agent, this one included.
    pub(super) fn entries_per_agent(&self) -> f64 {
        let linked = self.agents.values().filter(|view| view.link.is_some()).count();
        let in_use = self.agents.values().filter(|view| view.is_in_use).count();
        let share = in_use as f64 / linked.max(1) as f64;
        (f64::from(self.entry_count) * share).max(1.0)
    }

    /// Ends the runs at agents that have been silent for so long that none can be left there, and
    /// removes those agents that have no link.
    pub(super) fn end_runs_at_silent_agents(&mut self, now: BootTime) {
        let timing = self.timing;
        let silent = self.agents.iter().filter(|(_, view)| view.have_runs_ended(now, &timing));
        let silent: Vec<ProcessId> = silent.map(|(agent, _)| agent.clone()).collect();
        for agent in silent {
            let Some(view) = self.agents.get(&agent) else { continue };
            let runs: Vec<_> =
                view.runs.iter().map(|(task, run)| (task.clone(), run.order)).collect();
            for (task, order) in runs {
                self.handle_run_end(now, &agent, &task, order, RunOutcome::Lost, Duration::ZERO);
            }
            let Some(view) = self.agents.get(&agent).filter(|view| view.link.is_none()) else {
                continue;
            };
            tracing::info!(%agent, "silent agent removed");
            self.last_removed_order = self.last_removed_order.max(view.last_order());
            self.agents.remove(&agent);
        }
    }
}
