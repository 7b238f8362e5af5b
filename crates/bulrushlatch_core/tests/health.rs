//! A failing target is ejected, gets ever fewer probation tasks, and comes back.

use std::time::{Duration, Instant};

use bulrushlatch_core::connection::health::TargetHealth;

fn eject(health: &mut TargetHealth, now: Instant) {
    let ejected = (0..10).filter(|_| health.record_failure(now, true)).count();
    assert_eq!(ejected, 1, "a target is ejected once");
    assert!(health.is_ejected());
}

#[test]
fn probation_tasks_become_rarer_while_they_fail() {
    let mut health = TargetHealth::default();
    let mut now = Instant::now();
    eject(&mut health, now);
    let mut tasks = 0;
    for _ in 0..600 {
        now += Duration::from_millis(100);
        if health.allows_task(now) {
            health.record_placement(now);
            assert!(!health.allows_task(now), "a second probation task at once");
            health.record_failure(now, true);
            tasks += 1;
        }
    }
    assert!((2..=6).contains(&tasks), "{tasks} probation tasks in a minute");
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
fn failures_among_successes_eject_nobody() {
    let mut health = TargetHealth::default();
    for _ in 0..100 {
        assert!(!health.record_failure(Instant::now(), true));
        health.record_success();
    }
}

#[test]
fn no_target_is_ejected_when_too_many_are() {
    let mut health = TargetHealth::default();
    for _ in 0..100 {
        assert!(!health.record_failure(Instant::now(), false));
    }
    assert!(!health.is_ejected());
}
