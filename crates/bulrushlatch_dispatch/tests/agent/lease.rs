//! What the agent's renewals of the target's lease must not keep alive.

use bulrushlatch_dispatch::{
    agent::{
        Agent,
        target::{Announcement, StartReply, TargetStatus},
    },
    clock::BootTime,
    frame::Action,
    outcome::{Obstacle, RunOutcome},
    timing::{SLACK, on_agent_clock},
};

use super::fixture::{AgentFixture, BOOT, announcement, ms, running, task, timing};

/// Interval between the frames of the entry, and between the polls of the target, in these tests.
const STEP_MS: u64 = 50;

/// Returns an agent at whose target the first task runs.
fn fixture_with_a_run() -> AgentFixture {
    let mut fixture = AgentFixture::new();
    fixture.start(0, 1_000);
    let starts = fixture.take_starts();
    fixture.reply_to_start(&starts[0], &StartReply::Started);
    fixture
}

fn stop_order(is_stuck: bool) -> Action {
    Action::Stop { task: task(0), order: 1, is_stuck }
}

/// Lets the entry live on and the target list `status` at each poll for 2 s, while stops go unanswered;
/// returns when the lease was last renewed.
fn last_renewal(fixture: &mut AgentFixture, status: &TargetStatus) -> BootTime {
    let end = fixture.now + ms(2_000);
    let mut renewed_at = fixture.now;
    while fixture.now < end {
        if fixture.agent.prepare_renewal(fixture.now).is_some() {
            renewed_at = fixture.now;
        }
        fixture.poll(status);
        fixture.now += ms(STEP_MS);
        fixture.send_orders(Vec::new());
        fixture.agent.tick(fixture.now);
    }
    renewed_at
}

/// Asserts that the run of [`fixture_with_a_run`] is over before a job that ended at `ended_at` may come again,
/// although the target lists it at each poll.
fn assert_run_ends_in_time(fixture: &mut AgentFixture, ended_at: BootTime) {
    let listed = TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() };
    let over_at = last_renewal(fixture, &listed) + timing().max_lease_on_agent_clock() + SLACK;
    assert!(over_at <= ended_at + timing().resend_after, "{:?} after it", over_at - ended_at);
}

/// Guards against a run that goes on beside its repetition because its stop is not answered while its
/// entry lives.
#[test]
fn a_run_of_an_ended_job_is_over_before_the_job_comes_again() {
    let mut fixture = fixture_with_a_run();
    fixture.now += ms(STEP_MS);
    let ended_at = fixture.now;
    fixture.send_orders(vec![stop_order(false)]);
    assert_run_ends_in_time(&mut fixture, ended_at);
}

/// Guards against a stop that is lost with a link: the frame that repeats it has a newer stamp than the
/// end of the job.
#[test]
fn the_time_of_a_run_is_counted_from_the_last_frame_before_its_stop() {
    let mut fixture = fixture_with_a_run();
    let ended_at = fixture.now;
    fixture.now += ms(300);
    fixture.send_orders(vec![stop_order(false)]);
    assert_run_ends_in_time(&mut fixture, ended_at);
}

/// Guards against sound runs that end with the lease although nobody takes the stuck run for over.
#[test]
fn a_stuck_run_does_not_end_the_lease_while_its_job_is_open() {
    let mut fixture = fixture_with_a_run();
    fixture.send_orders(vec![stop_order(true)]);
    let listed = TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() };
    let renewed_at = last_renewal(&mut fixture, &listed);
    assert!(fixture.now - renewed_at <= ms(2 * STEP_MS));
    fixture.send_orders(vec![stop_order(false)]);
    let ended_at = fixture.now;
    assert_run_ends_in_time(&mut fixture, ended_at);
}

/// Guards against a run of a killed agent that goes on beside its repetition because the next agent, which
/// does not know it, renews its lease.
#[test]
fn an_unknown_run_ends_with_the_lease() {
    let mut fixture = AgentFixture::new();
    fixture.poll(&TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() });
    assert_eq!(fixture.agent.prepare_renewal(fixture.now), None);
    fixture.poll(&TargetStatus::default());
    assert!(fixture.agent.prepare_renewal(fixture.now).is_some());
}

/// Guards against the renewal of an unknown run's lease after the answer to an earlier poll came last.
#[test]
fn an_overtaken_answer_does_not_hide_an_unknown_run() {
    let mut fixture = AgentFixture::new();
    let overtaken_poll_at = fixture.now;
    fixture.poll(&TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() });
    let (target, empty) = ("target".to_owned(), TargetStatus::default());
    fixture.agent.handle_status(fixture.now, overtaken_poll_at, &target, &empty);
    assert_eq!(fixture.agent.prepare_renewal(fixture.now), None);
}

/// Guards against a start of a killed agent that is carried out late, at a target whose lease the next agent
/// has renewed meanwhile: the entry takes the run for over one stop grace after the start's own lease.
#[test]
fn leases_are_short_while_an_earlier_process_may_have_given_one() {
    let mut fixture = AgentFixture::with_process_started_at(BOOT);
    let earlier_leases_end = BOOT + timing().max_lease_on_agent_clock();
    let mut renewals = 0;
    while fixture.now < earlier_leases_end {
        let polled_at = fixture.now;
        fixture.poll(&TargetStatus::default());
        // A run that begins now is in the next status, which is not answered.
        let end = earlier_leases_end.min(polled_at + timing().stop_grace);
        while fixture.now <= end {
            if let Some(lease_until_ms) = fixture.agent.prepare_renewal(fixture.now) {
                renewals += 1;
                let over_at = fixture.now + on_agent_clock(ms(lease_until_ms));
                assert!(over_at <= polled_at + timing().stop_grace);
            }
            fixture.now += ms(1);
        }
    }
    assert!(renewals > 0);
    fixture.poll(&TargetStatus::default());
    let lease_ms = fixture.agent.prepare_renewal(fixture.now);
    assert_eq!(lease_ms, Some(timing().lease.as_millis() as u64));
}

/// Guards against a renewal for runs of which nothing is known yet.
#[test]
fn nothing_is_renewed_before_the_first_status() {
    let mut agent = Agent::new(timing(), BOOT);
    agent.handle_announcement(announcement("target", 1));
    assert_eq!(agent.prepare_renewal(BOOT + ms(1)), None);
}

/// Guards against a run that counts as over, or is kept alive, because its row in the target's status cannot be
/// read.
#[test]
fn a_run_may_be_any_that_cannot_be_read() {
    let mut fixture = fixture_with_a_run();
    fixture.poll(&TargetStatus { running: vec![running(0, 1)], ..TargetStatus::default() });
    let unreadable = TargetStatus { unreadable_runs: 1, ..TargetStatus::default() };
    fixture.poll(&unreadable);
    assert!(fixture.reported_outcomes().is_empty());
    assert_eq!(fixture.agent.prepare_renewal(fixture.now), None);
    fixture.start(1, 1_000);
    assert_eq!(fixture.take_starts(), []);
    fixture.poll(&TargetStatus::default());
    assert!(fixture.agent.prepare_renewal(fixture.now).is_some());
}

/// Guards against a lease without end, or an overflow, after a heartbeat with an odd time.
#[test]
fn only_answers_of_the_target_tell_its_clock() {
    let mut fixture = AgentFixture::new();
    fixture.agent.handle_departure(fixture.now, &"target".to_owned());
    let odd = Announcement { clock_ms: u64::MAX, ..announcement("next", 1) };
    fixture.agent.handle_announcement(odd);
    assert_eq!(fixture.agent.prepare_renewal(fixture.now), None);
    let status = TargetStatus { clock_ms: 70_000, ..TargetStatus::default() };
    fixture.agent.handle_status(fixture.now, fixture.now, &"next".to_owned(), &status);
    let lease_until_ms = fixture.agent.prepare_renewal(fixture.now);
    assert_eq!(lease_until_ms, Some(70_000 + timing().lease.as_millis() as u64));
}

#[test]
fn the_lease_is_not_renewed_while_an_overdue_stop_is_unconfirmed() {
    let mut fixture = fixture_with_a_run();
    fixture.now += timing().contact_limit + ms(10);
    assert!(fixture.agent.prepare_renewal(fixture.now).is_some(), "the stop has some time to work");
    fixture.now += timing().stop_grace;
    assert_eq!(fixture.agent.prepare_renewal(fixture.now), None);
}

#[test]
fn an_agent_resumed_from_a_suspension_stops_orphaned_runs_and_renews_no_lease() {
    let mut fixture = fixture_with_a_run();
    fixture.now += ms(600);
    assert_eq!(fixture.agent.prepare_renewal(fixture.now), None);
    assert_eq!(fixture.take_stops().len(), 1);
}

#[test]
fn an_unknown_run_at_the_target_is_stopped() {
    let mut fixture = AgentFixture::new();
    fixture.poll(&TargetStatus { running: vec![running(9, 4)], ..TargetStatus::default() });
    let stops = fixture.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].attempt, 4);
}

#[test]
fn nothing_is_started_while_unknown_runs_are_at_the_target() {
    let mut fixture = AgentFixture::new();
    fixture.poll(&TargetStatus { running: vec![running(9, 4)], ..TargetStatus::default() });
    fixture.start(0, 1_000);
    assert_eq!(fixture.reported_outcomes(), [RunOutcome::NotStarted(Obstacle::Unavailable)]);
    fixture.poll(&TargetStatus::default());
    fixture.start(1, 1_000);
    assert_eq!(fixture.take_starts().len(), 1);
}
