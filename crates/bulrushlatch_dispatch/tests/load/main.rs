//! Tests of admission and placement under load: which jobs wait or are refused, and which targets
//! run them.
//!
//! One entry and simulated targets on a virtual clock, without a network.

mod demand_exchange;
mod fleet;
mod overload;
mod processor_cost;
mod processor;
mod restart;
mod shortage;
mod site;
#[path = "../support/mod.rs"]
mod support;
mod unequal_entries;
mod unequal_targets;

use std::time::Duration;

use bulrushlatch_dispatch::clock::BootTime;

use self::site::{ALWAYS_FAILING, AVAILABILITY, JobKind, PHOTO, PRICE_CHECK, Site, TargetMode};

const ALL: [JobKind; 3] = [PRICE_CHECK, AVAILABILITY, PHOTO];

#[test]
fn nominal_load_meets_the_latency_objective() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(10), 1.0);
    site.drain();
    for kind in ALL {
        let tally = site.tally(kind);
        assert!(tally.in_time_share() > 0.95, "{}: {tally:?}", kind.name);
    }
}

#[test]
fn every_kind_of_job_is_served_under_overload() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(2), 1.0);
    site.run(Duration::from_secs(8), 1.9);
    site.drain();
    for kind in ALL {
        let tally = site.tally(kind);
        assert!(tally.in_time_share() > 0.5, "{}: {tally:?}", kind.name);
    }
}

#[test]
fn short_urgent_jobs_meet_their_objective_at_least_as_often_as_common_jobs_under_overload() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(2), 1.0);
    site.run(Duration::from_secs(8), 1.5);
    site.drain();
    let urgent = site.tally(PRICE_CHECK).in_time_share();
    let common = site.tally(AVAILABILITY).in_time_share();
    assert!(urgent >= common, "urgent {urgent}, common {common}");
}

#[test]
fn most_refusals_under_overload_are_on_arrival() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(10), 2.0);
    site.drain();
    let refused: u64 = ALL.iter().map(|kind| site.tally(*kind).refused).sum();
    let late: u64 = ALL.iter().map(|kind| site.tally(*kind).late_refusals).sum();
    println!("{late} of {refused} jobs were refused late");
    assert!(refused > 100, "{refused} refused");
    assert!(late * 5 <= refused, "{late} of {refused} jobs were refused late");
}

#[test]
fn target_that_fails_every_run_costs_few_jobs() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.targets[0].mode = TargetMode::Failing;
    site.run(Duration::from_secs(4), 1.0);
    site.drain();
    let share = site.tallies.iter().map(|tally| tally.in_time).sum::<u64>() as f64
        / site.tallies.iter().map(|tally| tally.arrived).sum::<u64>() as f64;
    assert!(share > 0.9, "{share} in time");
}

#[test]
fn stuck_runs_are_stopped_and_few_jobs_are_late() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.targets[0].mode = TargetMode::Stuck;
    site.run(Duration::from_millis(200), 1.0);
    site.targets[0].mode = TargetMode::Healthy;
    site.run(Duration::from_secs(8), 1.0);
    site.drain();
    let stuck_runs = site.targets[0].running.iter().filter(|run| run.ends_at == BootTime::MAX);
    assert_eq!(stuck_runs.count(), 0);
    assert!(site.tallies.iter().all(|tally| tally.late_or_failed <= 20), "{:?}", site.tallies);
}

#[test]
fn entry_of_a_large_site_uses_a_bounded_number_of_targets() {
    let mut site = Site::new(80, &ALL);
    site.run(Duration::from_secs(3), 0.5);
    site.drain();
    let used = site.targets.iter().filter(|target| target.starts > 0).count();
    assert!((12..=24).contains(&used), "{used} targets used");
    assert!(site.tally(PRICE_CHECK).in_time_share() > 0.95);
}

/// Two of three jobs fail at every target, beside few other jobs. Their failures must not eject
/// healthy targets.
#[test]
fn jobs_that_always_fail_do_not_eject_healthy_targets() {
    let common = JobKind { per_s: 10.0, ..AVAILABILITY };
    let mut site = Site::new(4, &[common, ALWAYS_FAILING]);
    site.run(Duration::from_secs(10), 1.0);
    site.drain();
    let tally = site.tally(common);
    assert!(tally.in_time_share() > 0.8, "{tally:?}");
}

/// Four of five estimates are wrong, by factors of 10 to 100.
#[test]
fn inaccurate_estimates_cause_few_stops_of_healthy_runs() {
    let mut site = Site::new(12, &ALL);
    site.estimate_factors = vec![0.01, 30.0, 1.0, 0.1, 10.0];
    site.run(Duration::from_secs(3), 1.0);
    let stuck_while_learning = site.entry.counters().stuck_runs;
    site.run(Duration::from_secs(8), 1.0);
    site.drain();
    let stuck = site.entry.counters().stuck_runs - stuck_while_learning;
    assert!(stuck < 10, "{stuck} runs stopped after {stuck_while_learning} while learning");
}
