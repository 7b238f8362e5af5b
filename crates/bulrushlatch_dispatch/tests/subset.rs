//! Tests of the choice of the agents that an entry uses.

use std::{collections::BTreeSet, time::Duration};

use bulrushlatch_dispatch::{
    entry::{
        offered_load::OfferedLoad,
        subset::{Candidate, choose, rank},
    },
    ids::LinkId,
};

const AGENTS: usize = 240;
const CPU_MILLIS: u64 = 16_000;

/// Returns the links of the agents that an entry uses whose jobs keep `load_cpu_millis` busy.
fn chosen(load_cpu_millis: f64) -> BTreeSet<LinkId> {
    let candidates = (0..AGENTS).map(|number| Candidate {
        link: number as LinkId,
        rank: rank(7, &format!("agent-{number}")),
        service: "service",
        is_in_own_zone: number % 6 == 0,
        cpu_millis: CPU_MILLIS,
    });
    choose(candidates, |_| load_cpu_millis).into_iter().collect()
}

#[test]
fn an_entry_with_little_load_uses_the_base_number_of_agents() {
    assert_eq!(chosen(0.0).len(), 24);
    assert_eq!(chosen(2.0 * CPU_MILLIS as f64).len(), 24);
}

#[test]
fn an_entry_uses_more_agents_the_more_load_it_receives_up_to_a_limit() {
    assert_eq!(chosen(12.0 * CPU_MILLIS as f64).len(), 48);
    assert_eq!(chosen(1e9).len(), 96);
}

/// Runs in progress stay where they are.
#[test]
fn agents_stay_in_use_when_the_load_grows() {
    let few = chosen(0.0);
    assert!(few.is_subset(&chosen(12.0 * CPU_MILLIS as f64)));
}

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

/// Load of jobs that need four cores for 100 ms and arrive every 10 ms for `length_ms`.
fn load_of_forty_cores(length_ms: u64) -> OfferedLoad {
    let mut load = OfferedLoad::default();
    for millis in (0..length_ms).step_by(10) {
        load.record(at(millis), 4_000, Duration::from_millis(100));
    }
    load
}

#[test]
fn offered_load_is_what_jobs_keep_busy_and_decays() {
    let load = load_of_forty_cores(10_000);
    let busy = load.cpu_millis(at(10_000));
    assert!((38_000.0..42_000.0).contains(&busy), "{busy}");
    assert!(load.cpu_millis(at(30_000)) < 10.0);
}

/// After a restart, callers arrive in full from the first moment on.
#[test]
fn offered_load_is_known_soon_after_the_start() {
    let busy = load_of_forty_cores(300).cpu_millis(at(300));
    assert!((36_000.0..44_000.0).contains(&busy), "{busy}");
    assert!(load_of_forty_cores(10).cpu_millis(at(10)) < 4_000.0, "one job says little");
}
