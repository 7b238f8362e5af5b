//! End-to-end tests of the real programs on loopback, also with processes that are killed, frozen or
//! leaving.

mod support;

use std::time::Duration;

use bulrushlatch_protocol::answer::AnswerState;
use support::{ProgramSite, submission};

#[test]
fn a_repeated_submission_is_answered_without_running_again() {
    let site = ProgramSite::start(2, 2);
    let job = submission("job-1", 6, 60, 10_000);
    let first = site.submit(0, &job);
    assert_eq!(first.state, AnswerState::Complete, "{first:?}");
    support::assert_own_results(&first, "job-1", 6);
    let again = site.submit(1, &job);
    assert_eq!(again.state, AnswerState::Complete, "{again:?}");
    support::assert_own_results(&again, "job-1", 6);
    let other_body = site.submit(1, &submission("job-1", 5, 60, 10_000));
    assert_eq!(other_body.state, AnswerState::Refused, "{other_body:?}");
    assert_eq!(site.started_tasks(), 6);
}

#[test]
fn a_killed_owner_does_not_make_a_task_start_twice() {
    let mut site = ProgramSite::start(3, 3);
    let jobs: Vec<_> = (0..12).map(|n| submission(&format!("kill-{n}"), 4, 400, 20_000)).collect();
    let waiting: Vec<_> = jobs.iter().map(|job| site.submit_in_background(1, job)).collect();
    std::thread::sleep(Duration::from_millis(150));
    site.entries[0].kill();
    for (n, answer) in waiting.into_iter().enumerate() {
        let answer = answer.join().expect("the caller's thread ends");
        assert_eq!(answer.state, AnswerState::Complete, "{answer:?}");
        support::assert_own_results(&answer, &format!("kill-{n}"), 4);
    }
    assert_eq!(site.started_tasks(), 48);
    assert_eq!(site.repeated_tasks(), 0);
}

#[test]
fn a_frozen_owner_that_resumes_does_not_make_a_task_start_twice() {
    let site = ProgramSite::start(3, 3);
    let jobs: Vec<_> =
        (0..12).map(|n| submission(&format!("freeze-{n}"), 3, 300, 30_000)).collect();
    let waiting: Vec<_> = jobs.iter().map(|job| site.submit_in_background(1, job)).collect();
    std::thread::sleep(Duration::from_millis(100));
    site.entries[0].freeze();
    // Longer than the silence limit of 2 s, after which the other entries remove this one.
    std::thread::sleep(Duration::from_secs(4));
    site.entries[0].thaw();
    for (n, answer) in waiting.into_iter().enumerate() {
        let answer = answer.join().expect("the caller's thread ends");
        assert_eq!(answer.state, AnswerState::Complete, "{answer:?}");
        support::assert_own_results(&answer, &format!("freeze-{n}"), 3);
    }
    assert_eq!(site.repeated_tasks(), 0);
}

#[test]
fn a_leaving_entry_and_agent_finish_their_work() {
    let mut site = ProgramSite::start(3, 3);
    let jobs: Vec<_> = (0..9).map(|n| submission(&format!("drain-{n}"), 3, 700, 20_000)).collect();
    let waiting: Vec<_> =
        jobs.iter().enumerate().map(|(n, job)| site.submit_in_background(n % 3, job)).collect();
    site.wait_until(|site| (0..9).all(|n| site.is_accepted(&format!("drain-{n}"))));
    site.entries[0].terminate();
    site.agents[0].terminate();
    for (n, answer) in waiting.into_iter().enumerate() {
        let answer = answer.join().expect("the caller's thread ends");
        assert_eq!(answer.state, AnswerState::Complete, "{answer:?}");
        support::assert_own_results(&answer, &format!("drain-{n}"), 3);
    }
    assert!(site.entries[0].wait_for_exit(Duration::from_secs(20)), "the entry did not exit");
    assert!(site.agents[0].wait_for_exit(Duration::from_secs(20)), "the agent did not exit");
    let after = site.submit(1, &submission("after-drain", 2, 50, 10_000));
    assert_eq!(after.state, AnswerState::Complete, "{after:?}");
    assert_eq!(site.repeated_tasks(), 0);
}

#[test]
fn submissions_complete_during_a_log_outage() {
    let site = ProgramSite::start(2, 2);
    site.set_log_mode("down");
    for n in 0..5 {
        let answer = site.submit(n % 2, &submission(&format!("outage-{n}"), 3, 50, 10_000));
        assert_eq!(answer.state, AnswerState::Complete, "{answer:?}");
    }
    site.set_log_mode("up");
}

#[test]
fn invalid_flags_are_all_named_and_end_the_program() {
    let output = support::run_program("bulrush-entry", &["--shards", "none", "--log-url", "x"]);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for flag in ["--name", "--zone", "--shards", "--log-url"] {
        assert!(text.contains(flag), "{flag} is not named in {text}");
    }
}
