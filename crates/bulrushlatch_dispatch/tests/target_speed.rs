//! Tests of targets' speeds: how they are learned, and what a task needs of them.

use std::time::Duration;

use bulrushlatch_dispatch::{
    clock::BootTime,
    entry::{
        agent_view::AgentView,
        placement::SpeedNeed,
        service_speeds::{ServiceSpeeds, SpeedSums},
        target_speed::TargetSpeed,
    },
    frame::{AgentFrame, Offer, Profile},
    job::{JobRequest, Step},
    size::Size,
};

const BOOT: BootTime = Duration::from_secs(100);
/// Variance of the logarithm of run times with the variation of [`run`].
const RUN_VARIANCE: f64 = 0.12;
const RUN_INTERVAL: Duration = Duration::from_millis(150);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the logarithm of expected over actual run time of a run at a target of `speed`: run time and
/// estimate vary by up to 40%, and 3% of the tasks take seven times as long.
fn run(speed: f64, rng: &mut fastrand::Rng) -> f64 {
    let factor = |rng: &mut fastrand::Rng| 0.6 + 0.8 * rng.f64();
    let overlong = if rng.f64() < 0.03 { 7.0 } else { 1.0 };
    (speed * factor(rng) / (factor(rng) * overlong)).ln()
}

/// Targets whose speeds are learned, with their clock.
struct Targets {
    speeds: Vec<TargetSpeed>,
    service: ServiceSpeeds,
    now: BootTime,
    rng: fastrand::Rng,
    /// Number of changes of a target's state.
    changes: usize,
}

impl Targets {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            speeds: vec![TargetSpeed::default(); count],
            service: ServiceSpeeds::default(),
            now: BOOT,
            rng: fastrand::Rng::with_seed(seed),
            changes: 0,
        }
    }

    /// Advances the clock by `runs` intervals; each target has a run in each unless its speed is
    /// `None`.
    fn advance(&mut self, runs: usize, actual: impl Fn(usize) -> Option<f64>) {
        for _ in 0..runs {
            self.now += RUN_INTERVAL;
            for (number, speed) in self.speeds.iter_mut().enumerate() {
                if let Some(actual) = actual(number) {
                    speed.record(self.now, run(actual, &mut self.rng), RUN_VARIANCE);
                }
            }
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let mut sums = SpeedSums::default();
        self.speeds.iter().for_each(|speed| sums.add(speed, 1_000));
        let elapsed = self.service.refresh(self.now, &sums);
        for speed in &mut self.speeds {
            let has_changed = speed.refresh(self.now, elapsed, self.service.mean_log_speed);
            self.changes += usize::from(has_changed);
        }
    }

    fn relative(&self, number: usize) -> f64 {
        self.service.relative(&self.speeds[number])
    }
}

fn quarter_slow(number: usize) -> Option<f64> {
    Some(if number.is_multiple_of(4) { 0.55 } else { 1.2 })
}

/// Few runs, of which some are overlong, must tell a speed of 0.55 from one of 1.2.
#[test]
fn speeds_are_learned_despite_varying_run_times() {
    for seed in 0..20 {
        let mut targets = Targets::new(12, seed);
        targets.advance(40, quarter_slow);
        for number in 0..12 {
            let expected = quarter_slow(number).expect("a speed") / 1.0375;
            let ratio = targets.relative(number) / expected;
            assert!((0.6..1.6).contains(&ratio), "seed {seed}, target {number}: {ratio}");
            let is_slow = targets.speeds[number].is_slow();
            assert_eq!(is_slow, number.is_multiple_of(4), "seed {seed}, target {number}");
        }
    }
}

/// Chance alone makes one of 30 equal targets slow at most once in 20 minutes.
#[test]
fn equal_targets_are_not_recognised_as_slow() {
    let mut recognised = 0;
    for seed in 0..20 {
        let mut targets = Targets::new(30, seed);
        targets.advance(400, |_| Some(1.0));
        recognised += targets.changes.div_ceil(2);
    }
    assert!(recognised <= 1, "{recognised} recognised");
}

#[test]
fn one_overlong_run_changes_little() {
    let mut targets = Targets::new(4, 1);
    targets.advance(40, |_| Some(1.0));
    let before = targets.relative(0);
    targets.speeds[0].record(targets.now, -(7.0_f64.ln()), RUN_VARIANCE);
    assert!((targets.relative(0) - before).abs() < 0.1);
    assert!(!targets.speeds[0].is_slow());
}

#[test]
fn a_change_of_speed_is_recognised_within_some_runs() {
    for seed in 0..20 {
        let mut targets = Targets::new(12, seed);
        targets.advance(60, |_| Some(1.0));
        targets.advance(25, |number| Some(if number == 0 { 0.4 } else { 1.0 }));
        assert!(targets.speeds[0].is_slow(), "seed {seed}: {:?}", targets.speeds[0]);
        targets.advance(40, |_| Some(1.0));
        assert!(!targets.speeds[0].is_slow(), "seed {seed}: {:?}", targets.speeds[0]);
    }
}

/// A slow target that gets no tasks any more could not show that it has recovered.
#[test]
fn the_speed_of_a_target_without_runs_is_forgotten() {
    let mut targets = Targets::new(12, 2);
    targets.advance(40, quarter_slow);
    assert!(targets.speeds[0].is_slow());
    targets.advance(150, |number| if number == 0 { None } else { quarter_slow(number) });
    assert!(!targets.speeds[0].is_slow(), "{:?}", targets.speeds[0]);
    assert!(targets.speeds[4].is_slow());
}

#[test]
fn extreme_runs_do_not_disturb_the_speed() {
    let mut speed = TargetSpeed::default();
    for value in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        speed.record(BOOT, value, RUN_VARIANCE);
        speed.record(BOOT, 0.0, value);
    }
    assert_eq!(speed.runs(), 0);
    for _ in 0..1_000 {
        speed.record(BOOT, 1e9, 0.0);
    }
    assert!(speed.log_speed().abs() < 3.0 && speed.variance() > 0.0, "{speed:?}");
}

/// A target that has restarted may be on another VM.
#[test]
fn a_new_profile_resets_the_speed() {
    let mut view = AgentView::new(1, BOOT, 0, 0);
    let frame = |profile| AgentFrame {
        stamp_ms: 1,
        orders_seen: 0,
        profile,
        offer: Offer::default(),
        reports: Vec::new(),
    };
    view.speed.record(BOOT, -0.5, RUN_VARIANCE);
    view.receive(BOOT, &frame(None));
    assert_eq!(view.speed.runs(), 1);
    view.receive(BOOT, &frame(Some(Profile::default())));
    assert_eq!(view.speed.runs(), 0);
    view.speed.record(BOOT, -0.5, RUN_VARIANCE);
    let total = Size { cpu_millis: 4_000, memory_mb: 1_000, accelerators: 0 };
    view.receive(BOOT, &frame(Some(Profile { total, ..Profile::default() })));
    assert_eq!(view.speed.runs(), 1, "the same target, whose capacity has changed");
}

/// Returns the summary of a service of which a quarter is slow, with a slow and a fast target.
fn unequal() -> (ServiceSpeeds, TargetSpeed, TargetSpeed) {
    let mut targets = Targets::new(12, 3);
    targets.advance(60, quarter_slow);
    (targets.service, targets.speeds[0], targets.speeds[1])
}

#[test]
fn a_task_waits_for_a_fast_target_only_as_long_as_that_helps() {
    let (speeds, slow, fast) = unequal();
    let waits = |time_left: Option<u64>| {
        let need = SpeedNeed::new(&speeds, time_left.map(ms), ms(760), 0.06);
        need.should_wait(&slow, &fast)
    };
    assert!(waits(Some(1_200)), "in time only at a fast target");
    assert!(!waits(Some(4_000)), "in time at each target");
    assert!(!waits(Some(400)), "late at each target");
    assert!(!waits(None), "already late");
    let need = SpeedNeed::new(&speeds, Some(ms(1_200)), ms(760), 0.06);
    assert!(!need.should_wait(&fast, &fast));
}

/// Under overload the wait for a fast target may be longer than what it saves.
#[test]
fn a_task_does_not_wait_if_the_usual_wait_is_too_long() {
    let (mut speeds, slow, fast) = unequal();
    for _ in 0..50 {
        speeds.record_fast_wait(ms(900));
    }
    let need = SpeedNeed::new(&speeds, Some(ms(1_200)), ms(760), 0.06);
    assert!(!need.should_wait(&slow, &fast));
}

#[test]
fn paths_after_a_step_follow_the_longest_chain() {
    let step = |millis, depends_on: &[u32]| Step {
        tasks: 1,
        size: Size::default(),
        estimate: ms(millis),
        depends_on: depends_on.to_vec(),
        required_label: None,
        preferred_label: None,
        max_per_target: None,
    };
    let steps = vec![step(10, &[]), step(20, &[0]), step(50, &[0]), step(5, &[1, 2])];
    let request = JobRequest { id: "job".into(), payload: "".into(), steps, unsupported: None };
    assert_eq!(request.paths_after(), [ms(55), ms(5), ms(5), ms(0)]);
}
