//! The process that accepts jobs, places their tasks at agents and answers callers.
//!
//! - `submission`: handles callers' requests
//! - [`admission`]: accepts or refuses a job when it arrives
//! - `supply`: the capacity that arriving jobs can expect
//! - [`late_limit`]: how much work may wait that will be late
//! - [`shortage`]: refuses waiting jobs that cannot start in time
//! - [`served_shares`]: how often each route and size of job is served
//! - [`reserve`]: capacity that is left to the most urgent routes
//! - [`waiting`]: order in which waiting tasks are placed
//! - `dispatch`: places waiting tasks and stops stuck runs
//! - [`crash_history`]: crashes of targets, and the jobs that cause them
//! - `crashes`: ends jobs under which targets crash
//! - `completion`: handles ended runs and ends jobs
//! - [`isolation`]: keeps jobs that may crash targets apart from others
//! - [`placement`]: chooses the agent that starts a task
//! - [`overload`]: refuses jobs for lack of processor time
//! - [`delegation`]: jobs that other entries carry out, and jobs carried out for them
//! - [`processor_load`]: busy share of the entry's thread, and the delay of events in its queue
//! - [`target_speed`]: learned speed of a target
//! - [`service_speeds`]: speeds of the targets of a service in sum
//! - `speed_placement`: use of targets' speeds where they differ
//! - [`subset`]: chooses the agents that an entry uses
//! - `agents`: links to agents, choice of those in use, loss of an agent
//! - `agent_frames`: frames exchanged with agents
//! - [`agent_view`]: state of an agent as the entry knows it
//! - [`stamps`]: stamps of an agent, and which of them is echoed
//! - [`job_state`]: state of an open job and its tasks
//! - [`job_times`]: times that bound a job, as seen when it arrives
//! - [`counters`]: counters for the metrics
//! - [`demand`]: demand exchanged with agents, and the share of released CPU that follows
//! - [`run_times`], [`rates`]: learned run times, and rates of demanded CPU
//! - [`offered_load`]: the load that callers offer
//! - [`service_numbers`]: numbers that stand for the names of services
//! - [`answer_cache`]: final answers for callers that submit a finished job again

pub mod admission;
mod agent_frames;
pub mod agent_view;
mod agents;
pub mod answer_cache;
mod completion;
pub mod counters;
pub mod crash_history;
mod crashes;
pub mod delegation;
pub mod demand;
mod dispatch;
pub mod isolation;
pub mod job_state;
pub mod job_times;
pub mod late_limit;
pub mod offered_load;
pub mod overload;
pub mod placement;
pub mod processor_load;
pub mod rates;
pub mod reserve;
pub mod run_times;
pub mod served_shares;
pub mod service_numbers;
pub mod service_speeds;
mod shortage;
mod speed_placement;
pub mod stamps;
mod submission;
pub mod subset;
mod supply;
pub mod target_speed;
pub mod waiting;

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    cordon::Cordons,
    ids::{CallerId, JobId, OrderNumber, ProcessId, ServiceName},
    outcome::Answer,
    routing::RoutingTable,
    timing::Timing,
};

pub use self::{counters::EntryCounters, submission::Submission};

use self::{
    agent_view::AgentView, answer_cache::AnswerCache, crash_history::CrashHistory,
    delegation::Delegation, demand::DemandExchange, isolation::Isolation, job_state::JobState,
    late_limit::LateLimit, offered_load::OfferedLoad, overload::OverloadControl,
    processor_load::ProcessorLoad, rates::RouteDemands, reserve::UrgentDemand, run_times::RunTimes,
    served_shares::ServedShares, service_numbers::ServiceNumbers, service_speeds::ServiceSpeeds,
    waiting::WaitingQueue,
};

/// Interval at which the agents in use are chosen again while no new agent becomes usable.
const SUBSET_INTERVAL: Duration = Duration::from_millis(100);

/// State and decisions of an entry; its process does the input and output.
#[derive(Debug)]
pub struct Entry {
    timing: Timing,
    zone: String,
    rng: fastrand::Rng,
    /// Seed of the hash by which this entry ranks agents.
    seed: u64,
    /// When the agents in use were last chosen.
    subset_chosen_at: BootTime,
    table: Option<RoutingTable>,
    agents: BTreeMap<ProcessId, AgentView>,
    cordons: Cordons,
    /// Numbers of the services that agents' targets have announced.
    services: ServiceNumbers,
    /// Highest order number issued to a removed agent. The agent may still know this entry, and
    /// then ignores orders whose numbers are not above those it has seen.
    last_removed_order: OrderNumber,
    jobs: BTreeMap<JobId, JobState>,
    callers: BTreeMap<CallerId, JobId>,
    /// Tasks that wait for capacity, ordered by class and time, not by the priority of their routes.
    waiting: WaitingQueue,
    /// Whether something else than an agent's free capacity has changed since the waiting tasks were
    /// last tried.
    is_placement_due: bool,
    /// Limit on the work that waits in the late class.
    late_limit: LateLimit,
    answer_cache: AnswerCache,
    run_times: RunTimes,
    /// Speeds of the targets of each service with agents in use.
    speeds: BTreeMap<ServiceName, ServiceSpeeds>,
    /// Whether tasks are placed by the speed of targets where it differs.
    is_speed_placement_on: bool,
    /// When the tasks that wait for fast targets were last considered.
    held_checked_at: BootTime,
    /// CPU demanded by arriving jobs.
    demands: RouteDemands,
    /// Load of the jobs of each service, accepted or not.
    offered_loads: BTreeMap<ServiceName, OfferedLoad>,
    /// State of the exchange of demand with agents.
    demand: DemandExchange,
    /// Number of entries that share the targets, this one included.
    entry_count: u32,
    is_shutting_down: bool,
    processor_load: ProcessorLoad,
    overload: OverloadControl,
    /// Whether waiting jobs are looked at again each tick, and the reserve follows the demand.
    is_shortage_policy_on: bool,
    /// How often the routes of each service are served.
    served_shares: BTreeMap<ServiceName, ServedShares>,
    /// Demand of the most urgent routes of each service.
    urgent_demands: BTreeMap<ServiceName, UrgentDemand>,
    /// When each service last had room for late jobs.
    spare_seen_at: BTreeMap<ServiceName, BootTime>,
    /// Time of the first event.
    started_at: BootTime,
    last_event_at: BootTime,
    /// When all agents were last checked for due heartbeats.
    heartbeats_checked_at: BootTime,
    /// Agents for which a frame is to be sent before the next heartbeat.
    agents_with_orders: Vec<ProcessId>,
    answers: Vec<(CallerId, Answer)>,
    delegation: Delegation,
    crash_history: CrashHistory,
    isolation: Isolation,
    counters: EntryCounters,
}

impl Entry {
    /// Returns an entry without configuration, agents or jobs.
    pub fn new(timing: Timing, zone: String, seed: u64) -> Self {
        let delegation = Delegation::disabled(&zone);
        Self {
            timing,
            zone,
            rng: fastrand::Rng::with_seed(seed),
            seed,
            subset_chosen_at: BootTime::ZERO,
            table: None,
            agents: BTreeMap::new(),
            cordons: Cordons::default(),
            services: ServiceNumbers::default(),
            last_removed_order: 0,
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            waiting: WaitingQueue::default(),
            is_placement_due: false,
            late_limit: LateLimit::default(),
            answer_cache: AnswerCache::default(),
            run_times: RunTimes::default(),
            speeds: BTreeMap::new(),
            is_speed_placement_on: true,
            held_checked_at: BootTime::ZERO,
            demands: RouteDemands::default(),
            offered_loads: BTreeMap::new(),
            demand: DemandExchange::default(),
            entry_count: 1,
            is_shutting_down: false,
            processor_load: ProcessorLoad::default(),
            overload: OverloadControl::default(),
            is_shortage_policy_on: false,
            served_shares: BTreeMap::new(),
            urgent_demands: BTreeMap::new(),
            spare_seen_at: BTreeMap::new(),
            started_at: BootTime::ZERO,
            last_event_at: BootTime::ZERO,
            heartbeats_checked_at: BootTime::ZERO,
            agents_with_orders: Vec::new(),
            answers: Vec::new(),
            delegation,
            crash_history: CrashHistory::default(),
            isolation: Isolation::default(),
            counters: EntryCounters::default(),
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// Returns the number of open jobs, delegated ones included.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len() + self.delegation.outgoing().len()
    }

    /// Returns the number of tasks that wait for capacity.
    pub fn waiting_tasks(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the learned run times of each route.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version)
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&RoutingTable> {
        self.table.as_ref()
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it is.
    pub fn configure(&mut self, table: RoutingTable) -> bool {
        let version = self.version();
        if version.is_some_and(|version| version >= table.version) {
            return false;
        }
        tracing::info!(
            from = version,
            to = table.version,
            routes = table.len(),
            "configuration in force"
        );
        self.table = Some(table);
        true
    }

    /// Sets the number of entries that share the targets, this one included.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = entry_count.max(1);
    }

    /// Returns whether new callers should be routed to this entry.
    pub fn is_ready(&self, now: BootTime) -> bool {
        let has_agent = self.agents.values().any(|agent| agent.is_available(now, &self.timing));
        let is_configured = self.table.is_some();
        is_configured && has_agent && !self.is_shutting_down && !self.overload.is_exhausted()
    }

    /// Refuses new jobs from now on.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Neither accepts nor delegates new jobs from now on, since their answers could not be passed on.
    pub fn stop_accepting(&mut self) {
        self.begin_shutdown();
        self.delegation.stop_delegating();
    }

    /// Gives up every open job, so that callers get an answer and not a broken connection when the
    /// process stops.
    pub fn give_up_open_jobs(&mut self, now: BootTime) {
        for job in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.give_up_job(now, &job);
        }
        self.interrupt_all_delegated("origin suspended or stopping");
    }

    /// Removes and returns the answers that are ready.
    pub fn take_answers(&mut self) -> Vec<(CallerId, Answer)> {
        let answers = std::mem::take(&mut self.answers);
        self.route_answers(answers)
    }

    /// Does periodic work: ends the runs at silent agents, stops stuck runs, gives up late jobs, refuses
    /// jobs that cannot start in time, places waiting tasks, and updates learned values and delegation.
    pub fn tick(&mut self, now: BootTime) {
        self.detect_suspension(now);
        self.demands.expire(now);
        self.end_runs_at_silent_agents(now);
        if now.saturating_sub(self.subset_chosen_at) >= SUBSET_INTERVAL {
            self.update_agents_in_use(now);
            self.refresh_speeds(now);
        }
        self.update_isolation(now);
        self.update_demand(now);
        self.stop_stuck_runs(now);
        self.update_reserves(now);
        self.record_spare_capacity(now);
        self.end_expired_jobs(now);
        self.refuse_unserveable_jobs(now);
        self.place_waiting_tasks(now);
        self.tick_delegation(now);
    }

    /// Records the time of an event. If the process was suspended before it, gives up every open
    /// job: agents have stopped its runs, and callers may have submitted it again elsewhere.
    fn detect_suspension(&mut self, now: BootTime) {
        let pause = now.saturating_sub(self.last_event_at);
        let is_first = self.last_event_at.is_zero();
        self.last_event_at = now;
        if is_first {
            self.started_at = now;
        }
        if is_first || pause <= self.timing.contact_limit {
            return;
        }
        self.counters.suspensions += 1;
        tracing::info!(
            pause_ms = pause.as_millis() as u64,
            jobs = self.jobs.len(),
            "suspended: giving up open jobs"
        );
        self.give_up_open_jobs(now);
    }
}
