//! Start orders for a target whose zone is cordoned.

use std::collections::BTreeSet;

use bulrushlatch_dispatch::{
    agent::{
        TargetOrder,
        target::{RunEnd, StartReply, TargetStatus},
    },
    cordon::Cordons,
    frame::Action,
    outcome::{Obstacle, RunOutcome},
};

use super::fixture::{AgentFixture, MIN_FRAME_INTERVAL, ended, running, task};

fn set_cordons(fixture: &mut AgentFixture, offset: u64, zones: &[&str]) {
    let zones: BTreeSet<String> = zones.iter().map(|&zone| zone.to_owned()).collect();
    fixture.agent.update_cordons("test", |own| own.adopt(Cordons { offset, zones }));
}

/// An entry that does not know of the cordon still sends orders.
#[test]
fn start_is_refused_while_the_zone_is_cordoned() {
    let mut fixture = AgentFixture::new();
    set_cordons(&mut fixture, 5, &["a", "b"]);
    fixture.start(0, 1_000);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert_eq!(fixture.frames.last().map(|frame| frame.offer.accepts), Some(false));
    set_cordons(&mut fixture, 6, &["b"]);
    fixture.start(1, 1_000);
    assert_eq!(fixture.take_starts().len(), 1);
}

#[test]
fn outdated_state_does_not_lift_a_cordon() {
    let mut fixture = AgentFixture::new();
    set_cordons(&mut fixture, 5, &["a"]);
    set_cordons(&mut fixture, 4, &[]);
    fixture.start(0, 1_000);
    assert!(fixture.take_starts().is_empty());
}

/// The order was accepted, but not sent to the target before the cordon became known.
#[test]
fn accepted_start_is_not_sent_once_the_zone_is_cordoned() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    set_cordons(&mut fixture, 5, &["a"]);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
}

#[test]
fn run_ends_by_itself_in_a_cordoned_zone() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    set_cordons(&mut fixture, 5, &["a"]);
    let status = TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() };
    fixture.poll(&status);
    assert!(fixture.take_stops().is_empty());
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
}

/// The target may have carried out an order whose answer was lost: "not started" would be untrue.
#[test]
fn unanswered_start_is_stopped_and_not_reported_as_not_started() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::NoAnswer);
    set_cordons(&mut fixture, 5, &["a"]);
    let orders = fixture.agent.take_orders();
    assert_eq!(orders, [TargetOrder::Start(task(0))], "the order would be sent again");
    assert!(fixture.agent.prepare_start(fixture.now, &task(0)).is_none());
    assert!(fixture.reported_outcomes().is_empty());
    assert_eq!(fixture.take_stops().len(), 1);
}

/// A stop order arrives between an unanswered start and its repetition.
#[test]
fn unanswered_start_that_is_being_stopped_is_not_reported_as_not_started() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::NoAnswer);
    let orders = fixture.agent.take_orders();
    assert_eq!(orders, [TargetOrder::Start(task(0))]);
    fixture.send_orders(vec![Action::Stop { task: task(0), order: 1, is_stuck: false }]);
    assert!(fixture.agent.prepare_start(fixture.now, &task(0)).is_none());
    assert!(fixture.reported_outcomes().is_empty());
    assert!(!fixture.agent.is_idle(), "the run occupies its capacity until it is known to be over");
}

/// Entries learn of a cordon from `accepts` even if they cannot decode it.
#[test]
fn change_of_a_cordon_is_sent_to_entries_at_once() {
    let mut fixture = AgentFixture::new();
    fixture.agent.frames(fixture.now, MIN_FRAME_INTERVAL);
    set_cordons(&mut fixture, 5, &["a"]);
    let frames = fixture.agent.frames(fixture.now, MIN_FRAME_INTERVAL);
    assert_eq!(frames.iter().map(|(_, frame)| frame.offer.accepts).collect::<Vec<_>>(), [false]);
}
