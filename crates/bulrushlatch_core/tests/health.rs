//! Tests of the ejection of failing targets, their probation and the end of the ejection.

use std::time::{Duration, Instant};

use bulrushlatch_core::connection::health::TargetHealth;

fn eject(health: &mut TargetHealth, now: Instant) {
    let ejections = (0..10).filter(|_| health.record_failure(now, true)).count();
    assert_eq!(ejections, 1, "ejections after ten failures");
    assert!(health.is_ejected());
}

#[test]
fn intervals_between_probation_tasks_grow_while_they_fail() {
    let mut health = TargetHealth::default();
    let mut now = Instant::now();
    eject(&mut health, now);
    let mut probation_tasks = 0;
    for _ in 0..600 {
        now += Duration::from_millis(100);
        if health.allows_task(now) {
            health.record_placement(now);
            assert!(
                !health.allows_task(now),
                "a second probation task is allowed at the same time"
            );
            health.record_failure(now, true);
            probation_tasks += 1;
        }
    }
    assert!((2..=6).contains(&probation_tasks), "{probation_tasks} probation tasks in a minute");
}

#[test]
fn successes_end_an_ejection() {
    let mut health = TargetHealth::default();
    let now = Instant::now();
    eject(&mut health, now);
    for _ in 0..3 {
        health.record_success();
    }
    assert!(!health.is_ejected());
    assert!(health.allows_task(now));
}

#[test]
fn failures_between_successes_do_not_eject() {
    let mut health = TargetHealth::default();
    for _ in 0..100 {
        assert!(!health.record_failure(Instant::now(), true));
        health.record_success();
    }
}

#[test]
fn no_target_is_ejected_while_too_many_are_ejected() {
    let mut health = TargetHealth::default();
    for _ in 0..100 {
        assert!(!health.record_failure(Instant::now(), false));
    }
    assert!(!health.is_ejected());
}
