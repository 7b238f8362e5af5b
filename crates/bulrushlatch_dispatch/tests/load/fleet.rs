//! Simulation of many entries that share their targets, on a virtual clock.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    agent::demand::DemandTable,
    clock::BootTime,
    entry::{Entry, Submission},
    frame::{Action, AgentFrame, EntryFrame, NEWEST_FRAME_VERSION, Offer, Profile, Report},
    ids::CallerId,
    outcome::{Answer, Obstacle, RunOutcome},
    routing::RoutingTable,
    size::Size,
};

use super::{
    site::{JobKind, STEP, TARGET_CPU_MILLIS, Tally, route_of},
    support::{BOOT, job, ms, process, timing},
};

/// Shortest interval between frames without a report to an entry that uses the target.
const UPDATE_INTERVAL: Duration = Duration::from_millis(8);
/// Interval between frames to any other entry.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Share of the free capacity above which a refusal counts as one with spare capacity.
const SPARE_SHARE: f64 = 0.1;
/// Number of availability zones, over which entries and targets are spread evenly.
const ZONES: usize = 3;
/// CPU that a task occupies, in thousandths of a core, by job in turn: a target runs about four.
const JOB_CPU_MILLIS: [u64; 5] = [3_000, 4_400, 3_800, 5_000, 3_200];
/// Run time of the next task of a kind, as shares of the mean, used in turn.
const RUN_TIME_FACTORS: [f64; 5] = [0.7, 1.3, 0.9, 1.5, 0.6];

/// Largest of them: the objective allows for the longest task.
const LONGEST_RUN_FACTOR: f64 = 1.5;

/// What a target keeps for one entry.
#[derive(Clone, Default)]
struct TargetSession {
    reports: Vec<Report>,
    last_report: u64,
    orders_seen: u64,
    is_in_use: bool,
    sent_at: BootTime,
    /// Free CPU in the last frame.
    sent_free_cpu_millis: u64,
}

struct FleetRun {
    entry: usize,
    ends_at: BootTime,
    cpu_millis: u64,
    report: Report,
}

struct FleetTarget {
    sessions: Vec<TargetSession>,
    running: Vec<FleetRun>,
    total_cpu_millis: u64,
    free_cpu_millis: u64,
    /// Divides the run times of tasks that start.
    speed: f64,
    /// Tasks that have started.
    starts: u64,
    /// Whether the target has been taken away.
    is_gone: bool,
    /// Demand that entries state.
    demand: DemandTable,
}

impl FleetTarget {
    fn handle_frame(
        &mut self,
        now: BootTime,
        entry: usize,
        frame: EntryFrame,
        run_time: &mut impl FnMut(&str) -> Duration,
    ) {
        self.sessions[entry].is_in_use = frame.is_in_use;
        for order in frame.orders {
            self.sessions[entry].orders_seen = order.number;
            match order.action {
                Action::Start(start) => {
                    let length = run_time(&start.task.job).div_f64(self.speed);
                    let report = Report {
                        number: 0,
                        order: order.number,
                        task: start.task,
                        attempt: start.attempt,
                        outcome: RunOutcome::Done,
                        ran_ms: length.as_millis() as u64,
                    };
                    if self.free_cpu_millis < start.size.cpu_millis {
                        let outcome = RunOutcome::NotStarted(Obstacle::NoCapacity);
                        self.report(entry, Report { outcome, ..report });
                    } else {
                        self.starts += 1;
                        self.free_cpu_millis -= start.size.cpu_millis;
                        let (ends_at, cpu_millis) = (now + length, start.size.cpu_millis);
                        self.running.push(FleetRun { entry, ends_at, cpu_millis, report });
                    }
                }
                Action::Stop { order, .. } => {
                    let run = self.running.iter_mut();
                    for run in run.filter(|run| run.entry == entry && run.report.order == order) {
                        run.ends_at = now;
                        run.report.outcome = RunOutcome::Stopped;
                    }
                }
            }
        }
    }

    fn report(&mut self, entry: usize, mut report: Report) {
        let session = &mut self.sessions[entry];
        session.last_report += 1;
        report.number = session.last_report;
        session.reports.push(report);
    }

    fn end_due_runs(&mut self, now: BootTime) {
        let is_due = |run: &FleetRun| run.ends_at <= now;
        let (due, running): (Vec<_>, Vec<_>) = self.running.drain(..).partition(is_due);
        self.running = running;
        for run in due {
            self.free_cpu_millis += run.cpu_millis;
            self.report(run.entry, run.report);
        }
    }

    /// Returns the frame for an entry, if one is due.
    fn frame(&mut self, now: BootTime, entry: usize, number: usize) -> Option<AgentFrame> {
        let free_cpu_millis = self.free_cpu_millis;
        let session = &mut self.sessions[entry];
        let is_first = session.sent_at.is_zero();
        let interval = if session.is_in_use { UPDATE_INTERVAL } else { IDLE_INTERVAL };
        let is_due = now.saturating_sub(session.sent_at) >= interval;
        if !is_due && session.reports.is_empty() {
            return None;
        }
        session.sent_at = now;
        session.sent_free_cpu_millis = free_cpu_millis;
        let size = |cpu_millis| Size { cpu_millis, memory_mb: 1_000_000, accelerators: 0 };
        let profile = Profile {
            service: "service".to_owned(),
            labels: Vec::new(),
            zone: zone(number),
            total: size(self.total_cpu_millis),
        };
        let offer = Offer { free: size(free_cpu_millis), accepts: !self.is_gone };
        Some(AgentFrame {
            stamp_ms: now.as_millis() as u64,
            orders_seen: session.orders_seen,
            profile: is_first.then_some(profile),
            offer,
            reports: std::mem::take(&mut session.reports),
        })
    }
}

/// How run times and estimates vary around the mean of their kind.
#[derive(Clone, Copy)]
pub struct Variation {
    /// Largest deviation of a run time, as a share of the mean.
    pub run_time: f64,
    /// Largest deviation of a job's estimate, as a share of the mean.
    pub estimate: f64,
    /// Share of the tasks of long jobs that take [`OVERLONG_FACTOR`] times as long.
    pub overlong_share: f64,
}

/// Multiple of its usual run time that an overlong task takes.
const OVERLONG_FACTOR: f64 = 7.0;
/// Mean run time in ms from which a job is long.
const LONG_RUN_MS: u64 = 500;

impl Variation {
    /// Returns the run time of a task as a multiple of the mean.
    fn run_time_factor(&self, kind: &JobKind, rng: &mut fastrand::Rng) -> f64 {
        let factor = uniform(self.run_time, rng);
        let is_overlong = kind.run_ms >= LONG_RUN_MS && rng.f64() < self.overlong_share;
        if is_overlong { factor * OVERLONG_FACTOR } else { factor }
    }
}

/// Returns a factor that differs from 1 by up to `deviation`.
fn uniform(deviation: f64, rng: &mut fastrand::Rng) -> f64 {
    1.0 + deviation * (2.0 * rng.f64() - 1.0)
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn entry_name(number: usize) -> String {
    format!("entry-{number:03}")
}

fn agent_name(number: usize) -> String {
    format!("agent-{number:03}")
}

/// Waves of load, at another phase in each availability zone, so that the whole load is steady.
#[derive(Clone, Copy)]
pub struct Wave {
    /// Largest deviation from the mean, as a share of it.
    pub amplitude: f64,
    pub period: Duration,
}

impl Wave {
    /// Returns the load of an entry, in multiples of its mean.
    fn factor(&self, now: BootTime, entry: usize) -> f64 {
        let cycles = now.as_secs_f64() / self.period.as_secs_f64();
        let phase = (entry % ZONES) as f64 / ZONES as f64;
        1.0 + self.amplitude * (std::f64::consts::TAU * (cycles + phase)).sin()
    }
}

/// Entries with shares of the load, and the targets that they share.
pub struct Fleet {
    entries: Vec<Entry>,
    targets: Vec<FleetTarget>,
    /// Share of the load that each entry receives.
    loads: Vec<f64>,
    pub wave: Option<Wave>,
    kinds: Vec<JobKind>,
    now: BootTime,
    /// Jobs to submit, with fractions, by entry and kind.
    due_jobs: Vec<Vec<f64>>,
    /// Entry, kind and submission time of each open job.
    open: BTreeMap<CallerId, (usize, usize, BootTime)>,
    last_caller: CallerId,
    tasks: usize,
    /// Variation of run times and estimates; `None` for the factors in turn.
    variation: Option<Variation>,
    rng: fastrand::Rng,
    /// Results by entry.
    pub tallies: Vec<Tally>,
    /// Results by kind of job.
    kind_tallies: Vec<Tally>,
    /// Jobs refused while at least [`SPARE_SHARE`] of the capacity of all targets was free.
    pub refused_with_spare: u64,
}

impl Fleet {
    /// Returns a fleet whose entries receive load in proportion to `weights`.
    pub fn new(weights: &[f64], targets: usize, kinds: &[JobKind]) -> Self {
        let total: f64 = weights.iter().sum();
        let routes: Vec<_> = kinds.iter().map(route_of).collect();
        let entries = (0..weights.len()).map(|number| {
            let mut entry = Entry::new(timing(), zone(number), number as u64 * 7919 + 1);
            entry.configure(RoutingTable::new(1, routes.clone(), None));
            entry.set_entry_count(weights.len() as u32);
            for target in 0..targets {
                entry.link_up(
                    BOOT,
                    process(&agent_name(target)),
                    target as u64 + 1,
                    NEWEST_FRAME_VERSION,
                );
            }
            entry
        });
        let target = || FleetTarget {
            sessions: vec![TargetSession::default(); weights.len()],
            running: Vec::new(),
            total_cpu_millis: TARGET_CPU_MILLIS,
            free_cpu_millis: TARGET_CPU_MILLIS,
            speed: 1.0,
            starts: 0,
            is_gone: false,
            demand: DemandTable::default(),
        };
        Self {
            entries: entries.collect(),
            targets: (0..targets).map(|_| target()).collect(),
            loads: weights.iter().map(|weight| weight / total).collect(),
            wave: None,
            kinds: kinds.to_vec(),
            now: BOOT,
            due_jobs: vec![vec![0.0; kinds.len()]; weights.len()],
            open: BTreeMap::new(),
            last_caller: 0,
            tasks: 0,
            variation: None,
            rng: fastrand::Rng::with_seed(5),
            tallies: vec![Tally::default(); weights.len()],
            kind_tallies: vec![Tally::default(); kinds.len()],
            refused_with_spare: 0,
        }
    }

    /// Has every `n`th entry exchange demand with the targets.
    pub fn exchange_demand(&mut self, n: usize) {
        let entries = self.entries.iter_mut().step_by(n);
        entries.for_each(|entry| entry.set_demand_exchange(true));
    }

    /// Sets the CPU of all targets, before the first step.
    pub fn set_target_cpu_millis(&mut self, cpu_millis: u64) {
        for target in &mut self.targets {
            (target.total_cpu_millis, target.free_cpu_millis) = (cpu_millis, cpu_millis);
        }
    }

    /// Sets the speed of each target by its number; it applies to tasks that start from now on.
    pub fn set_speeds(&mut self, speed: impl Fn(usize) -> f64) {
        for (number, target) in self.targets.iter_mut().enumerate() {
            target.speed = speed(number);
        }
    }

    /// Varies run times and estimates at random.
    pub fn vary_run_times(&mut self, variation: Variation, seed: u64) {
        self.variation = Some(variation);
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// Switches placement by speed at all entries.
    pub fn set_speed_placement(&mut self, is_on: bool) {
        self.entries.iter_mut().for_each(|entry| entry.set_speed_placement(is_on));
    }

    /// Returns the number of tasks that have started at each target.
    pub fn starts(&self) -> Vec<u64> {
        self.targets.iter().map(|target| target.starts).collect()
    }

    /// Returns the entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Advances the clock by `length` while jobs demand `utilization` of the capacity of all
    /// targets.
    pub fn run(&mut self, length: Duration, utilization: f64) {
        let per_s: f64 = self.kinds.iter().map(core_millis_per_s).sum();
        let capacities = self.targets.iter();
        let capacity: f64 =
            capacities.map(|target| target.total_cpu_millis as f64 * target.speed).sum();
        let factor = capacity * utilization / per_s;
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            for entry in 0..self.entries.len() {
                self.submit_due_jobs(entry, factor);
            }
            self.step_targets();
            if self.now.as_millis().is_multiple_of(20) {
                self.entries.iter_mut().for_each(|entry| entry.tick(self.now));
            }
            (0..self.entries.len()).for_each(|entry| self.collect(entry));
        }
    }

    /// Advances the clock by 3 s without new jobs, so that open jobs can end.
    pub fn drain(&mut self) {
        self.run(Duration::from_secs(3), 0.0);
    }

    /// Switches the shortage policy of all entries on or off.
    pub fn set_shortage_policy(&mut self, is_enabled: bool) {
        self.entries.iter_mut().for_each(|entry| entry.set_shortage_policy(is_enabled));
    }

    /// Takes every `n`th target away: it accepts no new tasks.
    pub fn remove_every(&mut self, n: usize) {
        self.targets.iter_mut().step_by(n).for_each(|target| target.is_gone = true);
    }

    /// Returns the sum of the tallies of all entries.
    pub fn total(&self) -> Tally {
        self.tallies.iter().fold(Tally::default(), |sum, tally| sum.plus(tally))
    }

    /// Returns the results of the jobs of one kind at all entries.
    pub fn total_of(&self, kind: JobKind) -> Tally {
        let index = self.kinds.iter().position(|candidate| candidate.name == kind.name);
        self.kind_tallies[index.expect("the kind is part of the load")]
    }

    fn submit_due_jobs(&mut self, entry: usize, factor: f64) {
        for kind in 0..self.kinds.len() {
            let per_step = self.kinds[kind].per_s * factor * STEP.as_secs_f64();
            let wave = self.wave.map_or(1.0, |wave| wave.factor(self.now, entry));
            self.due_jobs[entry][kind] += per_step * self.loads[entry] * wave;
            while self.due_jobs[entry][kind] >= 1.0 {
                self.due_jobs[entry][kind] -= 1.0;
                self.submit(entry, kind);
            }
        }
    }

    fn submit(&mut self, entry: usize, kind: usize) {
        self.last_caller += 1;
        let (caller, job_kind) = (self.last_caller, self.kinds[kind]);
        let estimate = ms(job_kind.run_ms);
        let estimate = match self.variation {
            Some(variation) => estimate.mul_f64(uniform(variation.estimate, &mut self.rng)),
            None => estimate,
        };
        let cpu_millis = JOB_CPU_MILLIS[caller as usize % JOB_CPU_MILLIS.len()];
        let submission = Submission {
            caller,
            route: Arc::new(route_of(&job_kind)),
            request: job(&format!("job-{caller}"), job_kind.tasks, cpu_millis, estimate),
            remaining_time: Some(ms(1_500)),
        };
        self.tallies[entry].arrived += 1;
        self.kind_tallies[kind].arrived += 1;
        self.open.insert(caller, (entry, kind, self.now));
        self.entries[entry].submit(self.now, submission);
        self.collect(entry);
    }

    fn step_targets(&mut self) {
        for (number, target) in self.targets.iter_mut().enumerate() {
            target.end_due_runs(self.now);
            let agent = process(&agent_name(number));
            for (index, entry) in self.entries.iter_mut().enumerate() {
                let Some(frame) = target.frame(self.now, index, number) else { continue };
                let link = number as u64 + 1;
                entry.receive(self.now, &agent, link, frame);
                target.demand.expire(self.now);
                let receiver = process(&entry_name(index));
                let summary = target.demand.due_summary(self.now, &receiver, TARGET_CPU_MILLIS);
                if let Some(summary) = summary {
                    entry.receive_demand_summary(self.now, &agent, link, summary);
                }
            }
        }
    }

    /// Delivers an entry's frames to the targets and tallies its answers.
    fn collect(&mut self, entry: usize) {
        for (link, frame) in self.entries[entry].frames(self.now) {
            let (open, kinds, tasks) = (&self.open, &self.kinds, &mut self.tasks);
            let (variation, rng) = (self.variation, &mut self.rng);
            let mut run_time = |job: &str| {
                *tasks += 1;
                let caller = job.trim_start_matches("job-").parse().unwrap_or_default();
                let kind = open.get(&caller).map_or(0, |(_, kind, _)| *kind);
                let factor = match variation {
                    Some(variation) => variation.run_time_factor(&kinds[kind], rng),
                    None => RUN_TIME_FACTORS[*tasks % RUN_TIME_FACTORS.len()],
                };
                ms(kinds[kind].run_ms).mul_f64(factor)
            };
            let target = &mut self.targets[link as usize - 1];
            target.handle_frame(self.now, entry, frame, &mut run_time);
        }
        for (link, statement) in self.entries[entry].take_demand_statements() {
            let target = &mut self.targets[link as usize - 1];
            target.demand.record(self.now, &process(&entry_name(entry)), statement);
        }
        let free: u64 = self.targets.iter().map(|target| target.free_cpu_millis).sum();
        let total = self.targets.len() as u64 * TARGET_CPU_MILLIS;
        let has_spare = free as f64 >= total as f64 * SPARE_SHARE;
        for (caller, answer) in self.entries[entry].take_answers() {
            let Some((_, kind_index, since)) = self.open.remove(&caller) else { continue };
            let kind = &self.kinds[kind_index];
            // With random run times, the objective is that of a job of the mean run time.
            let path_factor = if self.variation.is_some() { 1.0 } else { LONGEST_RUN_FACTOR };
            let objective = route_of(kind).objective(ms(kind.run_ms).mul_f64(path_factor));
            let took = self.now - since;
            let is_refused = matches!(answer, Answer::Refused { .. });
            self.refused_with_spare += u64::from(is_refused && has_spare);
            for tally in [&mut self.tallies[entry], &mut self.kind_tallies[kind_index]] {
                match answer {
                    Answer::Completed if took <= objective => tally.in_time += 1,
                    Answer::Completed => tally.late += 1,
                    Answer::Refused { .. } => tally.refused += 1,
                    _ => tally.late_or_failed += 1,
                }
            }
        }
    }
}

fn core_millis_per_s(kind: &JobKind) -> f64 {
    let run_s = Duration::from_millis(kind.run_ms).as_secs_f64();
    let task_cpu_millis = JOB_CPU_MILLIS.iter().sum::<u64>() / JOB_CPU_MILLIS.len() as u64;
    kind.per_s * f64::from(kind.tasks) * run_s * task_cpu_millis as f64
}
