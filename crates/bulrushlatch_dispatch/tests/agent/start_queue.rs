//! Start orders that wait at the agent until a run ends.

use bulrushlatch_dispatch::{
    agent::target::{RunEnd, StartReply, TargetStatus},
    frame::Action,
    outcome::{Obstacle, RunOutcome},
};

use super::fixture::{AgentFixture, announcement, ended, ms, running, task};

/// CPU of each task: a quarter of the target's.
const TASK_CPU_MILLIS: u64 = 1_000;
const MAX_WAIT_MS: u64 = 20;

/// Returns a fixture whose target runs the tasks 0 to 3, while the order for task 4 waits.
fn full_target() -> AgentFixture {
    let mut fixture = AgentFixture::new();
    fixture.agent.set_max_start_wait(ms(MAX_WAIT_MS));
    for index in 0..5 {
        fixture.start(index, TASK_CPU_MILLIS);
    }
    for start in fixture.take_starts() {
        fixture.reply_to_start(&start, &StartReply::Started);
    }
    assert_eq!(fixture.agent.counters().queued_starts, 1);
    fixture
}

/// Delivers a status in which task 0 has ended and the others of [`full_target`] run.
fn end_first_run(fixture: &mut AgentFixture) {
    fixture.poll(&TargetStatus {
        clock_ms: 5_000,
        running: (1..4).map(|index| running(index, 1)).collect(),
        unreadable_runs: 0,
        ended: vec![ended(1, 0, 1, RunEnd::Done)],
    });
}

fn not_started(obstacle: Obstacle) -> Vec<RunOutcome> {
    vec![RunOutcome::NotStarted(obstacle)]
}

/// Load: several entries order the last free place at once. The place that a run leaves must not stay
/// empty until an entry has learned of it.
#[test]
fn order_that_finds_no_capacity_starts_when_a_run_ends() {
    let mut fixture = full_target();
    end_first_run(&mut fixture);
    let starts = fixture.take_starts();
    assert_eq!(starts.iter().map(|start| start.task.clone()).collect::<Vec<_>>(), [task(4)]);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::Done]);
    assert_eq!(fixture.agent.counters().started_from_queue, 1);
}

#[test]
fn capacity_that_a_waiting_order_is_to_get_is_not_offered() {
    let mut fixture = full_target();
    fixture.poll(&TargetStatus {
        clock_ms: 5_000,
        running: (2..4).map(|index| running(index, 1)).collect(),
        unreadable_runs: 0,
        ended: vec![ended(1, 0, 1, RunEnd::Done), ended(2, 1, 1, RunEnd::Done)],
    });
    fixture.take_starts();
    fixture.reported_outcomes();
    let offer = fixture.frames.last().expect("a frame").offer;
    assert_eq!(offer.free.cpu_millis, TASK_CPU_MILLIS);
}

/// A task must not wait here while it could start elsewhere.
#[test]
fn order_is_refused_after_the_longest_wait() {
    let mut fixture = full_target();
    fixture.now += ms(MAX_WAIT_MS);
    fixture.agent.tick(fixture.now);
    assert_eq!(fixture.reported_outcomes(), not_started(Obstacle::NoCapacity));
    end_first_run(&mut fixture);
    assert!(fixture.take_starts().is_empty());
}

#[test]
fn orders_beyond_the_limit_are_refused_at_once() {
    let mut fixture = full_target();
    fixture.start(5, TASK_CPU_MILLIS);
    assert_eq!(fixture.reported_outcomes(), not_started(Obstacle::NoCapacity));
}

#[test]
fn no_order_waits_unless_a_wait_is_set() {
    let mut fixture = AgentFixture::new();
    for index in 0..5 {
        fixture.start(index, TASK_CPU_MILLIS);
    }
    assert_eq!(fixture.reported_outcomes(), not_started(Obstacle::NoCapacity));
}

/// The entry may have told its caller that the job is cancelled.
#[test]
fn stopped_order_never_starts() {
    let mut fixture = full_target();
    let order = fixture.last_order;
    fixture.send_orders(vec![Action::Stop { task: task(4), order, is_stuck: false }]);
    end_first_run(&mut fixture);
    assert!(fixture.take_starts().is_empty());
    let outcomes = fixture.reported_outcomes();
    assert!(outcomes.contains(&RunOutcome::NotStarted(Obstacle::StaleOrder)), "{outcomes:?}");
}

/// A target that leaves gets no new work, also none that was ordered before.
#[test]
fn order_does_not_start_at_a_target_that_leaves_meanwhile() {
    let mut fixture = full_target();
    let mut leaving = announcement("target", 2);
    leaving.is_leaving = true;
    fixture.agent.handle_announcement(leaving);
    end_first_run(&mut fixture);
    assert!(fixture.take_starts().is_empty());
    let outcomes = fixture.reported_outcomes();
    assert!(outcomes.contains(&RunOutcome::NotStarted(Obstacle::Unavailable)), "{outcomes:?}");
}

/// A caller of a silent entry submits its job elsewhere, so that nothing of it may start later. The
/// wait is longer here than the contact limit.
#[test]
fn order_of_an_entry_that_has_fallen_silent_never_starts() {
    let mut fixture = full_target();
    fixture.agent.set_max_start_wait(ms(5_000));
    fixture.now += ms(400);
    end_first_run(&mut fixture);
    assert!(fixture.take_starts().is_empty());
    let outcomes = fixture.reported_outcomes();
    assert!(outcomes.contains(&RunOutcome::NotStarted(Obstacle::StaleOrder)), "{outcomes:?}");
}

/// A second run of a task must not start beside one that waits.
#[test]
fn second_order_for_a_waiting_task_is_refused() {
    let mut fixture = full_target();
    fixture.start(4, TASK_CPU_MILLIS);
    assert_eq!(fixture.reported_outcomes(), not_started(Obstacle::StillRunning));
}
