//! Tests of the run times learned for each route.

use std::{sync::Arc, time::Duration};

use bulrushlatch_dispatch::{entry::run_times::RunTimes, ids::RouteName};

fn route() -> RouteName {
    Arc::from("route")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_estimate_is_expected_before_the_first_run() {
    let times = RunTimes::default();
    assert_eq!(times.expected(&route(), ms(70)), ms(70));
    assert_eq!(times.upper_bound(&route(), ms(70)), None);
}

#[test]
fn expected_run_times_follow_accurate_estimates() {
    let mut times = RunTimes::default();
    for run in 0..200 {
        let ran = ms(if run % 2 == 0 { 20 } else { 2_000 });
        times.record(&route(), ran.mul_f64(1.1), ran);
    }
    let (short, long) = (times.expected(&route(), ms(20)), times.expected(&route(), ms(2_000)));
    assert!((ms(15)..ms(30)).contains(&short), "{short:?}");
    assert!((ms(1_500)..ms(2_500)).contains(&long), "{long:?}");
}

#[test]
fn expected_run_times_follow_the_mean_if_estimates_are_inaccurate() {
    let mut times = RunTimes::default();
    for run in 0..200 {
        times.record(&route(), ms(if run % 2 == 0 { 1 } else { 10_000 }), ms(100));
    }
    for estimate in [1, 10_000] {
        let expected = times.expected(&route(), ms(estimate));
        assert!((ms(80)..ms(130)).contains(&expected), "{estimate} ms estimated, {expected:?}");
    }
}

#[test]
fn extreme_run_times_and_estimates_do_not_panic() {
    let mut times = RunTimes::default();
    for run in 0..50 {
        let ran = if run % 2 == 0 { Duration::ZERO } else { Duration::from_secs(u64::MAX / 4) };
        times.record(&route(), Duration::ZERO, ran);
    }
    assert!(times.upper_bound(&route(), Duration::ZERO).is_some());
    assert!(times.upper_bound(&route(), Duration::from_secs(u64::MAX / 4)).is_some());
}
