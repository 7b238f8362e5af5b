//! Targets of unlike speed: which tasks run where, and how many jobs are in time.

use std::time::Duration;

use bulrushlatch_dispatch::entry::Entry;

use super::{
    fleet::{Fleet, Variation},
    site::{AVAILABILITY, JobKind, PHOTO, PRICE_CHECK, Tally, route_of},
};

/// The mix of a site with repair counters.
const SHORT: JobKind = JobKind { run_ms: 51, per_s: 206.0, ..PRICE_CHECK };
const LONG: JobKind = JobKind { run_ms: 760, per_s: 37.5, ..PHOTO };
const MEDIUM: JobKind = JobKind { run_ms: 170, per_s: 600.0, ..AVAILABILITY };
const MIX: [JobKind; 3] = [SHORT, LONG, MEDIUM];
/// Values of a job on time, in the order of `MIX`; a fifth if late.
const VALUES: [f64; 3] = [0.00485, 0.0267, 0.00167];
const VARIATION: Variation = Variation { run_time: 0.4, estimate: 0.4, overlong_share: 0.03 };
const ENTRIES: [f64; 4] = [1.0, 1.0, 1.5, 0.5];
const TARGETS: usize = 24;
const TARGET_CPU_MILLIS: u64 = 32_000;
const SEEDS: [u64; 3] = [1, 2, 3];
const SLOW: f64 = 0.55;
const FAST: f64 = 1.2;
/// Mean of a quarter of slow targets and the rest: the speed of the nominal target.
const MEAN_SPEED: f64 = 0.25 * SLOW + 0.75 * FAST;

fn fleet(kinds: &[JobKind], seed: u64, speed: impl Fn(usize) -> f64, is_on: bool) -> Fleet {
    let mut fleet = Fleet::new(&ENTRIES, TARGETS, kinds);
    fleet.set_target_cpu_millis(TARGET_CPU_MILLIS);
    fleet.set_speeds(speed);
    fleet.vary_run_times(VARIATION, seed);
    fleet.set_speed_placement(is_on);
    fleet
}

/// Returns the speed of a target of a fleet of which every fourth is slow.
fn quarter_slow(number: usize) -> f64 {
    if number.is_multiple_of(4) { SLOW } else { FAST }
}

/// Returns the value of the jobs served as a share of that of all jobs.
fn value_share(fleet: &Fleet) -> f64 {
    let tallies = MIX.map(|kind| fleet.total_of(kind));
    let value = |tally: &Tally| tally.in_time as f64 + 0.2 * tally.late as f64;
    let served: f64 = tallies.iter().zip(VALUES).map(|(tally, worth)| value(tally) * worth).sum();
    let all: f64 =
        tallies.iter().zip(VALUES).map(|(tally, worth)| tally.arrived as f64 * worth).sum();
    served / all
}

fn sum(fleet: &Fleet, count: impl Fn(&Entry) -> u64) -> u64 {
    fleet.entries().iter().map(count).sum()
}

/// Runs a fleet of which a quarter is slow.
fn run_quarter_slow(load: f64, seed: u64, is_on: bool) -> Fleet {
    let mut fleet = fleet(&MIX, seed, quarter_slow, is_on);
    fleet.run(Duration::from_secs(3), load * 0.8);
    fleet.run(Duration::from_secs(6), load);
    fleet.drain();
    fleet
}

/// Results by kind of job, in the order of `MIX`, and shares of the value, of some fleets.
struct Results {
    tallies: [Tally; 3],
    values: Vec<f64>,
}

impl Results {
    fn new(load: f64, is_on: bool, fleets: &[Fleet]) -> Self {
        let total = |kind| {
            let tallies = fleets.iter().map(|fleet| fleet.total_of(kind));
            tallies.fold(Tally::default(), |sum, tally| sum.plus(&tally))
        };
        let values = fleets.iter().map(value_share).collect();
        let results = Self { tallies: MIX.map(total), values };
        let shares = results.tallies.map(|tally| tally.in_time_share());
        let waits: u64 =
            fleets.iter().map(|fleet| sum(fleet, |entry| entry.counters().speed_waits)).sum();
        let value = results.value();
        println!(
            "load {load}, on {is_on}: value {value:.3}, \
             short, long, medium {shares:.3?}, {waits} waits"
        );
        assert!(is_on || waits == 0, "no task waits for a fast target when switched off");
        results
    }

    fn value(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len() as f64
    }
}

/// A long task on a slow target is late whatever happens. Without regard to the objective, slow targets
/// get as many of them as they have free capacity. The overlong tasks alone make a tenth of the long
/// jobs late.
#[test]
fn long_jobs_are_in_time_beside_slow_targets() {
    for load in [0.6, 0.8, 0.95] {
        let [off, on] = [false, true].map(|is_on| {
            let fleets = SEEDS.map(|seed| run_quarter_slow(load, seed, is_on));
            Results::new(load, is_on, &fleets)
        });
        let gains = [0, 1, 2]
            .map(|kind| on.tallies[kind].in_time_share() - off.tallies[kind].in_time_share());
        let [short, long, medium] = gains;
        assert!(long > 0.08, "load {load}: long jobs {long:+.3}");
        assert!(medium > 0.03, "load {load}: medium jobs {medium:+.3}");
        assert!(short > -0.01, "load {load}: short jobs {short:+.3}");
        assert!(on.value() > off.value() + 0.03, "load {load}: value");
    }
}

/// Tasks that wait for fast targets come before short ones in the queue, and must not keep them from
/// slow targets with room.
#[test]
fn short_tasks_are_not_starved_by_tasks_that_wait_for_fast_targets() {
    let fleets = [false, true].map(|is_on| run_quarter_slow(1.1, 1, is_on));
    let waits = sum(&fleets[1], |entry| entry.counters().speed_waits);
    assert!(waits > 100, "{waits} tasks waited for fast targets");
    let off = Results::new(1.1, false, &fleets[..1]);
    let on = Results::new(1.1, true, &fleets[1..]);
    for (kind, (off, on)) in MIX.iter().zip(off.tallies.iter().zip(&on.tallies)) {
        assert!(on.in_time_share() > off.in_time_share(), "{}: {off:?}, {on:?}", kind.name);
    }
}

/// If all work needs fast targets and there are too few, waiting must not leave the slow ones idle.
#[test]
fn slow_targets_are_used_when_the_fast_ones_do_not_suffice() {
    let [off, on] = [false, true].map(|is_on| {
        let mut fleet = fleet(&[LONG], 1, quarter_slow, is_on);
        fleet.run(Duration::from_secs(8), 1.0);
        fleet.drain();
        fleet
    });
    let [off_total, on_total] = [&off, &on].map(Fleet::total);
    println!("off {off_total:?}, on {on_total:?}");
    assert!(on_total.in_time > off_total.in_time);
    assert!(on_total.served_share() > off_total.served_share() - 0.02);
    let slow: u64 = on.starts().iter().step_by(4).sum();
    let all: u64 = on.starts().iter().sum();
    assert!(slow * 16 > all, "{slow} of {all} tasks started at slow targets");
}

/// A neighbour on the same machine slows a few targets down for some seconds.
#[test]
fn a_target_that_turns_slow_is_recognised_and_forgotten_again() {
    let mut fleet = fleet(&MIX, 3, |_| 1.0, true);
    let slow = |fleet: &Fleet| sum(fleet, |entry| entry.slow_targets() as u64);
    fleet.run(Duration::from_secs(4), 0.7);
    assert_eq!(slow(&fleet), 0, "before");
    fleet.set_speeds(|number| if number.is_multiple_of(8) { 0.4 } else { 1.0 });
    fleet.run(Duration::from_secs(4), 0.75);
    let recognised = slow(&fleet);
    assert!(recognised >= 3 * ENTRIES.len() as u64 - 2, "{recognised} recognised");
    fleet.set_speeds(|_| 1.0);
    // Within the time in which the speed of a target without runs is forgotten.
    fleet.run(Duration::from_secs(10), 0.7);
    assert_eq!(slow(&fleet), 0, "afterwards");
    fleet.run(Duration::from_secs(4), 0.7);
    assert_eq!(slow(&fleet), 0, "and it stays so");
}

/// Variation of run times and wrong estimates must not be taken for a difference in speed.
#[test]
fn equal_speeds_change_no_decision() {
    for load in [0.6, 0.95, 1.2] {
        let [off, on] = [false, true].map(|is_on| {
            let mut fleet = fleet(&MIX, 4, |_| 1.0, is_on);
            fleet.run(Duration::from_secs(10), load);
            fleet.drain();
            fleet
        });
        assert_eq!(sum(&on, |entry| entry.counters().speed_waits), 0);
        assert_eq!(off.starts(), on.starts(), "load {load}");
        assert_eq!(format!("{:?}", off.total()), format!("{:?}", on.total()), "load {load}");
    }
}

/// Long tasks run at fast targets almost only. Their objective must still be that of a nominal target, or
/// it would become stricter than the caller's.
#[test]
fn expected_run_times_are_those_of_a_nominal_target() {
    let fleet = run_quarter_slow(0.8, 1, true);
    for kind in MIX {
        let expected = fleet.entries().iter().map(|entry| {
            let expected = entry.run_times().expected(&route_of(&kind).name, Duration::ZERO);
            expected.as_secs_f64() * 1e3
        });
        let mean_ms = expected.sum::<f64>() / fleet.entries().len() as f64;
        let nominal_ms = kind.run_ms as f64 / MEAN_SPEED;
        let error = mean_ms / nominal_ms - 1.0;
        assert!(error.abs() < 0.08, "{}: {mean_ms} ms, not {nominal_ms} ms", kind.name);
    }
}
