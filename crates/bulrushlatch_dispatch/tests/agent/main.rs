//! Single decisions of an agent.

mod bench;

use bulrushlatch_dispatch::{
    agent::target::{Announcement, PollError, RunEnd, StartReply, TargetStatus},
    frame::{Action, StartOrder},
    outcome::{Obstacle, RunOutcome},
    size::Size,
    timing::Timing,
};

use self::bench::*;

/// The entry may remember this agent for longer than the agent remembers the entry.
#[test]
fn reports_to_an_entry_that_was_forgotten_are_numbered_on() {
    let mut bench = Bench::new();
    let last_report = |bench: &mut Bench, index: u32| {
        bench.start(index, 9_000);
        assert_eq!(bench.outcomes().len(), 1, "a task that is too large is refused");
        let reports = bench.frames.iter().flat_map(|frame| &frame.reports);
        reports.map(|report| report.number).next_back()
    };
    let before = last_report(&mut bench, 1);
    bench.agent.link_down(&entry(), 1);
    bench.now += timing().all_runs_ended_after() * 5;
    bench.agent.tick(bench.now);
    bench.agent.link_up(bench.now, entry(), 1);
    bench.look(&TargetStatus::default());
    assert!(last_report(&mut bench, 2) > before);
}

#[test]
fn the_time_bounds_hold_together() {
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
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    assert!(bench.outcomes().is_empty());
    bench.look(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.outcomes(), [RunOutcome::Done]);
    bench.look(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert!(bench.outcomes().is_empty(), "an end counts once");
}

#[test]
fn what_does_not_fit_is_not_started() {
    let mut bench = Bench::new();
    bench.start(0, 3_000);
    bench.start(1, 2_000);
    assert_eq!(bench.begun().len(), 1);
    assert_eq!(bench.outcomes(), [RunOutcome::NotStarted(Obstacle::NoRoom)]);
}

#[test]
fn a_run_being_stopped_takes_its_room_until_its_end_is_listed() {
    let mut bench = Bench::new();
    bench.start(0, 3_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.say(vec![Action::Stop { task: task(0), order: 1, is_stuck: false }]);
    let stops = bench.stops();
    assert_eq!(stops.len(), 1);
    bench.agent.handle_stop_reply(bench.now, &stops[0], 5_000);
    bench.start(1, 2_000);
    assert_eq!(bench.outcomes(), [RunOutcome::NotStarted(Obstacle::NoRoom)]);
    bench.look(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Stopped)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.outcomes(), [RunOutcome::Stopped]);
    bench.start(2, 2_000);
    assert_eq!(bench.begun().len(), 1);
}

#[test]
fn an_unanswered_start_is_settled_only_by_an_answered_stop_and_a_later_look() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::NoAnswer);
    let stops = bench.stops();
    assert_eq!(stops.len(), 1);
    bench.look(&TargetStatus::default());
    assert!(bench.outcomes().is_empty(), "the order may still be carried out");
    bench.agent.handle_stop_reply(bench.now, &stops[0], 5_000);
    bench.now += ms(1);
    bench.look(&TargetStatus::default());
    assert_eq!(bench.outcomes(), [RunOutcome::Stopped]);
}

#[test]
fn a_stop_without_an_answer_is_sent_again() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::NoAnswer);
    assert_eq!(bench.stops().len(), 1);
    bench.now += ms(100);
    bench.agent.tick(bench.now);
    assert_eq!(bench.stops().len(), 1);
}

#[test]
fn a_higher_attempt_follows_one_that_the_target_has_seen() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let first = bench.begun();
    bench.started(&first[0], &StartReply::OldAttempt);
    let second = bench.begun();
    assert_eq!(second[0].attempt, 2);
    bench.started(&second[0], &StartReply::Started);
    bench.look(&TargetStatus {
        ended: vec![ended(1, 0, 2, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.outcomes(), [RunOutcome::Done]);
}

#[test]
fn runs_of_a_silent_entry_are_stopped() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.now += timing().contact_limit + ms(5);
    bench.agent.tick(bench.now);
    assert_eq!(bench.stops().len(), 1);
}

#[test]
fn the_lease_is_not_renewed_while_an_overdue_stop_is_not_confirmed() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.now += timing().contact_limit + ms(10);
    assert!(bench.agent.prepare_renewal(bench.now).is_some(), "the stop has some time to work");
    bench.now += timing().stop_grace;
    assert_eq!(bench.agent.prepare_renewal(bench.now), None);
}

#[test]
fn an_agent_that_wakes_from_a_suspension_stops_before_it_renews() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.now += ms(600);
    assert_eq!(bench.agent.prepare_renewal(bench.now), None);
    assert_eq!(bench.stops().len(), 1);
}

#[test]
fn an_order_with_an_old_stamp_starts_nothing() {
    let mut bench = Bench::new();
    let old = bench.now;
    bench.now += timing().contact_limit + ms(50);
    bench.look(&TargetStatus::default());
    let start = StartOrder {
        task: task(0),
        attempt: 1,
        payload: "payload".into(),
        size: Size { cpu_millis: 1, memory_mb: 1, accelerators: 0 },
        has_failed: false,
    };
    bench.say_at(old, vec![Action::Start(start)]);
    assert!(bench.begun().is_empty());
    assert_eq!(bench.outcomes(), [RunOutcome::NotStarted(Obstacle::StaleOrder)]);
}

#[test]
fn orders_on_a_replaced_link_are_ignored() {
    let mut bench = Bench::new();
    bench.agent.link_up(bench.now, entry(), 2);
    bench.start(0, 1_000);
    assert!(bench.begun().is_empty());
    assert!(bench.outcomes().is_empty());
}

#[test]
fn an_unknown_run_at_the_target_is_stopped() {
    let mut bench = Bench::new();
    bench.look(&TargetStatus { running: vec![running(9, 4)], ..TargetStatus::default() });
    let stops = bench.stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].attempt, 4);
}

#[test]
fn runs_end_with_the_life_of_the_target() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.agent.handle_poll_error(bench.now, &"target".to_owned(), PollError::Absent);
    assert_eq!(bench.outcomes(), [RunOutcome::Lost]);
}

#[test]
fn runs_at_a_silent_target_are_lost_only_after_its_lease() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    let renewed_at = bench.now;
    bench.agent.prepare_renewal(bench.now);
    while bench.now < renewed_at + timing().longest_lease() {
        bench.say(Vec::new());
        bench.agent.tick(bench.now);
        assert!(bench.outcomes().is_empty());
    }
    bench.now += ms(10);
    bench.say(Vec::new());
    bench.agent.tick(bench.now);
    assert_eq!(bench.outcomes(), [RunOutcome::Lost]);
}

#[test]
fn a_late_announcement_of_a_past_target_changes_nothing() {
    let mut bench = Bench::new();
    bench.agent.handle_departure(bench.now, &"target".to_owned());
    bench.agent.handle_announcement(announcement("next", 1));
    bench.agent.handle_announcement(announcement("target", 9));
    assert_eq!(bench.agent.target_id(), Some(&"next".to_owned()));
}

#[test]
fn a_leaving_target_gets_no_new_work_and_finishes_what_it_has() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    let leaving = Announcement { is_leaving: true, ..announcement("target", 2) };
    bench.agent.handle_announcement(leaving);
    bench.start(1, 1_000);
    assert_eq!(bench.outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert!(bench.stops().is_empty());
    bench.look(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert_eq!(bench.outcomes(), [RunOutcome::Done]);
}

#[test]
fn an_agent_that_shuts_down_takes_nothing_new_and_finishes_what_it_has() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.agent.begin_shutdown();
    bench.start(1, 1_000);
    assert_eq!(bench.outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    assert!(bench.stops().is_empty());
    assert!(!bench.agent.is_idle());
    bench.look(&TargetStatus {
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
        ..TargetStatus::default()
    });
    assert!(bench.agent.is_idle());
}

#[test]
fn a_target_that_fails_every_task_is_suspended_and_tried_again() {
    let mut bench = Bench::new();
    for index in 0..2 {
        bench.start(index, 1_000);
        let starts = bench.begun();
        bench.started(&starts[0], &StartReply::Started);
        let end = ended(u64::from(index) + 1, index, 1, RunEnd::Failed);
        bench.look(&TargetStatus { ended: vec![end], ..TargetStatus::default() });
    }
    bench.outcomes();
    assert!(!bench.frames.last().expect("a frame was sent").offer.accepts);
    bench.now += ms(600);
    bench.look(&TargetStatus::default());
    bench.say(Vec::new());
    bench.outcomes();
    assert!(bench.frames.last().expect("a frame was sent").offer.accepts);
}

#[test]
fn one_job_that_fails_again_and_again_does_not_suspend_the_target() {
    let mut bench = Bench::new();
    for attempt in 1..=5 {
        bench.start(0, 1_000);
        let starts = bench.begun();
        bench.started(&starts[0], &StartReply::Started);
        let end = ended(attempt, 0, 1, RunEnd::Failed);
        bench.look(&TargetStatus { ended: vec![end], ..TargetStatus::default() });
        bench.outcomes();
    }
    assert!(bench.frames.last().expect("a frame was sent").offer.accepts);
}

#[test]
fn nothing_is_started_beside_runs_of_unknown_size() {
    let mut bench = Bench::new();
    bench.look(&TargetStatus { running: vec![running(9, 4)], ..TargetStatus::default() });
    bench.start(0, 1_000);
    assert_eq!(bench.outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    bench.look(&TargetStatus::default());
    bench.start(1, 1_000);
    assert_eq!(bench.begun().len(), 1);
}

#[test]
fn an_unknown_announcement_does_not_end_the_runs_of_a_silent_target() {
    let mut bench = Bench::new();
    bench.start(0, 1_000);
    let starts = bench.begun();
    bench.started(&starts[0], &StartReply::Started);
    bench.agent.prepare_renewal(bench.now);
    bench.now += timing().contact_limit + ms(10);
    bench.say(Vec::new());
    // It may be late word of a life that ended before this process began.
    bench.agent.handle_announcement(announcement("other", 1));
    assert_eq!(bench.agent.target_id(), Some(&"target".to_owned()));
    assert!(bench.outcomes().is_empty());
}

#[test]
fn a_target_that_announced_itself_takes_over_once_the_former_is_over() {
    let mut bench = Bench::new();
    bench.agent.handle_announcement(announcement("next", 1));
    assert_eq!(bench.agent.target_id(), Some(&"target".to_owned()));
    bench.agent.handle_poll_error(bench.now, &"target".to_owned(), PollError::OtherTarget);
    assert_eq!(bench.agent.target_id(), Some(&"next".to_owned()));
}
