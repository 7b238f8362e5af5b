//! Who waits, who is refused and where work goes, under patterns of load.
//!
//! One entry and model targets on a virtual clock; no network.

mod site;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use bulrushlatch_dispatch::clock::BootTime;

use self::site::{AVAILABILITY, HOPELESS, Health, Kind, PHOTO, PRICE_CHECK, Site};

const ALL: [Kind; 3] = [PRICE_CHECK, AVAILABILITY, PHOTO];

#[test]
fn usual_load_is_served_in_time() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(10), 1.0);
    site.drain();
    for kind in ALL {
        let tally = site.tally(kind);
        assert!(tally.in_time_share() > 0.95, "{}: {tally:?}", kind.name);
    }
}

#[test]
fn overload_starves_no_kind() {
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
fn short_urgent_jobs_are_not_the_first_to_be_refused_beside_long_work() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(2), 1.0);
    site.run(Duration::from_secs(8), 1.5);
    site.drain();
    let urgent = site.tally(PRICE_CHECK).in_time_share();
    let common = site.tally(AVAILABILITY).in_time_share();
    assert!(urgent >= common, "urgent {urgent}, common {common}");
}

#[test]
fn refusals_under_overload_come_on_arrival() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(10), 2.0);
    site.drain();
    let refused: u64 = ALL.iter().map(|kind| site.tally(*kind).refused).sum();
    let late: u64 = ALL.iter().map(|kind| site.tally(*kind).refused_late).sum();
    println!("{late} of {refused} refusals came late");
    assert!(refused > 100, "{refused} refused");
    assert!(late * 5 <= refused, "{late} of {refused} refusals came late");
}

#[test]
fn a_target_that_fails_everything_costs_few_jobs() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.targets[0].health = Health::Failing;
    site.run(Duration::from_secs(4), 1.0);
    site.drain();
    let share = site.tallies.iter().map(|it| it.in_time).sum::<u64>() as f64
        / site.tallies.iter().map(|it| it.arrived).sum::<u64>() as f64;
    assert!(share > 0.9, "{share} in time");
}

#[test]
fn tasks_at_a_target_that_stands_still_are_run_elsewhere() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.targets[0].health = Health::Stuck;
    site.run(Duration::from_millis(200), 1.0);
    site.targets[0].health = Health::Sound;
    site.run(Duration::from_secs(8), 1.0);
    site.drain();
    let open_at_target = site.targets[0].running.iter().filter(|run| run.ends_at == BootTime::MAX);
    assert_eq!(open_at_target.count(), 0);
    assert!(site.tallies.iter().all(|tally| tally.other <= 20), "{:?}", site.tallies);
}

#[test]
fn an_entry_of_a_large_site_uses_a_bounded_number_of_targets() {
    let mut site = Site::new(80, &ALL);
    site.run(Duration::from_secs(3), 0.5);
    site.drain();
    let used = site.targets.iter().filter(|target| target.starts > 0).count();
    assert!((12..=24).contains(&used), "{used} targets used");
    assert!(site.tally(PRICE_CHECK).in_time_share() > 0.95);
}

/// Two of three jobs fail wherever they run, in a burst beside little other work.
#[test]
fn hopeless_jobs_leave_sound_targets_in_use() {
    let few = Kind { per_s: 10.0, ..AVAILABILITY };
    let mut site = Site::new(4, &[few, HOPELESS]);
    site.run(Duration::from_secs(10), 1.0);
    site.drain();
    let tally = site.tally(few);
    assert!(tally.in_time_share() > 0.8, "{tally:?}");
}

/// Callers whose estimates are off by factors of ten to a hundred.
#[test]
fn wild_estimates_have_no_run_stopped_as_stuck() {
    let mut site = Site::new(12, &ALL);
    site.estimate_factors = vec![0.01, 30.0, 1.0, 0.1, 10.0];
    site.run(Duration::from_secs(3), 1.0);
    let learned = site.entry.counters().stuck_runs;
    site.run(Duration::from_secs(8), 1.0);
    site.drain();
    let stuck = site.entry.counters().stuck_runs - learned;
    assert!(stuck < 10, "{stuck} runs stopped, {learned} while learning");
}
