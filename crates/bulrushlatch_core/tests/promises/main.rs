//! Fuzz test of the guarantees of bulrushlatch under injected faults, checked by an oracle.
//!
//! Runs the entries and agents of the programs with a virtual clock and with a simulated network,
//! log and targets. To run random cases for a given time:
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
    defect::Defect,
    fault::Fault,
};

/// Bytes of entropy for one case; the lower half of an arbtest seed.
const CASE_BYTES: u64 = 64;
/// Number of cases for each single fault.
const CASES_PER_FAULT: u64 = 4;
/// Number of cases with two faults.
const CASES_WITH_PAIRS: u64 = 120;
/// Duration of [`longer`] by default.
const DEFAULT_SECONDS: u64 = 60;

#[test]
fn guarantees_hold_without_faults() {
    for number in 0..6 {
        check(number, &[]);
    }
}

#[test]
fn guarantees_hold_under_each_single_fault() {
    for (index, fault) in (0..).zip(Fault::iter()) {
        for number in 0..CASES_PER_FAULT {
            check(1000 + index * CASES_PER_FAULT + number, &[fault]);
        }
    }
}

#[test]
fn guarantees_hold_under_pairs_of_faults() {
    for number in 0..CASES_WITH_PAIRS {
        check(5000 + number, &draw_faults(number));
    }
}

/// Regression test: cases that violated a guarantee before its cause was fixed. Those with a number
/// from 1 << 20 were found by [`longer`].
#[test]
fn guarantees_hold_in_cases_that_failed_before() {
    let past_cases: [(u64, [Fault; 2]); 15] = [
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
    for (number, faults) in past_cases {
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

/// Runs random cases for PROMISES_SECONDS and prints each failure.
#[test]
#[ignore = "runs for PROMISES_SECONDS, by default 60"]
fn longer() {
    let time = Duration::from_secs(number_from_env("PROMISES_SECONDS").unwrap_or(DEFAULT_SECONDS));
    let start = Instant::now();
    let mut cases = 0;
    let mut failed = 0;
    while start.elapsed() < time {
        let number = fastrand::u64(1 << 20..1 << 31);
        let faults = draw_faults(number);
        let violations = violations_of(number, &faults, None);
        cases += 1;
        if let Some(first) = violations.first() {
            failed += 1;
            println!("case {number} {faults:?}: {first} ({} in all)", violations.len());
        }
    }
    println!("{cases} cases, {failed} failed");
    assert_eq!(failed, 0);
}

/// Runs the case PROMISES_CASE of [`longer`] or of the pairs of faults, and prints its faults and
/// violations, and the messages of the submission PROMISES_TRACE.
///
/// Example: `PROMISES_CASE=5017 cargo test ... -- --ignored replay --nocapture`.
#[test]
#[ignore = "for tracing one case by hand"]
fn replay() {
    let number = number_from_env("PROMISES_CASE").unwrap_or(0);
    // Cases of `longer` have numbers from 1 << 20; below that are the pairs, which begin at 5000.
    let faults = draw_faults(if number < 1 << 20 { number.saturating_sub(5000) } else { number });
    println!("{faults:?}");
    for violation in violations_of(number, &faults, None) {
        println!("{violation}");
    }
}

/// Draws PROMISES_FAULTS faults, by default two.
fn draw_faults(number: u64) -> Vec<Fault> {
    let faults: Vec<Fault> = Fault::iter().collect();
    let mut random = fastrand::Rng::with_seed(number);
    let count = number_from_env("PROMISES_FAULTS").unwrap_or(2);
    (0..count).map(|_| faults[random.usize(..faults.len())]).collect()
}

fn number_from_env(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn check(number: u64, faults: &[Fault]) {
    let violations = violations_of(number, faults, None);
    assert!(violations.is_empty(), "case {number} {faults:?}: {violations:#?}");
}

/// Runs a case and returns the violations of guarantees.
fn violations_of(number: u64, faults: &[Fault], defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    arbtest(|entropy| {
        let case = Case::draw(entropy, faults, defect)?;
        violations = run_case(&case);
        Ok(())
    })
    .seed((number << 32) | CASE_BYTES);
    violations
}

/// Guards against an oracle that overlooks violations: each defect must be detected in a case.
mod oracle_detects {
    use super::{Defect, Fault, violations_of};

    /// Number of cases in at least one of which a defect must be detected.
    const CASES: u64 = 40;

    fn assert_detected(defect: Defect, faults: &[Fault], violation: &str) {
        let is_detected = (9000..9000 + CASES).any(|number| {
            let violations = violations_of(number, faults, Some(defect));
            violations.iter().any(|text| text.contains(violation))
        });
        assert!(is_detected, "{defect:?} with {faults:?} never led to {violation:?}");
    }

    #[test]
    fn duplicate_starts_if_witnesses_do_not_store_ids() {
        assert_detected(Defect::ForgetfulWitness, &[Fault::KillEntry], "started twice");
    }

    #[test]
    fn duplicate_starts_if_new_owners_get_no_ids() {
        assert_detected(Defect::CollectNothing, &[Fault::KillEntry], "started twice");
    }

    #[test]
    fn duplicate_starts_if_agents_have_no_fences() {
        let faults = [Fault::FreezeEntry, Fault::Delay];
        assert_detected(Defect::NoFence, &faults, "started twice");
    }

    #[test]
    fn duplicate_starts_if_agents_reuse_their_incarnation() {
        let faults = [Fault::KillAgent, Fault::Resubmit];
        assert_detected(Defect::SameIncarnation, &faults, "started twice");
    }

    #[test]
    fn duplicate_starts_if_probes_do_not_refuse_later_starts() {
        assert_detected(Defect::ProbeRefusesNothing, &[Fault::Delay], "started twice");
    }

    #[test]
    fn wrong_results() {
        assert_detected(Defect::NullResults, &[], "not its own");
    }

    #[test]
    fn duplicate_starts_if_lost_replies_are_reported_as_not_run() {
        let faults = [Fault::TargetLosesReplies];
        assert_detected(Defect::ClaimNotRun, &faults, "started twice");
    }

    #[test]
    fn starts_at_a_drained_target_if_settings_are_not_read() {
        assert_detected(Defect::NoSettings, &[Fault::DrainSetting], "after it was drained");
    }

    #[test]
    fn accepted_settings_that_are_not_in_force() {
        assert_detected(Defect::NoSettings, &[], "has settings");
    }

    #[test]
    fn starts_by_an_agent_that_does_not_announce_its_shutdown() {
        assert_detected(Defect::LeaveUnannounced, &[Fault::LeaveAgent], "after its shutdown began");
    }

    #[test]
    fn calls_unanswered_by_an_entry_that_does_not_drain() {
        assert_detected(Defect::ExitAtOnce, &[Fault::LeaveEntry], "exited without answering");
    }

    #[test]
    fn empty_settings_under_a_newer_offset() {
        assert_detected(Defect::RevertSettings, &[], "settings");
    }
}
