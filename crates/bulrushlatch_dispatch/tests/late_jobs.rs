//! Tests of the room for late jobs.

use std::time::Duration;

use bulrushlatch_dispatch::entry::{
    admission::{self, Admission, Demand, Supply},
    late_limit::LateLimit,
};

const TOTAL_CPU_MILLIS: u64 = 100_000;

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

/// At a site of few targets the limit may be less than one task.
#[test]
fn one_late_job_may_wait_however_low_the_limit_is() {
    let demand = Demand {
        cpu_millis: 8_000,
        max_wait: Duration::from_millis(100),
        max_late_wait: Duration::from_millis(900),
    };
    let supply = Supply {
        free_cpu_millis: 0,
        queued_cpu_millis: 0,
        released_cpu_millis_per_s: 20_000.0,
        route_share: 1.0,
        waiting_cpu_millis: 0,
        late_cpu_millis: 0,
        max_late_cpu_millis: 100,
    };
    let is_taken = |supply: &Supply| {
        matches!(admission::decide(&demand, supply), Admission::AcceptLate { .. })
    };
    assert!(is_taken(&supply));
    assert!(!is_taken(&Supply { late_cpu_millis: 1_000, ..supply }), "a second one must not wait");
    assert!(!is_taken(&Supply { max_late_cpu_millis: 0, ..supply }), "there was no room lately");
}
