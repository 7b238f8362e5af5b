//! Tests of single decisions about lack of processor time.

mod support;

use std::{sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    entry::{overload::OverloadControl, processor_load::ProcessorLoad},
    ids::RouteName,
};

use self::support::{EntryFixture, SimulatedAgent, job, ms, route};

const TICK: Duration = Duration::from_millis(20);

/// Applies a load for a number of ticks.
fn apply(control: &mut OverloadControl, ticks: u32, busy_share: f64, delay: Duration) {
    let mut load = ProcessorLoad::default();
    for _ in 0..20 {
        load.record(TICK, TICK.mul_f64(busy_share), delay);
    }
    for _ in 0..ticks {
        control.update(TICK, &load);
    }
}

fn refused(control: &mut OverloadControl, route: &RouteName) -> usize {
    (0..100).filter(|_| control.refuses(route)).count()
}

/// Returns a control that knows a route of short jobs and one of long jobs.
fn control_of_two_routes() -> (OverloadControl, RouteName, RouteName) {
    let (short, long): (RouteName, RouteName) = (Arc::from("short"), Arc::from("long"));
    let mut control = OverloadControl::new(true);
    control.record_job(&short, ms(96));
    control.record_job(&long, ms(600));
    (control, short, long)
}

/// Refusing all kinds alike would refuse long jobs that the delay does not make late.
#[test]
fn a_delay_that_long_jobs_bear_refuses_mostly_short_ones() {
    let (mut control, short, long) = control_of_two_routes();
    apply(&mut control, 50, 1.0, ms(12));
    let (short_refused, long_refused) =
        (refused(&mut control, &short), refused(&mut control, &long));
    assert!((20..=90).contains(&short_refused), "{short_refused}");
    assert!(long_refused * 3 < short_refused, "{long_refused} of the long jobs");
}

/// Jobs that would be late in any case must not be accepted while the fraction is still small.
#[test]
fn jobs_that_would_be_late_are_refused_at_once() {
    let (mut control, short, _) = control_of_two_routes();
    apply(&mut control, 1, 1.0, ms(100));
    assert!(refused(&mut control, &short) >= 90);
}

/// A pause of the VM delays events although the processor has time to spare.
#[test]
fn delay_of_a_processor_with_time_to_spare_refuses_nothing() {
    let (mut control, short, long) = control_of_two_routes();
    apply(&mut control, 50, 0.4, ms(100));
    assert_eq!(refused(&mut control, &short) + refused(&mut control, &long), 0);
    assert!(!control.is_exhausted());
}

/// The load balancer must not move all callers elsewhere while long jobs can be served.
#[test]
fn entry_stays_ready_while_some_jobs_can_be_in_time() {
    let (mut control, ..) = control_of_two_routes();
    apply(&mut control, 50, 1.0, ms(30));
    assert!(!control.is_exhausted());
    apply(&mut control, 50, 1.0, ms(200));
    assert!(control.is_exhausted());
}

/// A resubmitted job that runs here must not be answered "not run".
#[test]
fn open_and_ended_jobs_are_not_refused_for_lack_of_processor_time() {
    let mut fixture = EntryFixture::new(vec![SimulatedAgent::new("agent", 1, 16_000)]);
    fixture.submit(job("open", 1, 1_000, ms(60)), "quick");
    for _ in 0..50 {
        fixture.entry.record_processor_load(TICK, TICK, ms(200));
    }
    let route = route("quick");
    for _ in 0..20 {
        assert!(fixture.entry.refuse_for_overload(&route, "open").is_none());
    }
    let others = (0..20).filter_map(|_| fixture.entry.refuse_for_overload(&route, "other"));
    let delays: Vec<Duration> = others.collect();
    assert!(delays.len() >= 18, "{} refused", delays.len());
    let (min, max) = (delays.iter().min(), delays.iter().max());
    assert!(max > min.map(|min| *min + ms(500)).as_ref(), "retries not spread: {delays:?}");
    assert_eq!(fixture.entry.counters().refused_by_processor, delays.len() as u64);
}
