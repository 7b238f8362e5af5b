//! Metrics of an entry.

use bulrushlatch_dispatch::{
    clock::{BootClock, BootTime},
    entry::Entry,
};
use prometheus_client::registry::Registry;

use super::EntryProcess;
use crate::{
    interface::{CallerInterface, SiteStore},
    metrics::{self, MetricsSource},
};

impl<C: CallerInterface, S: SiteStore> MetricsSource for EntryProcess<C, S> {
    fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("bulrushlatch_entry");
        let core = self.core.borrow();
        add_job_counters(&mut registry, &core);
        add_exchange_counters(&mut registry, &core);
        let store_faults = self.configuration_read_errors.get();
        let help = "Calls to the store without result";
        metrics::add_counters(&mut registry, &[("store_faults", help, store_faults)]);
        add_load_gauges(&mut registry, &core, self.clock.now());
        add_state_gauges(&mut registry, &core, self.clock.now());
        registry.register(
            "answer_seconds",
            "Time from call to answer",
            self.answer_latency.clone(),
        );
        registry
    }
}

/// Adds the counters of the jobs and tasks that this entry handles.
fn add_job_counters(registry: &mut Registry, core: &Entry) {
    let counters = core.counters();
    metrics::add_counters(
        registry,
        &[
            ("arrived_jobs", "Jobs that arrived", counters.arrived),
            ("completed_jobs", "Jobs completed", counters.completed),
            ("failed_jobs", "Jobs of which a task failed for good", counters.failed),
            ("refused_jobs", "Jobs refused, not run", counters.refused),
            (
                "refused_by_processor",
                "Jobs refused for lack of processor time",
                counters.refused_by_processor,
            ),
            ("late_refusals", "Jobs refused after they had waited", counters.late_refusals),
            (
                "refused_while_waiting",
                "Waiting jobs refused because they could not start in time",
                counters.refused_while_waiting,
            ),
            (
                "displaced_jobs",
                "Waiting jobs refused in favor of more urgent ones",
                counters.displaced,
            ),
            ("interrupted_jobs", "Jobs given up that may have run", counters.interrupted),
            ("abandoned_jobs", "Jobs whose callers had gone", counters.abandoned),
            ("start_orders", "Start orders sent", counters.start_orders),
            ("fruitless_starts", "Start orders that began nothing", counters.not_started),
            ("lost_runs", "Runs that ended without a result", counters.lost_runs),
            ("target_crashes", "Crashes of targets told by agents", counters.target_crashes),
            (
                "crashing_jobs",
                "Jobs failed because targets crash under them",
                counters.crashing_jobs,
            ),
            ("stuck_runs", "Runs stopped for standing still", counters.stuck_runs),
            (
                "speed_waits",
                "Tasks that waited for a fast target while others had room",
                counters.speed_waits,
            ),
            ("suspensions", "Times this process was suspended", counters.suspensions),
        ],
    );
}

/// Adds the counters of what is exchanged with other entries and agents: delegated jobs and demand.
fn add_exchange_counters(registry: &mut Registry, core: &Entry) {
    let counters = core.counters();
    let delegation = core.delegation_counters();
    metrics::add_counters(
        registry,
        &[
            ("delegated_jobs", "Jobs sent to other entries", delegation.delegated),
            ("delegated_not_taken", "Of these, jobs not taken there", delegation.not_taken),
            (
                "delegated_interrupted",
                "Of these, jobs interrupted by a silent entry or lost link",
                delegation.interrupted,
            ),
            ("accepted_delegated", "Jobs accepted from other entries", delegation.accepted),
            ("refused_delegated", "Jobs of other entries not taken", delegation.refused),
            (
                "abandoned_delegated",
                "Accepted jobs given up because of a silent entry or lost link",
                delegation.abandoned,
            ),
            ("invalid_delegation_frames", "Invalid frames of other entries", delegation.invalid),
            ("demand_statements", "Statements of demand sent", counters.demand_statements),
            ("demand_summaries", "Summaries of demand received", counters.demand_summaries),
            ("invalid_demand", "Invalid summaries of demand dropped", counters.invalid_demand),
        ],
    );
}

/// Adds the gauges of the processor's load and of what is decided by it.
fn add_load_gauges(registry: &mut Registry, core: &Entry, now: BootTime) {
    let load = core.processor_load();
    let busy_percent = load.busy_percent();
    let queueing_delay_us = load.queueing_delay().as_micros() as u64;
    let overload_refusal_percent = (core.overload().fraction() * 100.0) as u64;
    let delegated_percent = (core.delegated_share() * 100.0) as u64;
    let reserve_cpu_millis = core.largest_reserve_cpu_millis(now);
    metrics::add_gauges(
        registry,
        &[
            ("busy_percent", "Busy share of the process's thread", busy_percent),
            (
                "overload_refusal_percent",
                "Part of the jobs to refuse for lack of processor time",
                overload_refusal_percent,
            ),
            (
                "queueing_delay_us",
                "Time that an event waits for the process's thread",
                queueing_delay_us,
            ),
            ("delegated_percent", "Share of the arriving jobs to delegate", delegated_percent),
            ("spare_jobs_per_s", "Jobs per second that could be taken", core.spare_jobs_per_s(now)),
            (
                "reserve_cpu_millis",
                "CPU left to the most urgent routes of a service",
                reserve_cpu_millis,
            ),
        ],
    );
}

/// Adds the gauges of the state of jobs, targets and demand.
fn add_state_gauges(registry: &mut Registry, core: &Entry, now: BootTime) {
    let demand = core.demand_status(now);
    let permille = |share: f64| (share * 1_000.0).round() as u64;
    metrics::add_gauges(
        registry,
        &[
            ("open_jobs", "Jobs being worked on", core.open_jobs() as u64),
            ("waiting_tasks", "Tasks that wait for room", core.waiting_tasks() as u64),
            ("version", "Configuration in force", core.version().unwrap_or_default()),
            (
                "target_speed_spread_percent",
                "Standard deviation of the speeds of targets in use",
                (core.target_speed_spread() * 100.0) as u64,
            ),
            ("slow_targets", "Targets recognised as slow", core.slow_targets() as u64),
            (
                "isolated_routes",
                "Routes whose jobs start at targets of their own",
                core.isolated_routes() as u64,
            ),
            (
                "cordoned_zones",
                "Zones that receive no new tasks",
                core.cordons().zones.len() as u64,
            ),
            (
                "demand_entries",
                "Entries whose demand is known, this one included",
                u64::from(demand.entries),
            ),
            (
                "released_share_permille",
                "Expected share of the released capacity",
                permille(demand.share),
            ),
            (
                "even_share_permille",
                "Even share of the released capacity",
                permille(demand.even_share),
            ),
        ],
    );
}
