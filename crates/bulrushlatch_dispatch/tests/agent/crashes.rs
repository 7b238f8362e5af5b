//! Crashes of the target, and isolation of jobs there.

use bulrushlatch_dispatch::{
    agent::target::{PollError, StartReply},
    crash::{CrashNotice, ISOLATION_NOTICE_LIFETIME, IsolationNotice},
    frame::DEMAND_FRAME_VERSION,
    outcome::{Obstacle, RunOutcome},
};

use super::fixture::*;

fn start_two_tasks(fixture: &mut AgentFixture) {
    fixture.start(0, 1_000);
    fixture.start(1, 1_000);
    for start in fixture.take_starts() {
        fixture.reply_to_start(&start, &StartReply::Started);
    }
}

fn crash(fixture: &mut AgentFixture) {
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), PollError::Absent);
}

fn notices(fixture: &mut AgentFixture) -> Vec<CrashNotice> {
    let notices = fixture.agent.take_crash_notices();
    notices.into_iter().map(|(_, notice)| notice).collect()
}

fn isolation() -> IsolationNotice {
    IsolationNotice { services: ["service".to_owned()].into(), routes: ["quick".into()].into() }
}

/// Guards against entries that do not learn which tasks were at a crash, their own and those of others.
#[test]
fn a_crash_is_told_once_on_each_link_with_all_tasks_there() {
    let mut fixture = AgentFixture::new();
    start_two_tasks(&mut fixture);
    crash(&mut fixture);
    let told = notices(&mut fixture);
    let tasks: Vec<_> = told[0].crashes[0].runs.iter().map(|run| run.task.clone()).collect();
    assert_eq!(tasks, [task(0), task(1)]);
    assert!(notices(&mut fixture).is_empty(), "told once");
    fixture.agent.link_up(
        fixture.now,
        entry(),
        2,
        bulrushlatch_dispatch::frame::NEWEST_FRAME_VERSION,
    );
    assert_eq!(notices(&mut fixture), told, "told again on a new link");
}

/// Guards against blaming tasks for the end of a target that was about to leave.
#[test]
fn the_end_of_a_leaving_target_is_no_crash() {
    let mut fixture = AgentFixture::new();
    start_two_tasks(&mut fixture);
    let mut leaving = announcement("target", 2);
    leaving.is_leaving = true;
    fixture.agent.handle_announcement(leaving);
    crash(&mut fixture);
    assert!(notices(&mut fixture).is_empty());
    assert_eq!(fixture.agent.counters().target_crashes, 0);
}

/// The previous build closes a link on which a frame arrives that it cannot decode.
#[test]
fn an_entry_of_the_previous_build_is_not_told_of_crashes() {
    let mut fixture = AgentFixture::new();
    fixture.agent.link_up(fixture.now, entry(), 1, DEMAND_FRAME_VERSION);
    start_two_tasks(&mut fixture);
    crash(&mut fixture);
    assert!(notices(&mut fixture).is_empty());
}

/// Guards against two entries that start isolated jobs at one target at the same time, so that a crash
/// does not tell which of the two has caused it.
#[test]
fn an_isolated_target_runs_one_job_at_a_time() {
    let mut fixture = AgentFixture::new();
    fixture.agent.receive_isolation(fixture.now, &isolation());
    fixture.start(0, 1_000);
    fixture.start(1, 1_000);
    assert_eq!(fixture.take_starts().len(), 1);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
}

#[test]
fn isolation_ends_by_notice_or_when_notices_cease() {
    let mut fixture = AgentFixture::new();
    fixture.agent.receive_isolation(fixture.now, &isolation());
    fixture.agent.receive_isolation(fixture.now, &IsolationNotice::default());
    start_two_tasks(&mut fixture);
    fixture.agent.receive_isolation(fixture.now, &isolation());
    fixture.now += ISOLATION_NOTICE_LIFETIME;
    fixture.poll(&bulrushlatch_dispatch::agent::target::TargetStatus {
        running: vec![running(0, 1), running(1, 1)],
        ..Default::default()
    });
    fixture.start(2, 1_000);
    assert_eq!(fixture.take_starts().len(), 1);
    assert!(fixture.reported_outcomes().is_empty());
}

/// Guards against a task that makes its targets fall silent: the crash shows only when another
/// incarnation answers, long after the runs have ended.
#[test]
fn the_runs_of_a_silent_target_were_at_a_crash_if_another_one_returns() {
    let mut fixture = AgentFixture::new();
    start_two_tasks(&mut fixture);
    fixture.now += ms(2_000);
    fixture.agent.tick(fixture.now);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Lost, RunOutcome::Lost]);
    assert!(notices(&mut fixture).is_empty(), "it may only have been cut off");
    let other = PollError::OtherTarget;
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), other);
    let told = notices(&mut fixture);
    assert_eq!(told[0].crashes[0].runs.len(), 2);
}

/// Guards against blaming tasks for a target that was cut off for a while.
#[test]
fn the_runs_of_a_silent_target_were_at_no_crash_if_it_answers_again() {
    let mut fixture = AgentFixture::new();
    start_two_tasks(&mut fixture);
    fixture.now += ms(2_000);
    fixture.agent.tick(fixture.now);
    fixture.poll(&bulrushlatch_dispatch::agent::target::TargetStatus::default());
    crash(&mut fixture);
    assert!(notices(&mut fixture).is_empty());
}
