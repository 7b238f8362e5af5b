//! Load patterns that the share of delegated jobs responds to.

use std::time::Duration;

use bulrushlatch_dispatch::entry::{
    delegation::share::{DEFAULT_THRESHOLD, DelegatedShare},
    processor_load::ProcessorLoad,
};

const TICK: Duration = Duration::from_millis(20);
/// CPU time of a delegated job at its origin, relative to one that it carries out.
const ORIGIN_COST: f64 = 0.3;

/// Plays an entry whose jobs would keep its processor busy for `demand` of the time, for `seconds`;
/// returns the mean busy share and the mean delegated share of the last second.
fn play(controller: &mut DelegatedShare, demand: f64, seconds: u32) -> (f64, f64) {
    let mut load = ProcessorLoad::default();
    let (mut busy_sum, mut share_sum) = (0.0, 0.0);
    for tick in 0..seconds * 50 {
        let share = controller.share();
        let busy_share = (demand * (1.0 - share + share * ORIGIN_COST)).min(1.0);
        load.record(TICK, TICK.mul_f64(busy_share), Duration::ZERO);
        controller.update(TICK, load.busy_share(), Duration::ZERO);
        if tick >= (seconds - 1) * 50 {
            busy_sum += busy_share / 50.0;
            share_sum += share / 50.0;
        }
    }
    (busy_sum, share_sum)
}

/// Guards against the overload of the only entry of an availability zone: it gets twice the jobs that
/// its processor suffices for.
#[test]
fn the_busy_share_of_an_overloaded_entry_settles_at_the_threshold() {
    for demand in [0.9, 1.3, 2.2] {
        let mut controller = DelegatedShare::new(DEFAULT_THRESHOLD);
        let (busy_share, _) = play(&mut controller, demand, 5);
        assert!((0.65..0.75).contains(&busy_share), "{busy_share} at {demand}");
    }
}

#[test]
fn nothing_is_delegated_below_the_threshold() {
    let mut controller = DelegatedShare::new(DEFAULT_THRESHOLD);
    let (_, share) = play(&mut controller, 0.65, 5);
    assert!(share < 0.001, "{share}");
}

/// Guards against an entry that goes on delegating when a burst is over.
#[test]
fn the_share_returns_to_zero_after_a_burst() {
    let mut controller = DelegatedShare::new(DEFAULT_THRESHOLD);
    let (_, share) = play(&mut controller, 2.0, 3);
    assert!(share > 0.5, "{share}");
    let (_, share) = play(&mut controller, 0.3, 3);
    assert!(share < 0.001 && !controller.is_prepared(), "{share}");
}

/// Guards against a burst that queues up for a second before the share has risen.
#[test]
fn queueing_delay_makes_the_share_rise_faster() {
    let share_after = |queueing_delay| {
        let mut controller = DelegatedShare::new(DEFAULT_THRESHOLD);
        (0..15).for_each(|_| controller.update(TICK, 1.0, queueing_delay));
        controller.share()
    };
    let (without, with) = (share_after(Duration::ZERO), share_after(Duration::from_millis(200)));
    assert!(without < 0.3 && with > 0.9, "{without} and {with} after 300 ms");
}

#[test]
fn delegates_are_prepared_before_the_first_job_is_delegated() {
    let mut controller = DelegatedShare::new(DEFAULT_THRESHOLD);
    play(&mut controller, 0.62, 2);
    assert!(controller.is_prepared() && controller.share() < 0.001);
}
