//! The promises of bulrushlatch, under faults alone and in pairs, against a simple oracle.
//!
//! The decisions that the programs run are driven here with a virtual clock, a fake network, a
//! fake log and fake targets. A longer run with fresh seeds:
//!
//!     PROMISES_SECONDS=600 cargo test --release -p bulrushlatch_core --test promises -- \
//!         --ignored longer --nocapture

mod case;
mod defect;
mod fault;
mod network;
mod oracle;
mod world;

use std::time::{Duration, Instant};

use arbtest::arbtest;
use strum::IntoEnumIterator;

use self::{
    case::{Case, run_case},
    defect::Sabotage,
    fault::Fault,
};

/// Entropy of one case in bytes; the low half of an arbtest seed.
const CASE_BYTES: u64 = 64;
/// Cases for each fault alone.
const CASES_ALONE: u64 = 4;
/// Cases with two faults.
const CASES_IN_PAIRS: u64 = 120;
/// Time for the longer run, if none is given.
const DEFAULT_SECONDS: u64 = 60;

#[test]
fn promises_hold_without_faults() {
    for number in 0..6 {
        check(number, &[]);
    }
}

#[test]
fn promises_hold_under_each_fault_alone() {
    for (index, fault) in (0..).zip(Fault::iter()) {
        for number in 0..CASES_ALONE {
            check(1000 + index * CASES_ALONE + number, &[fault]);
        }
    }
}

#[test]
fn promises_hold_under_pairs_of_faults() {
    for number in 0..CASES_IN_PAIRS {
        check(5000 + number, &draw_faults(number));
    }
}

/// Cases of longer runs that showed a fault, which has been mended.
#[test]
fn promises_hold_in_cases_that_once_failed() {
    let found: [(u64, [Fault; 2]); 15] = [
        (140_342_429, [Fault::KillAllEntries, Fault::LogLapse]),
        (1_632_193_853, [Fault::LogLapse, Fault::KillAllEntries]),
        (1_540_851_148, [Fault::LeaveAgent, Fault::CutBothWays]),
        (1_039_527_149, [Fault::FreezeEntry, Fault::CutBothWays]),
        (1_758_845_618, [Fault::SilentConnection, Fault::FreezeEntry]),
        (1_835_419_169, [Fault::TargetFailsAll, Fault::Resubmit]),
        (384_482_217, [Fault::DrainSetting, Fault::LeaveAgent]),
        (69_535_694, [Fault::Delay, Fault::KillAgent]),
        (1_386_517_337, [Fault::LeaveAgent, Fault::KillAllEntries]),
        (742_782_758, [Fault::LeaveAgent, Fault::CutBothWays]),
        (922_531_390, [Fault::CutBothWays, Fault::KillAgent]),
        (1_470_290_197, [Fault::Delay, Fault::FreezeAgent]),
        (1_102_086_256, [Fault::DrainSetting, Fault::DrainSetting]),
        (2_048_869_591, [Fault::DrainSetting, Fault::DrainSetting]),
        (1_307_189_183, [Fault::KillAllEntries, Fault::KillAgent]),
    ];
    for (number, faults) in found {
        check(number, &faults);
    }
    check(1_772_991_065, &[Fault::TargetRefuses, Fault::FreezeEntry, Fault::LeaveAgent]);
    check(1_636_770_112, &[Fault::LeaveEntry, Fault::LeaveEntry, Fault::LeaveAgent]);
    check(1_461_796_366, &[Fault::KillAgent, Fault::KillEntry, Fault::LeaveEntry]);
    for number in 0..10 {
        check(8000 + number, &[Fault::Delay, Fault::Resubmit]);
        check(8100 + number, &[Fault::CutBothWays, Fault::KillAgent]);
    }
}

#[test]
#[ignore = "takes as long as PROMISES_SECONDS says"]
fn longer() {
    let time = Duration::from_secs(number_from("PROMISES_SECONDS").unwrap_or(DEFAULT_SECONDS));
    let begun = Instant::now();
    let mut cases = 0;
    let mut failed = 0;
    while begun.elapsed() < time {
        let number = fastrand::u64(1 << 20..1 << 31);
        let faults = draw_faults(number);
        let violations = violations(number, &faults, None);
        cases += 1;
        if let Some(first) = violations.first() {
            failed += 1;
            println!("case {number} {faults:?}: {first} ({} in all)", violations.len());
        }
    }
    println!("{cases} cases, {failed} failed");
    assert_eq!(failed, 0);
}

/// One case by hand: `PROMISES_CASE=5017 cargo test ... -- --ignored replay --nocapture`.
#[test]
#[ignore = "replays the case that PROMISES_CASE names"]
fn replay() {
    let number = number_from("PROMISES_CASE").unwrap_or(0);
    let faults = draw_faults(if number < 1 << 20 { number.saturating_sub(5000) } else { number });
    println!("{faults:?}");
    for violation in violations(number, &faults, None) {
        println!("{violation}");
    }
}

/// Draws as many faults as PROMISES_FAULTS says, or two.
fn draw_faults(number: u64) -> Vec<Fault> {
    let faults: Vec<Fault> = Fault::iter().collect();
    let mut random = fastrand::Rng::with_seed(number);
    let count = number_from("PROMISES_FAULTS").unwrap_or(2);
    (0..count).map(|_| faults[random.usize(..faults.len())]).collect()
}

fn number_from(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn check(number: u64, faults: &[Fault]) {
    let violations = violations(number, faults, None);
    assert!(violations.is_empty(), "case {number} {faults:?}: {violations:#?}");
}

fn violations(number: u64, faults: &[Fault], sabotage: Option<Sabotage>) -> Vec<String> {
    let mut violations = Vec::new();
    arbtest(|entropy| {
        let case = Case::draw(entropy, faults, sabotage)?;
        violations = run_case(&case);
        Ok(())
    })
    .seed((number << 32) | CASE_BYTES);
    violations
}

/// Without its mechanism each promise is broken by a named case, and the oracle sees it.
mod without_mechanism {
    use super::{Fault, Sabotage, violations};

    /// Cases that are tried until one shows the fault.
    const CASES: u64 = 40;

    fn assert_seen(sabotage: Sabotage, faults: &[Fault], violation: &str) {
        let is_seen = (9000..9000 + CASES).any(|number| {
            let violations = violations(number, faults, Some(sabotage));
            violations.iter().any(|text| text.contains(violation))
        });
        assert!(is_seen, "{sabotage:?} with {faults:?} never led to {violation:?}");
    }

    #[test]
    fn witnesses_that_forget_let_tasks_start_twice() {
        assert_seen(Sabotage::ForgetfulWitness, &[Fault::KillEntry], "started twice");
    }

    #[test]
    fn collecting_nothing_lets_tasks_start_twice() {
        assert_seen(Sabotage::CollectNothing, &[Fault::KillEntry], "started twice");
    }

    #[test]
    fn agents_without_fences_let_tasks_start_twice() {
        let faults = [Fault::FreezeEntry, Fault::Delay];
        assert_seen(Sabotage::NoFence, &faults, "started twice");
    }

    #[test]
    fn agents_that_keep_their_incarnation_let_tasks_start_twice() {
        let faults = [Fault::KillAgent, Fault::Resubmit];
        assert_seen(Sabotage::SameIncarnation, &faults, "started twice");
    }

    #[test]
    fn probes_that_refuse_nothing_let_tasks_start_twice() {
        assert_seen(Sabotage::ProbeRefusesNothing, &[Fault::Delay], "started twice");
    }

    #[test]
    fn mixed_up_results_are_seen() {
        assert_seen(Sabotage::SwapResults, &[], "not its own");
    }

    #[test]
    fn wrong_verdicts_make_refusals_untrue() {
        let faults = [Fault::TargetLosesReplies];
        assert_seen(Sabotage::ClaimNotRun, &faults, "started twice");
    }

    #[test]
    fn settings_that_are_not_read_let_a_drained_target_go_on() {
        assert_seen(Sabotage::NoSettings, &[Fault::DrainSetting], "after it was drained");
    }

    #[test]
    fn settings_that_are_not_read_are_not_in_force() {
        assert_seen(Sabotage::NoSettings, &[], "has settings");
    }

    #[test]
    fn an_agent_that_does_not_announce_that_it_leaves_goes_on_starting() {
        assert_seen(Sabotage::LeaveUnannounced, &[Fault::LeaveAgent], "after it left");
    }

    #[test]
    fn entries_that_do_not_drain_cut_callers_off() {
        assert_seen(Sabotage::ExitAtOnce, &[Fault::LeaveEntry], "cut off");
    }

    #[test]
    fn older_settings_under_a_newer_offset_are_seen() {
        assert_seen(Sabotage::RevertSettings, &[], "settings");
    }
}
