//! A target that restarts and obeys orders for its earlier incarnation.

use bulrushlatch_dispatch::{
    agent::target::{PollError, RunEnd, StartReply, TargetStatus},
    outcome::RunOutcome,
};

use super::fixture::{AgentFixture, announcement, ended, ms, running, timing};

/// Starts two tasks: the first is listed by the target; the second is confirmed by whichever
/// incarnation is running, after the last poll that the first incarnation answered.
fn fixture_with_a_settled_and_an_unsettled_run() -> AgentFixture {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.now += ms(5);
    fixture.poll(&TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() });
    fixture.start(1, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), PollError::Restarted);
    fixture
}

fn poll_next(fixture: &mut AgentFixture, status: &TargetStatus) {
    let polled_at = fixture.now;
    fixture.now += ms(1);
    fixture.agent.handle_status(fixture.now, polled_at, &"target@2".to_owned(), status);
}

#[test]
fn only_runs_that_ended_with_the_target_are_lost() {
    let mut fixture = fixture_with_a_settled_and_an_unsettled_run();
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Lost], "the run that was listed");
    assert!(!fixture.agent.is_idle());
}

/// Its number is low, since the numbers of ended runs start anew.
#[test]
fn run_at_the_next_incarnation_ends_as_usual() {
    let mut fixture = fixture_with_a_settled_and_an_unsettled_run();
    fixture.reported_outcomes();
    fixture.agent.handle_announcement(announcement("target@2", 1));
    let listed = TargetStatus { running: vec![running(1, 1)], ..TargetStatus::default() };
    poll_next(&mut fixture, &listed);
    assert!(fixture.take_stops().is_empty());
    let done = TargetStatus { ended: vec![ended(1, 1, 1, RunEnd::Done)], ..listed };
    poll_next(&mut fixture, &done);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
}

/// Guards against a run that counts as over because the earlier incarnation answered its stop, while the
/// next one may still carry out its start.
#[test]
fn a_stop_answered_by_the_earlier_incarnation_does_not_settle_a_run_at_the_next() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    fixture.leave_starts_unanswered();
    let stops = fixture.take_stops();
    fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), PollError::Restarted);
    fixture.agent.handle_announcement(announcement("target@2", 1));
    fixture.now += ms(1);
    poll_next(&mut fixture, &TargetStatus::default());
    assert!(fixture.reported_outcomes().is_empty());
}

#[test]
fn unsettled_run_is_lost_once_its_lease_has_expired() {
    let mut fixture = fixture_with_a_settled_and_an_unsettled_run();
    fixture.reported_outcomes();
    fixture.now += timing().max_granted_lease_on_agent_clock() - ms(20);
    fixture.send_orders(Vec::new());
    fixture.agent.tick(fixture.now);
    assert!(fixture.reported_outcomes().is_empty());
    fixture.now += ms(50);
    fixture.send_orders(Vec::new());
    fixture.agent.tick(fixture.now);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Lost]);
}

/// The next incarnation may still carry out the start while its lease is renewed.
#[test]
fn unsettled_run_that_is_never_listed_is_stopped_at_the_next_incarnation() {
    let mut fixture = fixture_with_a_settled_and_an_unsettled_run();
    fixture.reported_outcomes();
    fixture.agent.handle_announcement(announcement("target@2", 1));
    fixture.agent.tick(fixture.now);
    assert!(fixture.reported_outcomes().is_empty(), "before the first poll");
    fixture.now += timing().max_granted_lease_on_agent_clock();
    fixture.send_orders(Vec::new());
    poll_next(&mut fixture, &TargetStatus::default());
    fixture.now += ms(50);
    fixture.agent.tick(fixture.now);
    assert!(fixture.reported_outcomes().is_empty(), "before the stop is settled");
    let stops = fixture.take_stops();
    assert_eq!(stops.len(), 1);
    fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
    fixture.now += ms(1);
    poll_next(&mut fixture, &TargetStatus::default());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Stopped]);
}
