//! Tests of single decisions of an agent.

mod capacity;
mod cordon;
mod crashes;
mod demand;
mod fixture;
mod heartbeats;
mod lease;
mod restarted_target;
mod start_queue;
mod unanswered;

use bulrushlatch_dispatch::{
    agent::target::{Announcement, PollError, RunEnd, StartReply, TargetStatus},
    frame::{Action, NEWEST_FRAME_VERSION, StartOrder},
    outcome::{Obstacle, RunOutcome},
    size::Size,
    timing::Timing,
};

use self::fixture::*;

/// An entry may remember an agent for longer than the agent remembers the entry. It ignores reports
/// with numbers that it has already seen.
#[test]
fn report_numbers_continue_after_an_entry_was_forgotten() {
    let mut fixture = AgentFixture::new();
    let last_report = |fixture: &mut AgentFixture, index: u32| {
        fixture.start(index, 9_000);
        assert_eq!(fixture.reported_outcomes().len(), 1, "a task that is too large is refused");
        let reports = fixture.frames.iter().flat_map(|frame| &frame.reports);
        reports.map(|report| report.number).next_back()
    };
    let before = last_report(&mut fixture, 1);
    fixture.agent.link_down(&entry(), 1);
    fixture.now += timing().all_runs_ended_after() * 5;
    fixture.agent.tick(fixture.now);
    fixture.agent.link_up(fixture.now, entry(), 1, NEWEST_FRAME_VERSION);
    fixture.poll(&TargetStatus::default());
    assert!(last_report(&mut fixture, 2) > before);
}

#[test]
fn time_bounds_are_safe_only_if_they_add_up_within_resend_after() {
    assert!(timing().is_safe());
    assert!(timing().all_runs_ended_after() <= ms(1300));
    assert!(!Timing { lease: ms(1000), ..timing() }.is_safe());
    assert!(!Timing { contact_limit: ms(600), ..timing() }.is_safe());
    assert!(!Timing { stop_grace: ms(500), ..timing() }.is_safe());
}

#[test]
fn a_run_is_reported_once_it_has_ended() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    assert!(fixture.reported_outcomes().is_empty());
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert!(fixture.reported_outcomes().is_empty(), "an end counts once");
}

#[test]
fn a_task_larger_than_the_free_capacity_is_not_started() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 3_000);
    fixture.start(1, 2_000);
    assert_eq!(fixture.take_starts().len(), 1);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
}

#[test]
fn a_stopping_run_occupies_its_capacity_until_its_end_is_listed() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 3_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.send_orders(vec![Action::Stop { task: task(0), order: 1, is_stuck: false }]);
    let stops = fixture.take_stops();
    assert_eq!(stops.len(), 1);
    fixture.agent.handle_stop_reply(fixture.now, &stops[0], 5_000);
    fixture.start(1, 2_000);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Stopped)],
        ..TargetStatus::default()
    });
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Stopped]);
    fixture.start(2, 2_000);
    assert_eq!(fixture.take_starts().len(), 1);
}

#[test]
fn a_start_is_sent_again_with_a_higher_attempt_if_the_target_has_seen_its_attempt() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let first = fixture.take_starts();
    fixture.reply_to_start(&first[0], &StartReply::OldAttempt);
    let second = fixture.take_starts();
    assert_eq!(second[0].attempt, 2);
    fixture.reply_to_start(&second[0], &StartReply::Started);
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 2, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
}

#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.now += timing().contact_limit + ms(5);
    fixture.agent.tick(fixture.now);
    assert_eq!(fixture.take_stops().len(), 1);
}

#[test]
fn an_order_with_an_old_stamp_starts_nothing() {
    let mut fixture = AgentFixture::new();
    let old = fixture.now;
    fixture.now += timing().contact_limit + ms(50);
    fixture.poll(&TargetStatus::default());
    let start = StartOrder {
        task: task(0),
        attempt: 1,
        payload: "payload".into(),
        size: Size { cpu_millis: 1, memory_mb: 1, accelerators: 0 },
        has_failed: false,
    };
    fixture.send_orders_stamped(old, vec![Action::Start(start)]);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::StaleOrder)]);
}

#[test]
fn orders_on_a_replaced_link_are_ignored() {
    let mut fixture = AgentFixture::new();
    fixture.agent.link_up(fixture.now, entry(), 2, NEWEST_FRAME_VERSION);
    fixture.start(0, 1_000);
    assert!(fixture.take_starts().is_empty());
    assert!(fixture.reported_outcomes().is_empty());
}

#[test]
fn runs_are_lost_when_the_target_is_not_running() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), PollError::Absent);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Lost]);
}

#[test]
fn runs_at_a_silent_target_are_lost_only_after_its_lease() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    let renewed_at = fixture.now;
    fixture.agent.prepare_renewal(fixture.now);
    while fixture.now < renewed_at + timing().max_lease_on_agent_clock() {
        fixture.send_orders(Vec::new());
        fixture.agent.tick(fixture.now);
        assert!(fixture.reported_outcomes().is_empty());
    }
    fixture.now += ms(10);
    fixture.send_orders(Vec::new());
    fixture.agent.tick(fixture.now);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Lost]);
}

#[test]
fn a_late_announcement_of_a_past_target_is_ignored() {
    let mut fixture = AgentFixture::new();
    fixture.agent.handle_departure(fixture.now, &"target".to_owned());
    fixture.agent.handle_announcement(announcement("next", 1));
    fixture.agent.handle_announcement(announcement("target", 9));
    assert_eq!(fixture.agent.target_id(), Some(&"next".to_owned()));
}

#[test]
fn a_leaving_target_gets_no_new_tasks_and_finishes_its_runs() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    let leaving = Announcement { is_leaving: true, ..announcement("target", 2) };
    fixture.agent.handle_announcement(leaving);
    fixture.start(1, 1_000);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert!(fixture.take_stops().is_empty());
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
}

#[test]
fn an_agent_that_shuts_down_refuses_new_tasks_and_finishes_its_runs() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.agent.begin_shutdown();
    fixture.start(1, 1_000);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert!(fixture.take_stops().is_empty());
    assert!(!fixture.agent.is_idle());
    fixture.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert!(fixture.agent.is_idle());
}

#[test]
fn a_target_that_fails_every_task_is_ejected_and_tried_again() {
    let mut fixture = AgentFixture::new();
    for index in 0..2 {
        fixture.start(index, 1_000);
        let starts = fixture.take_starts();
        fixture.reply_to_start(&starts[0], &StartReply::Started);
        let end = ended(u64::from(index) + 1, index, 1, RunEnd::Failed);
        fixture.poll(&TargetStatus { ended: vec![end], ..TargetStatus::default() });
    }
    fixture.reported_outcomes();
    assert!(!fixture.frames.last().expect("a frame was sent").offer.accepts);
    fixture.now += ms(600);
    fixture.poll(&TargetStatus::default());
    fixture.send_orders(Vec::new());
    fixture.reported_outcomes();
    assert!(fixture.frames.last().expect("a frame was sent").offer.accepts);
}

#[test]
fn one_job_that_keeps_failing_does_not_eject_the_target() {
    let mut fixture = AgentFixture::new();
    for attempt in 1..=5 {
        fixture.start(0, 1_000);
        let starts = fixture.take_starts();
        fixture.reply_to_start(&starts[0], &StartReply::Started);
        let end = ended(attempt, 0, 1, RunEnd::Failed);
        fixture.poll(&TargetStatus { ended: vec![end], ..TargetStatus::default() });
        fixture.reported_outcomes();
    }
    assert!(fixture.frames.last().expect("a frame was sent").offer.accepts);
}

#[test]
fn an_announcement_of_another_target_does_not_end_the_runs_of_a_silent_target() {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture.agent.prepare_renewal(fixture.now);
    fixture.now += timing().contact_limit + ms(10);
    fixture.send_orders(Vec::new());
    // It may be a late announcement of an incarnation that ended before the agent started.
    fixture.agent.handle_announcement(announcement("other", 1));
    assert_eq!(fixture.agent.target_id(), Some(&"target".to_owned()));
    assert!(fixture.reported_outcomes().is_empty());
}

#[test]
fn an_announced_target_is_adopted_once_the_present_one_is_over() {
    let mut fixture = AgentFixture::new();
    fixture.agent.handle_announcement(announcement("next", 1));
    assert_eq!(fixture.agent.target_id(), Some(&"target".to_owned()));
    fixture.agent.handle_poll_error(fixture.now, &"target".to_owned(), PollError::OtherTarget);
    assert_eq!(fixture.agent.target_id(), Some(&"next".to_owned()));
}
