//! Simulation of one entry and its targets on a virtual clock.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    agent::health::{Health, HealthState},
    clock::BootTime,
    entry::{Entry, Submission},
    frame::{Action, AgentFrame, NEWEST_FRAME_VERSION, Offer, Profile, Report},
    ids::{CallerId, OrderNumber},
    outcome::{Answer, Obstacle, RunOutcome},
    routing::{Route, RoutingTable},
    size::Size,
};

use super::support::{BOOT, job, ms, process, route, timing};

/// CPU that one task occupies, in thousandths of a core.
pub const TASK_CPU_MILLIS: u64 = 1_600;
/// CPU of one target, in thousandths of a core: enough for ten tasks.
pub const TARGET_CPU_MILLIS: u64 = 16_000;
/// Resolution of the virtual clock.
pub const STEP: Duration = Duration::from_millis(1);

/// A kind of job with its arrival rate.
#[derive(Clone, Copy)]
pub struct JobKind {
    pub name: &'static str,
    pub priority: u32,
    pub tasks: u32,
    pub run_ms: u64,
    /// Arrivals per second at nominal load.
    pub per_s: f64,
    /// Whether its tasks fail at every target.
    pub fails: bool,
}

pub const PRICE_CHECK: JobKind =
    JobKind { name: "price", priority: 0, tasks: 8, run_ms: 60, per_s: 35.0, fails: false };
pub const AVAILABILITY: JobKind = JobKind {
    name: "availability",
    priority: 1,
    tasks: 2,
    run_ms: 200,
    per_s: 100.0,
    fails: false,
};
pub const PHOTO: JobKind =
    JobKind { name: "photo", priority: 2, tasks: 4, run_ms: 900, per_s: 6.25, fails: false };

pub const ALWAYS_FAILING: JobKind =
    JobKind { name: "always-failing", priority: 1, tasks: 1, run_ms: 5, per_s: 20.0, fails: true };

/// Behaviour of a simulated target.
#[derive(Clone, Copy, PartialEq)]
pub enum TargetMode {
    /// Runs tasks for their run time.
    Healthy,
    /// Fails every run after 2 ms.
    Failing,
    /// Starts runs that never end by themselves.
    Stuck,
}

pub struct SimulatedRun {
    pub ends_at: BootTime,
    pub order: OrderNumber,
    pub report: Report,
    pub has_failed: bool,
}

/// A target together with its agent.
pub struct SimulatedTarget {
    pub name: String,
    pub mode: TargetMode,
    /// State by which its agent ejects it after failures.
    pub agent_health: Health,
    pub running: Vec<SimulatedRun>,
    pub reports: Vec<Report>,
    pub last_report: u64,
    pub orders_seen: u64,
    pub free_cpu_millis: u64,
    pub starts: u64,
}

impl SimulatedTarget {
    pub fn new(number: usize) -> Self {
        Self {
            name: format!("agent-{number:02}"),
            mode: TargetMode::Healthy,
            agent_health: Health::default(),
            running: Vec::new(),
            reports: Vec::new(),
            last_report: 0,
            orders_seen: 0,
            free_cpu_millis: TARGET_CPU_MILLIS,
            starts: 0,
        }
    }

    pub fn handle_order(
        &mut self,
        now: BootTime,
        number: OrderNumber,
        action: Action,
        kind: JobKind,
    ) {
        self.orders_seen = number;
        match action {
            Action::Start(start) => {
                let run = ms(kind.run_ms);
                let mut report = Report {
                    number: 0,
                    order: number,
                    task: start.task,
                    attempt: start.attempt,
                    outcome: RunOutcome::Done,
                    ran_ms: run.as_millis() as u64,
                };
                if self.free_cpu_millis < start.size.cpu_millis {
                    report.outcome = RunOutcome::NotStarted(Obstacle::NoCapacity);
                    self.report(report);
                    return;
                }
                self.starts += 1;
                self.free_cpu_millis -= start.size.cpu_millis;
                let ends_at = match self.mode {
                    TargetMode::Healthy if kind.fails => {
                        report.outcome = RunOutcome::Failed;
                        now + run
                    }
                    TargetMode::Healthy => now + run,
                    TargetMode::Failing => {
                        report.outcome = RunOutcome::Failed;
                        now + ms(2)
                    }
                    TargetMode::Stuck => BootTime::MAX,
                };
                let has_failed = start.has_failed;
                self.running.push(SimulatedRun { ends_at, order: number, report, has_failed });
            }
            Action::Stop { order, .. } => {
                if let Some(run) = self.running.iter_mut().find(|run| run.order == order) {
                    run.ends_at = now;
                    run.report.outcome = RunOutcome::Stopped;
                }
            }
        }
    }

    pub fn report(&mut self, mut report: Report) {
        self.last_report += 1;
        report.number = self.last_report;
        self.reports.push(report);
    }

    pub fn end_due_runs(&mut self, now: BootTime) {
        let (due, running) = self.running.drain(..).partition(|run| run.ends_at <= now);
        self.running = running;
        let due: Vec<SimulatedRun> = due;
        for SimulatedRun { report, has_failed, .. } in due {
            match report.outcome {
                RunOutcome::Done => self.agent_health.record_success(),
                RunOutcome::Failed if !has_failed => {
                    self.agent_health.record_failure(&report.task.job, now);
                }
                _ => {}
            }
            self.free_cpu_millis += TASK_CPU_MILLIS;
            self.report(report);
        }
    }

    pub fn frame(&mut self, now: BootTime, is_first: bool) -> AgentFrame {
        let size = |cpu_millis| Size { cpu_millis, memory_mb: 1_000_000, accelerators: 0 };
        let profile = Profile {
            service: "service".to_owned(),
            labels: Vec::new(),
            zone: "a".to_owned(),
            total: size(TARGET_CPU_MILLIS),
        };
        AgentFrame {
            stamp_ms: now.as_millis() as u64,
            orders_seen: self.orders_seen,
            profile: is_first.then_some(profile),
            offer: Offer {
                free: size(self.free_cpu_millis),
                accepts: match self.agent_health.state(now) {
                    HealthState::Healthy => true,
                    HealthState::Probation => self.running.is_empty(),
                    HealthState::Ejected => false,
                },
            },
            reports: std::mem::take(&mut self.reports),
        }
    }
}

/// Results of the jobs of one kind.
#[derive(Clone, Copy, Default, Debug)]
pub struct Tally {
    pub arrived: u64,
    /// Jobs completed within their latency objective.
    pub in_time: u64,
    /// Jobs completed after their objective, but within three objectives.
    pub late: u64,
    pub refused: u64,
    /// Refused jobs that had waited for more than a quarter of their objective.
    pub late_refusals: u64,
    /// Jobs completed after their objective, or neither completed nor refused.
    pub late_or_failed: u64,
}

/// Number of objectives within which an answer is of use.
const LATE_OBJECTIVES: u32 = 3;

impl Tally {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.arrived.max(1) as f64
    }

    pub fn plus(&self, other: &Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            late_refusals: self.late_refusals + other.late_refusals,
            late_or_failed: self.late_or_failed + other.late_or_failed,
        }
    }

    pub fn sum(tallies: &[Self]) -> Self {
        tallies.iter().fold(Self::default(), |sum, tally| sum.plus(tally))
    }

    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.arrived.max(1) as f64
    }
}

/// Seed of the entry's random choices.
const SEED: u64 = 3;
/// Every how many jobs of a kind one is large.
const LARGE_JOB_INTERVAL: u64 = 10;

pub struct Site {
    pub entry: Entry,
    pub targets: Vec<SimulatedTarget>,
    pub now: BootTime,
    pub kinds: Vec<JobKind>,
    /// Jobs to submit, with fractions, by kind.
    pub due_jobs: Vec<f64>,
    /// Kind and submission time of each open job, and whether it is a large one.
    open: BTreeMap<CallerId, (usize, BootTime, bool)>,
    pub tallies: Vec<Tally>,
    /// Factor on the number of tasks of every tenth job of a kind.
    pub large_job_factor: u32,
    /// Results of these jobs, by kind; `tallies` includes them.
    pub large_tallies: Vec<Tally>,
    pub last_caller: CallerId,
    /// Ratios of callers' estimates to real run times, used in turn.
    pub estimate_factors: Vec<f64>,
}

impl Site {
    pub fn new(targets: usize, kinds: &[JobKind]) -> Self {
        Self::with_seed(targets, kinds, SEED)
    }

    pub fn with_seed(targets: usize, kinds: &[JobKind], seed: u64) -> Self {
        let mut site = Self {
            entry: new_entry(kinds, seed),
            targets: (0..targets).map(SimulatedTarget::new).collect(),
            now: BOOT,
            kinds: kinds.to_vec(),
            due_jobs: vec![0.0; kinds.len()],
            open: BTreeMap::new(),
            tallies: vec![Tally::default(); kinds.len()],
            large_job_factor: 1,
            large_tallies: vec![Tally::default(); kinds.len()],
            last_caller: 0,
            estimate_factors: vec![1.0],
        };
        site.link_targets();
        site
    }

    /// Opens the links of all targets.
    pub fn link_targets(&mut self) {
        for (index, target) in self.targets.iter_mut().enumerate() {
            let (agent, link) = (process(&target.name), index as u64 + 1);
            self.entry.link_up(self.now, agent.clone(), link, NEWEST_FRAME_VERSION);
            self.entry.receive(self.now, &agent, link, target.frame(self.now, true));
        }
    }

    /// Replaces the entry and all targets by new ones without links; open jobs are lost, and the
    /// tallies begin anew.
    pub fn lose_power(&mut self) {
        self.entry = new_entry(&self.kinds, SEED);
        self.targets = (0..self.targets.len()).map(SimulatedTarget::new).collect();
        self.open.clear();
        self.tallies = vec![Tally::default(); self.kinds.len()];
    }

    pub fn reset_tallies(&mut self) {
        self.tallies.fill(Tally::default());
        self.large_tallies.fill(Tally::default());
    }

    /// Advances the clock by `length` under `load_factor` times the nominal load.
    pub fn run(&mut self, length: Duration, load_factor: f64) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            for kind in 0..self.kinds.len() {
                self.due_jobs[kind] += self.kinds[kind].per_s * load_factor * STEP.as_secs_f64();
                while self.due_jobs[kind] >= 1.0 {
                    self.due_jobs[kind] -= 1.0;
                    self.submit(kind);
                }
            }
            self.step_targets();
            if (self.now.as_millis()).is_multiple_of(20) {
                self.entry.tick(self.now);
            }
            self.collect();
        }
    }

    /// Advances the clock by 3 s without new jobs, so that open jobs can end.
    pub fn drain(&mut self) {
        self.run(Duration::from_secs(3), 0.0);
    }

    pub fn submit(&mut self, kind: usize) {
        self.last_caller += 1;
        let (caller, job_kind) = (self.last_caller, self.kinds[kind]);
        let factor = self.estimate_factors[caller as usize % self.estimate_factors.len()];
        let estimate = ms(job_kind.run_ms).mul_f64(factor);
        let is_large = self.tallies[kind].arrived.is_multiple_of(LARGE_JOB_INTERVAL);
        let tasks = job_kind.tasks * if is_large { self.large_job_factor } else { 1 };
        let request = job(&format!("job-{caller}"), tasks, TASK_CPU_MILLIS, estimate);
        let submission = Submission {
            caller,
            route: Arc::new(route_of(&job_kind)),
            request,
            remaining_time: Some(ms(12_000)),
        };
        self.tallies[kind].arrived += 1;
        self.large_tallies[kind].arrived += u64::from(is_large);
        self.open.insert(caller, (kind, self.now, is_large));
        self.entry.submit(self.now, submission);
        self.collect();
    }

    /// Ends due runs and delivers the targets' frames to the entry.
    pub fn step_targets(&mut self) {
        let is_heartbeat = self.now.as_millis().is_multiple_of(50);
        for (index, target) in self.targets.iter_mut().enumerate() {
            target.end_due_runs(self.now);
            if is_heartbeat || !target.reports.is_empty() {
                let frame = target.frame(self.now, false);
                self.entry.receive(self.now, &process(&target.name), index as u64 + 1, frame);
            }
        }
    }

    /// Delivers the entry's frames to the targets and tallies its answers.
    pub fn collect(&mut self) {
        for (link, frame) in self.entry.frames(self.now) {
            for order in frame.orders {
                let kind = match &order.action {
                    Action::Start(start) => self.kind_of(&start.task.job),
                    Action::Stop { .. } => self.kinds[0],
                };
                let target = &mut self.targets[link as usize - 1];
                target.handle_order(self.now, order.number, order.action, kind);
            }
        }
        for (caller, answer) in self.entry.take_answers() {
            let Some((kind, since, is_large)) = self.open.remove(&caller) else { continue };
            let took = self.now - since;
            let objective = route_of(&self.kinds[kind]).objective(ms(self.kinds[kind].run_ms));
            let mut tally = Tally::default();
            match answer {
                Answer::Completed if took <= objective => tally.in_time += 1,
                Answer::Refused { .. } => {
                    tally.refused += 1;
                    tally.late_refusals += u64::from(took > objective / 4);
                }
                Answer::Completed => {
                    tally.late_or_failed += 1;
                    tally.late += u64::from(took <= objective * LATE_OBJECTIVES);
                }
                _ => tally.late_or_failed += 1,
            }
            self.tallies[kind] = self.tallies[kind].plus(&tally);
            if is_large {
                self.large_tallies[kind] = self.large_tallies[kind].plus(&tally);
            }
        }
    }

    pub fn kind_of(&self, job: &str) -> JobKind {
        let caller = job.trim_start_matches("job-").parse().unwrap_or_default();
        self.open.get(&caller).map_or(self.kinds[0], |(kind, ..)| self.kinds[*kind])
    }

    pub fn tally(&self, kind: JobKind) -> Tally {
        let index = self.kinds.iter().position(|candidate| candidate.name == kind.name);
        self.tallies[index.expect("the kind is part of the load")]
    }
}

fn new_entry(kinds: &[JobKind], seed: u64) -> Entry {
    let mut entry = Entry::new(timing(), "a".to_owned(), seed);
    let routes = kinds.iter().map(route_of).collect();
    entry.configure(RoutingTable::new(1, routes, None));
    entry
}

pub fn route_of(kind: &JobKind) -> Route {
    Route { priority: kind.priority, ..route(kind.name) }
}
