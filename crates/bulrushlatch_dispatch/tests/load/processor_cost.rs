//! Benchmark of the entry's CPU time per job. It is ignored by default, as it only prints:
//!
//! ```text
//! cargo test --release -p bulrushlatch_dispatch --test load processor_cost -- --ignored --nocapture
//! ```
//!
//! The load of a site is simulated and recorded first. The recorded calls are then replayed to a new
//! entry with the same seed, so that only the entry's own CPU time is measured. The digest of the
//! frames and answers shows whether a change has altered a decision.

use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootTime,
    entry::{Entry, Submission},
    frame::{Action, AgentFrame, NEWEST_FRAME_VERSION},
    ids::{CallerId, LinkId, ProcessId},
    outcome::Answer,
    routing::{Route, RoutingTable},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    site::{JobKind, STEP, SimulatedTarget, TASK_CPU_MILLIS, route_of},
    support::{BOOT, job, ms, process, timing},
};

/// Jobs per second of all kinds at a load factor of 1; they have 3.6 tasks on average.
const JOBS_PER_S: f64 = 270.0;
/// Number of targets, each of which runs ten tasks at a time.
const TARGETS: usize = 50;
/// Length of the simulated load.
const LENGTH: Duration = Duration::from_secs(10);
/// Number of replays, of which the fastest counts.
const REPLAYS: usize = 5;

/// A mix of short urgent, medium and long jobs, by arrivals per second.
const KINDS: [JobKind; 3] = [
    JobKind { name: "urgent", priority: 0, tasks: 8, run_ms: 60, per_s: 66.0, fails: false },
    JobKind { name: "medium", priority: 1, tasks: 2, run_ms: 200, per_s: 192.0, fails: false },
    JobKind { name: "long", priority: 2, tasks: 4, run_ms: 900, per_s: 12.0, fails: false },
];

/// A call of the entry.
#[derive(Clone)]
enum Call {
    LinkUp(ProcessId, LinkId),
    Receive(ProcessId, LinkId, AgentFrame),
    Submit(CallerId, usize),
    Tick,
}

/// An entry with the calls made so far, which are recorded when `calls` is present.
struct Driver {
    entry: Entry,
    routes: Vec<Arc<Route>>,
    calls: Option<Vec<(BootTime, Call)>>,
    /// Hash of all frames and answers; computed only while calls are recorded.
    digest: u64,
    orders: Vec<(LinkId, u64, Action)>,
    answers: Vec<(CallerId, Answer)>,
}

impl Driver {
    fn new(is_recording: bool) -> Self {
        let mut entry = Entry::new(timing(), "a".to_owned(), 3);
        let routes: Vec<Route> = KINDS.iter().map(route_of).collect();
        entry.configure(RoutingTable::new(1, routes.clone(), None));
        entry.set_entry_count(3);
        Self {
            entry,
            routes: routes.into_iter().map(Arc::new).collect(),
            calls: is_recording.then(Vec::new),
            digest: 0,
            orders: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn call(&mut self, now: BootTime, call: Call) {
        if let Some(calls) = &mut self.calls {
            calls.push((now, call.clone()));
        }
        match call {
            Call::LinkUp(agent, link) => {
                self.entry.link_up(now, agent, link, NEWEST_FRAME_VERSION);
            }
            Call::Receive(agent, link, frame) => self.entry.receive(now, &agent, link, frame),
            Call::Submit(caller, kind) => self.submit(now, caller, kind),
            Call::Tick => self.entry.tick(now),
        }
        let frames = self.entry.frames(now);
        let answers = self.entry.take_answers();
        if self.calls.is_none() {
            return;
        }
        let mut text = String::new();
        write!(text, "{now:?}{frames:?}{answers:?}").expect("writing to a string");
        self.digest = xxh3_64_with_seed(text.as_bytes(), self.digest);
        self.answers.extend(answers);
        for (link, frame) in frames {
            let orders = frame.orders.into_iter();
            self.orders.extend(orders.map(|order| (link, order.number, order.action)));
        }
    }

    fn submit(&mut self, now: BootTime, caller: CallerId, kind: usize) {
        let JobKind { tasks, run_ms, .. } = KINDS[kind];
        let request = job(&format!("job-{kind}-{caller}"), tasks, TASK_CPU_MILLIS, ms(run_ms));
        let route = Arc::clone(&self.routes[kind]);
        let submission = Submission { caller, route, request, remaining_time: Some(ms(1_500)) };
        self.entry.submit(now, submission);
    }
}

/// Returns the kind of a job by its id.
fn kind_of(job: &str) -> JobKind {
    let number = job.split('-').nth(1).and_then(|number| number.parse::<usize>().ok());
    KINDS[number.expect("the id contains the kind")]
}

/// Simulates a load and returns the driver that has recorded it.
fn record(load_factor: f64) -> Driver {
    let mut driver = Driver::new(true);
    let mut targets: Vec<SimulatedTarget> = (0..TARGETS).map(SimulatedTarget::new).collect();
    let mut now = BOOT;
    for (index, target) in targets.iter_mut().enumerate() {
        let (agent, link) = (process(&target.name), index as u64 + 1);
        driver.call(now, Call::LinkUp(agent.clone(), link));
        driver.call(now, Call::Receive(agent, link, target.frame(now, true)));
    }
    let mut due_jobs = [0.0; KINDS.len()];
    let mut last_caller = 0;
    let mut has_news = [false; TARGETS];
    while now < BOOT + LENGTH {
        now += STEP;
        for (kind, due) in due_jobs.iter_mut().enumerate() {
            *due += KINDS[kind].per_s * load_factor * STEP.as_secs_f64();
            while *due >= 1.0 {
                *due -= 1.0;
                last_caller += 1;
                driver.call(now, Call::Submit(last_caller, kind));
            }
        }
        let is_heartbeat = now.as_millis().is_multiple_of(50);
        for (index, target) in targets.iter_mut().enumerate() {
            target.end_due_runs(now);
            // An agent also acknowledges orders, with an offer that shows the runs they started.
            if is_heartbeat || has_news[index] || !target.reports.is_empty() {
                has_news[index] = false;
                let frame = target.frame(now, false);
                driver.call(now, Call::Receive(process(&target.name), index as u64 + 1, frame));
            }
        }
        if now.as_millis().is_multiple_of(20) {
            driver.call(now, Call::Tick);
        }
        for (link, number, action) in std::mem::take(&mut driver.orders) {
            let kind = match &action {
                Action::Start(start) => kind_of(&start.task.job),
                Action::Stop { task, .. } => kind_of(&task.job),
            };
            let index = link as usize - 1;
            targets[index].handle_order(now, number, action, kind);
            has_news[index] = true;
        }
    }
    driver
}

/// Returns the CPU time that this thread has used.
fn thread_cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux");
    let nanos = stat.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.expect("a number"))
}

/// Returns the CPU time of an entry that receives the recorded calls.
fn replay(calls: &[(BootTime, Call)]) -> Duration {
    let calls = calls.to_vec();
    let mut driver = Driver::new(false);
    let started = thread_cpu_time();
    for (now, call) in calls {
        driver.call(now, call);
    }
    thread_cpu_time() - started
}

#[test]
#[ignore = "a benchmark: prints the CPU time per job"]
fn processor_cost_per_job() {
    for load_factor in [1.0, 2.5, 5.0] {
        let driver = record(load_factor);
        let calls = driver.calls.as_ref().expect("recorded");
        let best = (0..REPLAYS).map(|_| replay(calls)).min().expect("at least one replay");
        let counters = driver.entry.counters();
        let mut answers: BTreeMap<String, u64> = BTreeMap::new();
        for (_, answer) in &driver.answers {
            let name = match answer {
                Answer::Refused { .. } => "refused".to_owned(),
                answer => answer.to_string(),
            };
            *answers.entry(name).or_default() += 1;
        }
        let us = |count: u64| best.as_secs_f64() * 1e6 / count as f64;
        println!(
            "{} jobs/s: {:.1} us per job, {:.1} us per start; {} calls, {} jobs, {} starts, {answers:?}, digest {:016x}",
            JOBS_PER_S * load_factor,
            us(counters.arrived),
            us(counters.start_orders),
            calls.len(),
            counters.arrived,
            counters.start_orders,
            driver.digest,
        );
    }
}
