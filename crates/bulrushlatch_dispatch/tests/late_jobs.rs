//! Tests of what is learned of callers' ages and of room for late jobs.

use std::time::Duration;

use bulrushlatch_dispatch::entry::{
    caller_age::CallerAges, job_times::JobTimes, late_limit::LateLimit,
};

const TOTAL_CPU_MILLIS: u64 = 100_000;
const MIN_AGE: Duration = ms(975);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records callers that wait for 2 s, give or take 200 ms; returns the ages concluded.
fn record_new_callers(ages: &mut CallerAges, count: u64) -> Vec<Duration> {
    let remaining = (0..count).map(|number| ms(1_800 + number * 137 % 400));
    remaining.map(|remaining| ages.record(&"route".into(), remaining, ms(500), MIN_AGE)).collect()
}

#[test]
fn new_callers_are_not_held_to_have_waited() {
    let mut ages = CallerAges::default();
    assert!(record_new_callers(&mut ages, 200).iter().all(Duration::is_zero));
}

#[test]
fn a_caller_that_submits_again_is_recognized_by_its_shorter_time() {
    let mut ages = CallerAges::default();
    record_new_callers(&mut ages, 20);
    let age = ages.record(&"route".into(), ms(700), ms(500), MIN_AGE);
    assert!(age >= MIN_AGE && age <= ms(1_600), "{age:?}");
}

#[test]
fn callers_that_differ_widely_are_not_held_to_have_waited() {
    let mut ages = CallerAges::default();
    for number in 0..200 {
        let age = ages.record(&"route".into(), ms(500 + number * 731 % 5_000), ms(500), MIN_AGE);
        assert_eq!(age, Duration::ZERO);
    }
}

#[test]
fn nothing_is_concluded_from_few_callers() {
    let mut ages = CallerAges::default();
    record_new_callers(&mut ages, 3);
    assert_eq!(ages.record(&"route".into(), ms(500), ms(500), MIN_AGE), Duration::ZERO);
}

#[test]
fn a_job_of_a_caller_that_has_waited_is_late_or_overdue() {
    let times = |waited| JobTimes::new(ms(200), ms(380), waited, Some(ms(2_000)));
    assert!(!times(Duration::ZERO).is_late());
    let late = times(ms(300));
    assert!(late.is_late() && !late.is_overdue);
    assert_eq!(late.useful, ms(3 * 380 - 300));
    let overdue = times(ms(1_300));
    assert!(overdue.is_overdue);
    assert_eq!(overdue.useful, ms(2_000), "it is served as long as its caller waits");
}

#[test]
fn the_limit_on_late_work_follows_what_becomes_of_it() {
    let mut limit = LateLimit::default();
    let initial = limit.cpu_millis(TOTAL_CPU_MILLIS);
    for _ in 0..20 {
        limit.record_expiry();
    }
    let low = limit.cpu_millis(TOTAL_CPU_MILLIS);
    assert!(low > 0 && low < initial / 4, "{low}");
    for _ in 0..20 {
        limit.record_start(10_000, TOTAL_CPU_MILLIS);
    }
    assert!(limit.cpu_millis(TOTAL_CPU_MILLIS) > initial);
    assert!(limit.cpu_millis(TOTAL_CPU_MILLIS) <= TOTAL_CPU_MILLIS);
}
