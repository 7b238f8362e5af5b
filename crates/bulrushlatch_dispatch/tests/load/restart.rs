//! Load on an entry that has just started.

use std::time::Duration;

use super::{ALL, overload::total, site::Site};

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
