//! Which jobs are held to crash targets.

use bulrushlatch_dispatch::{
    crash::{CrashRecord, CrashedRun},
    entry::crash_history::{CrashBlame, CrashHistory},
    ids::{JobId, ProcessId, TaskKey},
};

fn agent(number: u32) -> ProcessId {
    ProcessId { name: format!("agent-{number}"), incarnation: 1 }
}

/// Returns a crash under one task of each job, with the run times of these tasks.
fn crash(number: u64, runs: &[(&str, u64)]) -> CrashRecord {
    let runs = runs.iter().map(|(job, ran_ms)| {
        let task = TaskKey { job: JobId::from(*job), step: 0, index: 0 };
        CrashedRun { task, ran_ms: *ran_ms }
    });
    CrashRecord { number, runs: runs.collect() }
}

fn blame(history: &CrashHistory, job: &str) -> CrashBlame {
    history.blame(&JobId::from(job))
}

/// Guards against giving up a job because of one crash, which may have another cause.
#[test]
fn one_crash_is_not_held_against_a_job_that_was_alone() {
    let mut history = CrashHistory::default();
    history.record(&agent(0), crash(1, &[("job", 20)]));
    assert_eq!(blame(&history, "job"), CrashBlame::Possible);
    assert!(history.was_alone_at_crash(&JobId::from("job")));
}

/// Guards against giving up jobs that only shared a target with the one that crashes it.
#[test]
fn a_job_that_was_alone_at_its_second_crash_or_later_clears_the_others() {
    let mut history = CrashHistory::default();
    history.record(&agent(0), crash(1, &[("cause", 20), ("other", 300), ("third", 40)]));
    history.record(&agent(1), crash(1, &[("cause", 21), ("other", 20)]));
    assert_eq!(blame(&history, "cause"), CrashBlame::Suspected);
    assert_eq!(blame(&history, "other"), CrashBlame::Suspected);
    assert_eq!(blame(&history, "third"), CrashBlame::Possible);
    history.record(&agent(2), crash(1, &[("cause", 20)]));
    assert_eq!(blame(&history, "cause"), CrashBlame::Certain);
    assert_eq!(blame(&history, "other"), CrashBlame::None);
    assert_eq!(blame(&history, "third"), CrashBlame::None);
}

/// Guards against isolating the route of a job that was at two crashes by chance: the one that causes
/// them does so after the same run time.
#[test]
fn the_probable_cause_is_the_only_job_with_two_crashes_after_the_same_run_time() {
    let mut history = CrashHistory::default();
    history.record(&agent(0), crash(1, &[("cause", 20), ("other", 300)]));
    assert_eq!(history.probable_cause(), None);
    history.record(&agent(1), crash(1, &[("cause", 24), ("other", 24)]));
    assert_eq!(history.probable_cause(), Some(&JobId::from("cause")));
    history.record(&agent(2), crash(1, &[("other", 24), ("cause", 24)]));
    assert_eq!(history.probable_cause(), None, "both were at two such crashes");
}

/// Guards against a task that goes on crashing targets while it is never alone at one.
#[test]
fn a_task_is_given_up_after_four_crashes_whatever_else_was_there() {
    let mut history = CrashHistory::default();
    for number in 1..=3 {
        history.record(&agent(0), crash(number, &[("cause", 20), ("other", 30)]));
    }
    assert_eq!(blame(&history, "cause"), CrashBlame::Suspected);
    history.record(&agent(0), crash(4, &[("cause", 20), ("third", 30)]));
    assert_eq!(blame(&history, "cause"), CrashBlame::Certain);
    assert_eq!(blame(&history, "other"), CrashBlame::Suspected);
}

/// Agents tell their crashes again on each new link.
#[test]
fn a_crash_that_is_told_again_counts_once() {
    let mut history = CrashHistory::default();
    for _ in 0..5 {
        history.record(&agent(0), crash(1, &[("job", 20)]));
    }
    assert_eq!(blame(&history, "job"), CrashBlame::Possible);
}

/// Guards against memory that grows with each crash.
#[test]
fn old_crashes_are_forgotten() {
    let mut history = CrashHistory::default();
    history.record(&agent(0), crash(1, &[("old", 20)]));
    for number in 2..2_000 {
        let job = format!("job-{number}");
        history.record(&agent(0), crash(number, &[(&job, 20)]));
    }
    assert_eq!(blame(&history, "old"), CrashBlame::None);
    assert_eq!(blame(&history, "job-1999"), CrashBlame::Possible);
}
