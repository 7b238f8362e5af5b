//! What is learned of run times.

use std::{sync::Arc, time::Duration};

use bulrushlatch_dispatch::{entry::run_times::RunTimes, ids::RouteName};

fn route() -> RouteName {
    Arc::from("route")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn an_estimate_is_all_there_is_before_the_first_run() {
    let times = RunTimes::default();
    assert_eq!(times.expected(&route(), ms(70)), ms(70));
    assert_eq!(times.upper_bound(&route(), ms(70)), None);
}

#[test]
fn good_estimates_tell_long_jobs_from_short_ones() {
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
fn bad_estimates_give_way_to_what_was_learned() {
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
fn values_without_bounds_do_no_harm() {
    let mut times = RunTimes::default();
    for run in 0..50 {
        let ran = if run % 2 == 0 { Duration::ZERO } else { Duration::from_secs(u64::MAX / 4) };
        times.record(&route(), Duration::ZERO, ran);
    }
    assert!(times.upper_bound(&route(), Duration::ZERO).is_some());
    assert!(times.upper_bound(&route(), Duration::from_secs(u64::MAX / 4)).is_some());
}
