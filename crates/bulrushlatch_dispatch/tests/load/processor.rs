//! Lack of processor time at an entry: its thread as a queue of events on a virtual clock.

use std::{collections::VecDeque, time::Duration};

use bulrushlatch_dispatch::{
    clock::BootTime,
    entry::{job_times::JobTimes, overload::OverloadControl, processor_load::ProcessorLoad},
};

use super::{
    site::{AVAILABILITY, JobKind, PHOTO, PRICE_CHECK, Tally, route_of},
    support::ms,
};

/// Mix of a day of high load, in jobs.
const MIX: [(JobKind, f64); 3] = [(PRICE_CHECK, 206.0), (PHOTO, 37.5), (AVAILABILITY, 600.0)];
/// Jobs per second that the thread can do: the cost of a job is the inverse.
const CAPACITY_PER_S: f64 = 200.0;
/// Number of events of an accepted job, of equal cost.
const EVENTS: u32 = 6;
/// Event after which a job's tasks run.
const START_EVENT: u32 = 4;
/// Cost of a refusal, as a share of the cost of an accepted job.
const REFUSAL_COST: f64 = 0.15;
/// Events handled between two polls of the process's main future.
const MAIN_FUTURE_EVENTS: u32 = 61;
const TICK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy)]
enum Event {
    /// A step of a job, by index and number from 1.
    Job(usize, u32),
    /// The timer of the probe, due at a time.
    Probe(BootTime),
}

struct ModelJob {
    kind: usize,
    sent_at: BootTime,
}

/// What the process measures as the queueing delay.
#[derive(Clone, Copy, PartialEq)]
enum Measure {
    /// The delay of a timer in a task of its own.
    Task,
    /// The delay of a timer in the main future.
    MainFuture,
}

struct Processor {
    now: BootTime,
    queue: VecDeque<Event>,
    jobs: Vec<ModelJob>,
    /// Events that happen at a time.
    scheduled: Vec<(BootTime, Event)>,
    due_jobs: [f64; 3],
    tallies: [Tally; 3],
    control: OverloadControl,
    load: ProcessorLoad,
    measure: Measure,
    probe_delay: Duration,
    ticked_at: BootTime,
    busy: Duration,
    events_since_main: u32,
    /// Longest time between the sending of a request and its refusal.
    longest_refusal: Duration,
}

impl Processor {
    fn new(is_enabled: bool, measure: Measure) -> Self {
        Self {
            now: ms(1_000),
            queue: VecDeque::new(),
            jobs: Vec::new(),
            scheduled: vec![(ms(1_020), Event::Probe(ms(1_020)))],
            due_jobs: [0.0; 3],
            tallies: [Tally::default(); 3],
            control: OverloadControl::new(is_enabled),
            load: ProcessorLoad::default(),
            measure,
            probe_delay: Duration::ZERO,
            ticked_at: ms(1_000),
            busy: Duration::ZERO,
            events_since_main: 0,
            longest_refusal: Duration::ZERO,
        }
    }

    fn run(&mut self, length: Duration, load_factor: f64) {
        let end = self.now + length;
        while self.now < end {
            match self.queue.pop_front() {
                Some(event) => {
                    let cost = self.handle(event);
                    self.busy += cost;
                    self.advance(cost, load_factor);
                    self.events_since_main += 1;
                }
                None => {
                    self.advance(Duration::from_micros(500), load_factor);
                    self.events_since_main = MAIN_FUTURE_EVENTS;
                }
            }
            if self.events_since_main >= MAIN_FUTURE_EVENTS {
                self.events_since_main = 0;
                self.tick();
            }
        }
    }

    fn advance(&mut self, by: Duration, load_factor: f64) {
        self.now += by;
        let mix: f64 = MIX.iter().map(|(_, parts)| parts).sum();
        for (kind, (_, parts)) in MIX.iter().enumerate() {
            let per_s = CAPACITY_PER_S * load_factor * parts / mix;
            self.due_jobs[kind] += per_s * by.as_secs_f64();
            while self.due_jobs[kind] >= 1.0 {
                self.due_jobs[kind] -= 1.0;
                self.tallies[kind].arrived += 1;
                self.jobs.push(ModelJob { kind, sent_at: self.now });
                self.queue.push_back(Event::Job(self.jobs.len() - 1, 1));
            }
        }
        let now = self.now;
        let due = self.scheduled.extract_if(.., |(at, _)| *at <= now);
        self.queue.extend(due.map(|(_, event)| event));
    }

    fn tick(&mut self) {
        let elapsed = self.now - self.ticked_at;
        if elapsed < TICK_INTERVAL {
            return;
        }
        let delay = match self.measure {
            Measure::Task => self.probe_delay,
            Measure::MainFuture => elapsed - TICK_INTERVAL,
        };
        self.load.record(elapsed, self.busy, delay);
        self.control.update(elapsed, &self.load);
        (self.ticked_at, self.busy) = (self.now, Duration::ZERO);
    }

    /// Handles an event and returns its cost.
    fn handle(&mut self, event: Event) -> Duration {
        let job_cost = Duration::from_secs_f64(1.0 / CAPACITY_PER_S);
        let (job, step) = match event {
            Event::Job(job, step) => (job, step),
            Event::Probe(due_at) => {
                self.probe_delay = self.now - due_at;
                let next = self.now + TICK_INTERVAL;
                self.scheduled.push((next, Event::Probe(next)));
                return Duration::ZERO;
            }
        };
        let ModelJob { kind, sent_at } = self.jobs[job];
        if step == 1 && self.is_refused(kind) {
            self.tallies[kind].refused += 1;
            self.longest_refusal = self.longest_refusal.max(self.now - sent_at);
            return job_cost.mul_f64(REFUSAL_COST);
        }
        let next = Event::Job(job, step + 1);
        match step {
            START_EVENT => self.scheduled.push((self.now + ms(MIX[kind].0.run_ms), next)),
            EVENTS => self.tally_answer(kind, self.now - sent_at),
            _ => self.queue.push_back(next),
        }
        job_cost / EVENTS
    }

    fn is_refused(&mut self, kind: usize) -> bool {
        let route = route_of(&MIX[kind].0).name;
        let is_refused = self.control.refuses(&route);
        if !is_refused {
            self.control.record_job(&route, times(kind).max_wait());
        }
        is_refused
    }

    fn tally_answer(&mut self, kind: usize, took: Duration) {
        let is_in_time = took <= times(kind).objective;
        self.tallies[kind].in_time += u64::from(is_in_time);
        self.tallies[kind].late += u64::from(!is_in_time);
    }

    fn total(&self) -> Tally {
        Tally::sum(&self.tallies)
    }
}

fn times(kind: usize) -> JobTimes {
    let critical_path = ms(MIX[kind].0.run_ms);
    JobTimes::new(critical_path, route_of(&MIX[kind].0).objective(critical_path))
}

fn played(is_enabled: bool, measure: Measure, load_factor: f64) -> Processor {
    let mut processor = Processor::new(is_enabled, measure);
    processor.run(ms(2_000), 0.6);
    processor.run(ms(15_000), load_factor);
    processor.run(ms(6_000), 0.0);
    println!("on {is_enabled}, load {load_factor}: {:?}", processor.tallies);
    processor
}

/// An entry received 1.35 times the jobs that its processor could do. Requests waited for seconds
/// before they were read, as the delay was measured where the main future is polled.
#[test]
fn jobs_that_a_busy_processor_accepts_are_in_time() {
    let on = played(true, Measure::Task, 1.35);
    let off = played(false, Measure::Task, 1.35);
    let before = played(false, Measure::MainFuture, 1.35);
    let (on_total, off_total, before_total) = (on.total(), off.total(), before.total());
    assert!(on_total.in_time_share() > 0.65, "{on_total:?}");
    assert!(on_total.late * 20 < on_total.in_time, "{on_total:?}");
    assert!(on_total.in_time > off_total.in_time + off_total.in_time / 10, "{off_total:?}");
    assert!(on_total.in_time > before_total.in_time * 2, "{before_total:?}");
    assert!(on.longest_refusal < ms(200), "{:?}", on.longest_refusal);
    for tally in on.tallies {
        assert!(tally.in_time_share() > 0.35, "{:?}", on.tallies);
    }
}

/// Refusals end soon after the load has fallen, and a processor with time to spare refuses nothing.
#[test]
fn processor_with_time_to_spare_refuses_nothing() {
    let mut processor = played(true, Measure::Task, 1.35);
    processor.run(ms(1_000), 0.8);
    let refused = processor.total().refused;
    processor.run(ms(5_000), 0.8);
    assert_eq!(processor.total().refused, refused);
    assert_eq!(played(true, Measure::Task, 0.8).total().refused, 0);
}

/// Bursts must not wait for the fraction to rise: at most 0.72 of these jobs can be served.
#[test]
fn jobs_of_short_bursts_are_in_time_or_refused_quickly() {
    let burst = |is_enabled| {
        let mut processor = Processor::new(is_enabled, Measure::Task);
        for _ in 0..5 {
            processor.run(ms(1_000), 0.7);
            processor.run(ms(500), 2.0);
        }
        processor.run(ms(3_000), 0.0);
        println!("on {is_enabled}: {:?}", processor.total());
        processor
    };
    let (on, off) = (burst(true), burst(false));
    assert!(on.total().in_time_share() > 0.62, "{:?}", on.total());
    assert!(on.total().late * 20 < on.total().arrived, "{:?}", on.total());
    assert!(on.total().late * 3 < off.total().late, "{:?}", off.total());
    assert!(on.longest_refusal < ms(200), "{:?}", on.longest_refusal);
}
