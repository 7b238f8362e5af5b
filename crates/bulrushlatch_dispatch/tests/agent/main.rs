//! Tests of single decisions of an agent.

mod fixture;

use bulrushlatch_dispatch::{
    agent::target::{Announcement, PollError, RunEnd, StartReply, TargetStatus},
    frame::{Action, StartOrder},
    outcome::{Obstacle, RunOutcome},
    size::Size,
    timing::Timing,
};

use self::fixture::*;

/// An entry may remember an agent for longer than the agent remembers the entry. It ignores reports
/// with numbers that it has already seen.
#[test]
fn report_numbers_continue_after_an_entry_was_forgotten() {
    let mut bench = Bench::new();
    let last_report = |bench: &mut Bench, index: u32| {
        bench.start(index, 9_000);
        assert_eq!(bench.reported_outcomes().len(), 1, "a task that is too large is refused");
        let reports = bench.frames.iter().flat_map(|frame| &frame.reports);
        reports.map(|report| report.number).next_back()
    };
    let before = last_report(&mut bench, 1);
    bench.agent.link_down(&entry(), 1);
    bench.now += timing().all_runs_ended_after() * 5;
    bench.agent.tick(bench.now);
    bench.agent.link_up(bench.now, entry(), 1);
    bench.poll(&TargetStatus::default());
    assert!(last_report(&mut bench, 2) > before);
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
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    assert!(bench.reported_outcomes().is_empty());
    bench.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Done]);
    bench.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert!(bench.reported_outcomes().is_empty(), "an end counts once");
}

#[test]
fn a_task_larger_than_the_free_capacity_is_not_started() {
    let mut bench = Bench::new();
    bench.start(0, 3_000);
    bench.start(1, 2_000);
    assert_eq!(bench.take_starts().len(), 1);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
}

#[test]
fn a_stopping_run_occupies_its_capacity_until_its_end_is_listed() {
    let mut bench = Bench::new();
    bench.start(0, 3_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.send_orders(vec![Action::Stop { task: task(0), order: 1, is_stuck: false }]);
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 1);
    bench.agent.handle_stop_reply(bench.now, &stops[0], 5_000);
    bench.start(1, 2_000);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::NoCapacity)]);
    bench.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Stopped)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Stopped]);
    bench.start(2, 2_000);
    assert_eq!(bench.take_starts().len(), 1);
}

#[test]
fn an_unanswered_start_is_over_only_after_an_answered_stop_and_a_later_poll() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::NoAnswer);
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 1);
    bench.poll(&TargetStatus::default());
    assert!(bench.reported_outcomes().is_empty(), "the order may still be carried out");
    bench.agent.handle_stop_reply(bench.now, &stops[0], 5_000);
    bench.now += ms(1);
    bench.poll(&TargetStatus::default());
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Stopped]);
}

#[test]
fn an_unanswered_stop_is_sent_again() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::NoAnswer);
    assert_eq!(bench.take_stops().len(), 1);
    bench.now += ms(100);
    bench.agent.tick(bench.now);
    assert_eq!(bench.take_stops().len(), 1);
}

#[test]
fn a_start_is_sent_again_with_a_higher_attempt_if_the_target_has_seen_its_attempt() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let first = bench.take_starts();
    bench.reply_to_start(&first[0], &StartReply::OldAttempt);
    let second = bench.take_starts();
    assert_eq!(second[0].attempt, 2);
    bench.reply_to_start(&second[0], &StartReply::Started);
    bench.poll(&TargetStatus {
        ended: vec![ended(1, 0, 2, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Done]);
}

#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.now += timing().contact_limit + ms(5);
    bench.agent.tick(bench.now);
    assert_eq!(bench.take_stops().len(), 1);
}

#[test]
fn the_lease_is_not_renewed_while_an_overdue_stop_is_unconfirmed() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.now += timing().contact_limit + ms(10);
    assert!(bench.agent.prepare_renewal(bench.now).is_some(), "the stop has some time to work");
    bench.now += timing().stop_grace;
    assert_eq!(bench.agent.prepare_renewal(bench.now), None);
}

#[test]
fn an_agent_resumed_from_a_suspension_stops_orphaned_runs_and_renews_no_lease() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.now += ms(600);
    assert_eq!(bench.agent.prepare_renewal(bench.now), None);
    assert_eq!(bench.take_stops().len(), 1);
}

#[test]
fn an_order_with_an_old_stamp_starts_nothing() {
    let mut bench = Bench::new();
    let old = bench.now;
    bench.now += timing().contact_limit + ms(50);
    bench.poll(&TargetStatus::default());
    let start = StartOrder {
        task: task(0),
        attempt: 1,
        payload: "payload".into(),
        size: Size { cpu_millis: 1, memory_mb: 1, accelerators: 0 },
        has_failed: false,
    };
    bench.send_orders_stamped(old, vec![Action::Start(start)]);
    assert!(bench.take_starts().is_empty());
    assert_eq!(bench.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::StaleOrder)]);
}

#[test]
fn orders_on_a_replaced_link_are_ignored() {
    let mut bench = Bench::new();
    bench.agent.link_up(bench.now, entry(), 2);
    bench.start(0, 1_000);
    assert!(bench.take_starts().is_empty());
    assert!(bench.reported_outcomes().is_empty());
}

#[test]
fn an_unknown_run_at_the_target_is_stopped() {
    let mut bench = Bench::new();
    bench.poll(&TargetStatus { running: vec![running(9, 4)], ..TargetStatus::default() });
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].attempt, 4);
}

#[test]
fn runs_are_lost_when_the_target_is_not_running() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.agent.handle_poll_error(bench.now, &"target".to_owned(), PollError::Absent);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Lost]);
}

#[test]
fn runs_at_a_silent_target_are_lost_only_after_its_lease() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    let renewed_at = bench.now;
    bench.agent.prepare_renewal(bench.now);
    while bench.now < renewed_at + timing().longest_lease() {
        bench.send_orders(Vec::new());
        bench.agent.tick(bench.now);
        assert!(bench.reported_outcomes().is_empty());
    }
    bench.now += ms(10);
    bench.send_orders(Vec::new());
    bench.agent.tick(bench.now);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Lost]);
}

#[test]
fn a_late_announcement_of_a_past_target_is_ignored() {
    let mut bench = Bench::new();
    bench.agent.handle_departure(bench.now, &"target".to_owned());
    bench.agent.handle_announcement(announcement("next", 1));
    bench.agent.handle_announcement(announcement("target", 9));
    assert_eq!(bench.agent.target_id(), Some(&"next".to_owned()));
}

#[test]
fn a_leaving_target_gets_no_new_tasks_and_finishes_its_runs() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    let leaving = Announcement { is_leaving: true, ..announcement("target", 2) };
    bench.agent.handle_announcement(leaving);
    bench.start(1, 1_000);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert!(bench.take_stops().is_empty());
    bench.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.reported_outcomes(), [RunOutcome::Done]);
}

#[test]
fn an_agent_that_shuts_down_refuses_new_tasks_and_finishes_its_runs() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.agent.begin_shutdown();
    bench.start(1, 1_000);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert!(bench.take_stops().is_empty());
    assert!(!bench.agent.is_idle());
    bench.poll(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert!(bench.agent.is_idle());
}

#[test]
fn a_target_that_fails_every_task_is_ejected_and_tried_again() {
    let mut bench = Bench::new();
    for index in 0..2 {
        bench.start(index, 1_000);
        let starts = bench.take_starts();
        bench.reply_to_start(&starts[0], &StartReply::Started);
        let end = ended(u64::from(index) + 1, index, 1, RunEnd::Failed);
        bench.poll(&TargetStatus { ended: vec![end], ..TargetStatus::default() });
    }
    bench.reported_outcomes();
    assert!(!bench.frames.last().expect("a frame was sent").offer.accepts);
    bench.now += ms(600);
    bench.poll(&TargetStatus::default());
    bench.send_orders(Vec::new());
    bench.reported_outcomes();
    assert!(bench.frames.last().expect("a frame was sent").offer.accepts);
}

#[test]
fn one_job_that_keeps_failing_does_not_eject_the_target() {
    let mut bench = Bench::new();
    for attempt in 1..=5 {
        bench.start(0, 1_000);
        let starts = bench.take_starts();
        bench.reply_to_start(&starts[0], &StartReply::Started);
        let end = ended(attempt, 0, 1, RunEnd::Failed);
        bench.poll(&TargetStatus { ended: vec![end], ..TargetStatus::default() });
        bench.reported_outcomes();
    }
    assert!(bench.frames.last().expect("a frame was sent").offer.accepts);
}

#[test]
fn nothing_is_started_while_unknown_runs_are_at_the_target() {
    let mut bench = Bench::new();
    bench.poll(&TargetStatus { running: vec![running(9, 4)], ..TargetStatus::default() });
    bench.start(0, 1_000);
    assert_eq!(bench.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    bench.poll(&TargetStatus::default());
    bench.start(1, 1_000);
    assert_eq!(bench.take_starts().len(), 1);
}

#[test]
fn an_announcement_of_another_target_does_not_end_the_runs_of_a_silent_target() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.take_starts();
    bench.reply_to_start(&starts[0], &StartReply::Started);
    bench.agent.prepare_renewal(bench.now);
    bench.now += timing().contact_limit + ms(10);
    bench.send_orders(Vec::new());
    // It may be a late announcement of an incarnation that ended before the agent started.
    bench.agent.handle_announcement(announcement("other", 1));
    assert_eq!(bench.agent.target_id(), Some(&"target".to_owned()));
    assert!(bench.reported_outcomes().is_empty());
}

#[test]
fn an_announced_target_is_adopted_once_the_present_one_is_over() {
    let mut bench = Bench::new();
    bench.agent.handle_announcement(announcement("next", 1));
    assert_eq!(bench.agent.target_id(), Some(&"target".to_owned()));
    bench.agent.handle_poll_error(bench.now, &"target".to_owned(), PollError::OtherTarget);
    assert_eq!(bench.agent.target_id(), Some(&"next".to_owned()));
}
