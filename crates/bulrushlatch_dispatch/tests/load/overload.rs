//! Bursts, and overload that lasts.

use std::time::Duration;

use super::{
    ALL,
    site::{Site, Tally},
};

/// Load factor at which 12 targets have no capacity left.
const FULL_LOAD: f64 = 1.39;

/// Returns the sum of the tallies of all kinds of job.
pub fn total(site: &Site) -> Tally {
    Tally::sum(&site.tallies)
}

/// Jobs that a short burst makes late are served with the capacity that is left after it.
#[test]
fn a_short_burst_makes_jobs_late_rather_than_refused() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(2), 1.0);
    for _ in 0..4 {
        site.run(Duration::from_millis(300), 2.5);
        site.run(Duration::from_millis(1_200), 0.8);
    }
    site.drain();
    let tally = total(&site);
    assert!(tally.served_share() > 0.985, "{tally:?}");
    assert!(tally.in_time_share() > 0.93, "{tally:?}");
}

/// Late jobs must not take the capacity of jobs that can be in time.
#[test]
fn late_jobs_stay_few_under_sustained_overload() {
    for overload in [1.4, 1.7] {
        let mut site = Site::new(12, &ALL);
        site.run(Duration::from_secs(2), 1.0);
        site.run(Duration::from_secs(10), FULL_LOAD * overload);
        site.drain();
        let tally = total(&site);
        let share = |count| count as f64 / tally.arrived as f64;
        assert!(tally.in_time_share() > 0.9 / overload, "{overload}: {tally:?}");
        assert!(share(tally.late) < 0.1, "{overload}: {tally:?}");
        assert!(share(tally.late_refusals) < 0.05, "{overload}: {tally:?}");
    }
}
