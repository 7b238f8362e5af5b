//! Starts, stops and polls that the target leaves unanswered.

use bulrushlatch_dispatch::{
    agent::target::{PollError, RunEnd, StartReply, TargetStatus},
    outcome::RunOutcome,
};

use super::fixture::*;

/// A start order without an answer may still be carried out. Guards against reporting the run as
/// ended too early.
#[test]
fn an_unanswered_start_is_over_only_after_an_answered_stop_and_a_later_poll() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    fixture.leave_starts_unanswered();
    let stops = fixture.take_stops();
    assert_eq!(stops.len(), 1);
    fixture.poll(&TargetStatus::default());
    assert!(fixture.reported_outcomes().is_empty(), "the order may still be carried out");
    fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
    fixture.now += ms(1);
    fixture.poll(&TargetStatus::default());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Stopped]);
}

/// Guards against a run that is never settled, and so ends the target's lease, because the answers to
/// repeated stops are all newer than the polls in progress.
#[test]
fn a_repeated_stop_does_not_delay_the_end_of_its_run() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    fixture.leave_starts_unanswered();
    let stops = fixture.take_stops();
    fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
    fixture.now += ms(1);
    let polled_at = fixture.now;
    fixture.now += ms(50);
    fixture.agent.tick(fixture.now);
    let stops = fixture.take_stops();
    fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
    let (target, empty) = ("target".to_owned(), TargetStatus::default());
    fixture.agent.handle_status(fixture.now, polled_at, &target, &empty);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Stopped]);
}

#[test]
fn an_unanswered_stop_is_sent_again() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    fixture.leave_starts_unanswered();
    assert_eq!(fixture.take_stops().len(), 1);
    fixture.now += ms(100);
    fixture.agent.tick(fixture.now);
    assert_eq!(fixture.take_stops().len(), 1);
}

/// The target starts one attempt at most once, so the same order may be sent again. Guards against
/// stopping a run whose start was only not confirmed.
#[test]
fn an_unanswered_start_is_sent_again_with_the_same_attempt() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let first = fixture.take_starts();
    fixture.reply_to_start(&first[0], &StartReply::NoAnswer);
    let second = fixture.take_starts();
    assert_eq!(second[0].attempt, first[0].attempt);
    fixture.reply_to_start(&second[0], &StartReply::Started);
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
}

#[test]
fn an_unanswered_start_is_not_sent_again_while_the_target_lists_the_run() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.poll(&TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() });
    fixture.reply_to_start(&starts[0], &StartReply::NoAnswer);
    assert!(fixture.agent.take_orders().is_empty());
}

/// Ends that a lost answer would have told are learned from the next poll.
#[test]
fn status_polls_are_short_while_answers_get_lost() {
    let mut fixture = AgentFixture::new();
    let usual = fixture.agent.poll_wait(fixture.now);
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), PollError::NoAnswer);
    assert!(fixture.agent.poll_wait(fixture.now) < usual / 4);
    fixture.now += ms(3_000);
    assert_eq!(fixture.agent.poll_wait(fixture.now), usual);
}

/// The unanswered order may be carried out after a later one was rejected. Guards against a second
/// run elsewhere, and against a higher attempt beside a run that has ended.
#[test]
fn a_rejected_start_that_was_unanswered_before_is_over_only_after_a_stop() {
    for reply in [
        StartReply::OldAttempt,
        StartReply::NoRoom,
        StartReply::Late,
        StartReply::Rejected,
        StartReply::Unhealthy,
        StartReply::Unsent,
    ] {
        let mut fixture = AgentFixture::new();
        fixture.start(0, 1_000);
        let first = fixture.take_starts();
        fixture.reply_to_start(&first[0], &StartReply::NoAnswer);
        let second = fixture.take_starts();
        fixture.reply_to_start(&second[0], &reply);
        assert!(fixture.reported_outcomes().is_empty(), "{reply:?}");
        let stops = fixture.take_stops();
        assert_eq!(stops.len(), 1, "{reply:?}");
        fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
        fixture.now += ms(1);
        fixture.poll(&TargetStatus {
            ended: vec![ended(1, 0, 1, RunEnd::Done)],
            ..TargetStatus::default()
        });
        assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done], "{reply:?}");
    }
}
