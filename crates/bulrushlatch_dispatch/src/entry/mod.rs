//! The process that takes jobs, places their tasks and answers.
//!
//! - [`admission`]: whether a job is taken or refused when it arrives
//! - [`placement`]: at which agent a task is started
//! - [`subset`]: which agents an entry uses
//! - [`agent_view`]: what is known of an agent
//! - [`job_state`]: a job being worked on
//! - [`run_times`], [`rates`]: what was learned
//! - [`answer_cache`]: answers for callers who ask again

pub mod admission;
pub mod agent_view;
pub mod job_state;
pub mod answer_cache;
pub mod placement;
pub mod rates;
pub mod run_times;
pub mod subset;
mod submission;
mod dispatch;
mod completion;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    clock::BootTime,
    frame::{AgentFrame, EntryFrame},
    ids::{CallerId, JobId, LinkId, OrderNumber, ProcessId, TaskKey},
    outcome::{Answer, Obstacle, RunOutcome},
    routing::RoutingTable,
    timing::Timing,
};

pub use self::submission::Submission;

use self::{
    agent_view::AgentView,
    answer_cache::KeptAnswers,
    job_state::JobState,
    rates::{Demands, Rate},
    run_times::RunTimes,
};

/// Lateness of this process above which it takes no new jobs: agents count on a word from it every
/// fourth of the contact limit.
const LAG_LIMIT: Duration = Duration::from_millis(40);
/// Weight of a new value in the average lateness.
const LAG_WEIGHT: f64 = 0.3;
/// Pause between choices of the agents in use, while none comes.
const CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCounters {
    /// Jobs that arrived.
    pub arrived: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Jobs refused after they had waited.
    pub refused_late: u64,
    /// Jobs given up that may have run.
    pub interrupted: u64,
    /// Jobs whose callers had gone.
    pub abandoned: u64,
    /// Start orders.
    pub starts: u64,
    /// Start orders that began nothing.
    pub not_started: u64,
    /// Runs that ended without a result.
    pub lost_runs: u64,
    /// Runs that were stopped for standing still.
    pub stuck_runs: u64,
    /// Times at which this process found itself suspended.
    pub suspensions: u64,
}

/// The decisions of an entry.
#[derive(Debug)]
pub struct Entry {
    timing: Timing,
    zone: String,
    rng: fastrand::Rng,
    /// Decides which agents this entry uses.
    seed: u64,
    /// When the agents in use were last chosen.
    chosen_at: BootTime,
    table: Option<RoutingTable>,
    agents: BTreeMap<ProcessId, AgentView>,
    /// Highest order to an agent that was forgotten: it may still remember this entry, and obeys
    /// only orders with higher numbers than it has seen.
    last_forgotten_order: OrderNumber,
    jobs: BTreeMap<JobId, JobState>,
    callers: BTreeMap<CallerId, JobId>,
    /// Tasks that wait for room, by the latest start at which their job is still in time.
    waiting: BTreeSet<(BootTime, TaskKey)>,
    kept: KeptAnswers,
    run_times: RunTimes,
    released: Rate,
    demands: Demands,
    /// Entries that share the targets, this one included.
    entries: u32,
    is_leaving: bool,
    /// Moving average of how late this process does what is due.
    lag: Duration,
    last_event_at: BootTime,
    answers: Vec<(CallerId, Answer)>,
    counters: EntryCounters,
}

impl Entry {
    /// Returns an entry without configuration, agents or jobs.
    pub fn new(timing: Timing, zone: String, seed: u64) -> Self {
        Self {
            timing,
            zone,
            rng: fastrand::Rng::with_seed(seed),
            seed,
            chosen_at: BootTime::ZERO,
            table: None,
            agents: BTreeMap::new(),
            last_forgotten_order: 0,
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            waiting: BTreeSet::new(),
            kept: KeptAnswers::default(),
            run_times: RunTimes::default(),
            released: Rate::default(),
            demands: Demands::default(),
            entries: 1,
            is_leaving: false,
            lag: Duration::ZERO,
            last_event_at: BootTime::ZERO,
            answers: Vec::new(),
            counters: EntryCounters::default(),
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// Returns the number of jobs being worked on.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of tasks that wait for room.
    pub fn waiting_tasks(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version)
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&RoutingTable> {
        self.table.as_ref()
    }

    /// Puts a configuration in force unless it is older than the present one; returns whether it is
    /// newer.
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

    /// Sets the number of entries that share the targets.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Notes how late this process does what is due, for want of processor time.
    pub fn record_lag(&mut self, lag: Duration) {
        let was_lagging = self.is_lagging();
        self.lag = self.lag.mul_f64(1.0 - LAG_WEIGHT) + lag.mul_f64(LAG_WEIGHT);
        let is_lagging = self.is_lagging();
        if was_lagging != is_lagging {
            let lag_ms = self.lag.as_millis() as u64;
            tracing::info!(lag_ms, is_lagging, "own processor time");
        }
    }

    /// Returns whether more jobs would only make those that are open late.
    fn is_lagging(&self) -> bool {
        self.lag > LAG_LIMIT
    }

    /// Returns whether new callers should be sent here.
    pub fn is_ready(&self, now: BootTime) -> bool {
        let has_agent = self.agents.values().any(|agent| agent.is_open(now, &self.timing));
        self.table.is_some() && has_agent && !self.is_leaving && !self.is_lagging()
    }

    /// Refuses new jobs from now on.
    pub fn begin_shutdown(&mut self) {
        self.is_leaving = true;
    }

    /// Gives up every open job, as the process stops: callers get an answer, not a broken connection.
    pub fn give_up_open_jobs(&mut self, now: BootTime) {
        for job in self.jobs.keys().cloned().collect::<Vec<_>>() {
            self.give_up(now, &job);
        }
    }

    /// Returns the answers that are ready.
    pub fn take_answers(&mut self) -> Vec<(CallerId, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// Returns the frames that are due.
    pub fn frames(&mut self, now: BootTime) -> Vec<(LinkId, EntryFrame)> {
        let timing = self.timing;
        self.agents.values_mut().filter_map(|agent| agent.frame(now, &timing)).collect()
    }

    /// Opens a link to an agent.
    pub fn link_up(&mut self, now: BootTime, agent: ProcessId, link: LinkId) {
        self.observe(now);
        tracing::info!(%agent, link, "agent linked");
        let last_order = self.last_forgotten_order;
        let view =
            self.agents.entry(agent).or_insert_with(|| AgentView::new(link, now, last_order));
        view.link_up(link);
    }

    /// Closes a link to an agent.
    pub fn link_down(&mut self, now: BootTime, agent: &ProcessId, link: LinkId) {
        self.observe(now);
        if let Some(view) = self.agents.get_mut(agent) {
            view.link_down(link);
            tracing::info!(%agent, link, runs = view.runs.len(), "agent's link closed");
        }
    }

    /// Takes a frame of an agent.
    ///
    /// A frame of a link that has been replaced is out of date and ignored.
    pub fn receive(&mut self, now: BootTime, agent: &ProcessId, link: LinkId, frame: AgentFrame) {
        self.observe(now);
        let Some(view) = self.agents.get_mut(agent) else { return };
        if view.link != Some(link) {
            return;
        }
        let did_accept = view.offer.accepts;
        let (undelivered, released) = view.receive(now, &frame);
        let is_in_use = view.is_in_use;
        if is_in_use {
            self.released.note(now, released);
        }
        if frame.profile.is_some() || (frame.offer.accepts && !is_in_use && !did_accept) {
            self.choose_agents(now);
        }
        for task in undelivered {
            let order = self.agents.get(agent).and_then(|view| view.runs.get(&task).copied());
            let Some(order) = order else { continue };
            let outcome = RunOutcome::NotStarted(Obstacle::Undelivered);
            self.run_ended(now, agent, &task, order, outcome, Duration::ZERO);
        }
        for report in frame.reports {
            let Some(view) = self.agents.get_mut(agent) else { return };
            if !view.is_new_report(report.number) {
                continue;
            }
            let ran = Duration::from_millis(report.ran_ms);
            if let Some(job) = self.jobs.get_mut(&report.task.job)
                && let Some(task) = job.task_mut(&report.task)
            {
                task.attempt = task.attempt.max(report.attempt);
            }
            self.run_ended(now, agent, &report.task, report.order, report.outcome, ran);
        }
        self.place_waiting(now);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: BootTime) {
        self.observe(now);
        self.released.note(now, 0);
        self.demands.expire(now);
        self.settle_lost_agents(now);
        if now.saturating_sub(self.chosen_at) >= CHOICE_INTERVAL {
            self.choose_agents(now);
        }
        self.stop_stuck(now);
        self.give_up_late(now);
        self.place_waiting(now);
    }

    /// Notes the time; after a suspension, gives up every job that is being worked on: its runs have
    /// been stopped, and its callers may have submitted it again elsewhere.
    fn observe(&mut self, now: BootTime) {
        let pause = now.saturating_sub(self.last_event_at);
        let is_first = self.last_event_at.is_zero();
        self.last_event_at = now;
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

    /// Chooses the agents at which tasks are placed; one that still has runs stays in use.
    fn choose_agents(&mut self, now: BootTime) {
        self.chosen_at = now;
        let long_silent = self.timing.idle_heartbeat() * 2;
        let usable = self.agents.iter().filter(|(_, view)| {
            let is_heard = now.saturating_sub(view.received_at) <= long_silent;
            view.link.is_some() && view.offer.accepts && is_heard
        });
        let members = usable.map(|(agent, view)| subset::Member {
            agent,
            service: &view.profile.service,
            is_near: view.profile.zone == self.zone,
        });
        let chosen: BTreeSet<ProcessId> =
            subset::choose(self.seed, members).into_iter().cloned().collect();
        for (agent, view) in &mut self.agents {
            view.set_in_use(chosen.contains(agent) || !view.runs.is_empty());
        }
    }

    /// Returns how many entries share the agents in use.
    fn sharing_entries(&self) -> f64 {
        let linked = self.agents.values().filter(|view| view.link.is_some()).count();
        let in_use = self.agents.values().filter(|view| view.is_in_use).count();
        let share = in_use as f64 / linked.max(1) as f64;
        (f64::from(self.entries) * share).max(1.0)
    }

    /// Ends the runs at agents that have not been heard from until none can be left.
    fn settle_lost_agents(&mut self, now: BootTime) {
        let timing = self.timing;
        let lost = self.agents.iter().filter(|(_, view)| view.is_settled(now, &timing));
        let lost: Vec<ProcessId> = lost.map(|(agent, _)| agent.clone()).collect();
        for agent in lost {
            let Some(view) = self.agents.get(&agent) else { continue };
            let runs: Vec<_> =
                view.runs.iter().map(|(task, order)| (task.clone(), *order)).collect();
            for (task, order) in runs {
                self.run_ended(now, &agent, &task, order, RunOutcome::Lost, Duration::ZERO);
            }
            let Some(view) = self.agents.get(&agent).filter(|view| view.link.is_none()) else {
                continue;
            };
            tracing::info!(%agent, "agent forgotten");
            self.last_forgotten_order = self.last_forgotten_order.max(view.last_order());
            self.agents.remove(&agent);
        }
    }
}
