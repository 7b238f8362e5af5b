//! Load on an entry that has just started.

use std::time::Duration;

use super::{
    ALL, AVAILABILITY,
    overload::total,
    site::{JobKind, Site},
};

/// Jobs that arrive before the first link wait for it.
#[test]
fn jobs_at_a_new_entry_wait_for_the_first_target() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.lose_power();
    site.run(Duration::from_millis(60), 1.0);
    site.link_targets();
    site.run(Duration::from_secs(2), 1.0);
    site.drain();
    let tally = total(&site);
    assert!(tally.served_share() > 0.99, "{tally:?}");
}

#[test]
fn jobs_are_refused_once_a_new_entry_has_found_no_target() {
    let mut site = Site::new(12, &ALL);
    site.lose_power();
    site.run(Duration::from_millis(1_200), 1.0);
    let refused_before = total(&site).refused;
    site.run(Duration::from_millis(200), 1.0);
    let tally = total(&site);
    let arrived = (141.25 * 0.2) as u64;
    assert!(tally.refused >= refused_before + arrived, "{tally:?}");
}

/// The jobs of an outage come at once, when nothing has been released yet.
#[test]
fn a_new_entry_takes_what_its_targets_can_run() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.lose_power();
    site.link_targets();
    site.run(Duration::from_millis(300), 2.5);
    site.run(Duration::from_secs(2), 0.9);
    site.drain();
    let tally = total(&site);
    assert!(tally.served_share() > 0.98, "{tally:?}");
}

/// After an outage, callers that submit again cannot be in time any more; new ones can.
#[test]
fn callers_that_submit_again_after_an_outage_do_not_delay_new_ones() {
    let mut site = Site::new(12, &ALL);
    site.run(Duration::from_secs(1), 1.0);
    site.lose_power();
    site.link_targets();
    for _ in 0..50 {
        site.run(Duration::from_millis(10), 0.9);
        for kind in [0, 1, 1] {
            site.submit_again(kind, Duration::from_millis(1_300));
        }
    }
    site.run(Duration::from_secs(2), 0.9);
    site.drain();
    let tally = total(&site);
    assert!(tally.in_time_share() > 0.95, "{tally:?}");
}

/// A job that cannot be in time is served if there is room, also where the limit on late work has
/// become smaller than the job.
#[test]
fn callers_that_submit_again_are_served_at_a_small_idle_site() {
    let kind = JobKind { per_s: 10.0, ..AVAILABILITY };
    let mut site = Site::new(1, &[kind]);
    site.run(Duration::from_secs(2), 1.0);
    site.run(Duration::from_secs(3), 6.0);
    site.run(Duration::from_secs(2), 0.5);
    for _ in 0..5 {
        site.submit_again(0, Duration::from_millis(1_300));
        site.run(Duration::from_secs(1), 0.1);
    }
    assert_eq!(site.resubmitted_served, 5);
}
