//! A target whose capacity changes while it runs.

use bulrushlatch_dispatch::{
    agent::target::StartReply,
    outcome::{Obstacle, RunOutcome},
    size::Size,
};

use super::fixture::*;

/// Delivers an announcement of the target with the given CPU.
fn announce(fixture: &mut AgentFixture, sequence: u64, cpu_millis: u64) {
    let mut changed = announcement("target", sequence);
    changed.capacity = Size { cpu_millis, ..changed.capacity };
    fixture.agent.handle_announcement(changed);
}

fn last_profile_cpu_millis(fixture: &mut AgentFixture) -> Option<u64> {
    fixture.frames.clear();
    fixture.reported_outcomes();
    let profiles = fixture.frames.iter().filter_map(|frame| frame.profile.as_ref());
    profiles.map(|profile| profile.total.cpu_millis).next_back()
}

#[test]
fn a_shrunk_target_gets_no_start_beyond_its_capacity() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 2_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    announce(&mut fixture, 2, 2_500);
    fixture.start(1, 1_000);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
    announce(&mut fixture, 3, 4_000);
    fixture.start(2, 1_000);
    assert_eq!(fixture.take_starts().len(), 1, "it has grown again");
}

/// Guards against a start that was accepted before the target shrank and is sent afterwards.
#[test]
fn a_start_that_no_longer_fits_when_it_is_sent_is_refused() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 3_000);
    announce(&mut fixture, 2, 2_500);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
}

/// Guards against a start that is sent again, for lack of an answer, after the target has shrunk. The
/// first order may have been carried out, so the run is stopped and not reported as not started.
#[test]
fn an_unanswered_start_that_no_longer_fits_is_stopped_and_not_sent_again() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 3_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::NoAnswer);
    announce(&mut fixture, 2, 2_500);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.take_stops().len(), 1);
    assert!(fixture.reported_outcomes().is_empty(), "it may run");
}

/// Guards against entries that go on placing tasks by the capacity that a target once had.
#[test]
fn entries_learn_of_a_changed_capacity() {
    let mut fixture = AgentFixture::new();
    assert_eq!(last_profile_cpu_millis(&mut fixture), Some(4_000));
    announce(&mut fixture, 2, 2_500);
    assert_eq!(last_profile_cpu_millis(&mut fixture), Some(2_500));
    announce(&mut fixture, 3, 2_500);
    assert_eq!(last_profile_cpu_millis(&mut fixture), None, "nothing has changed");
    announce(&mut fixture, 4, 4_000);
    assert_eq!(last_profile_cpu_millis(&mut fixture), Some(4_000));
}

/// Guards against a delayed announcement that brings back a capacity from before the target shrank.
#[test]
fn a_delayed_announcement_does_not_restore_the_capacity() {
    let mut fixture = AgentFixture::new();
    announce(&mut fixture, 5, 1_000);
    announce(&mut fixture, 4, 4_000);
    fixture.start(0, 2_000);
    assert!(fixture.take_starts().is_empty());
}

#[test]
fn a_target_without_capacity_gets_nothing_and_keeps_its_runs() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 2_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    announce(&mut fixture, 2, 0);
    fixture.start(1, 1);
    assert!(fixture.take_starts().is_empty());
    assert!(fixture.take_stops().is_empty());
}
