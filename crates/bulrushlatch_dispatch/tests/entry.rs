//! Tests of single decisions of an entry, with simulated agents.

mod support;

use bulrushlatch_dispatch::{
    frame::NEWEST_FRAME_VERSION,
    outcome::{Answer, Obstacle, Refusal, RunOutcome},
    routing::RoutingTable,
};

use support::{EntryFixture, SimulatedAgent, job, ms, process, route, timing};

fn fixture_with_one_agent() -> EntryFixture {
    EntryFixture::new(vec![SimulatedAgent::new("agent-0", 1, 16_000)])
}

#[test]
fn job_completes_when_every_task_is_done() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 2, 1_000, ms(60)), "quick");
    let starts = fixture.agents[0].take_starts();
    assert_eq!(starts.len(), 2);
    let first = fixture.agents[0].report(&starts[0], RunOutcome::Done, 60);
    fixture.receive_frame(0, vec![first]);
    assert_eq!(fixture.answer_to(caller), None);
    let second = fixture.agents[0].report(&starts[1], RunOutcome::Done, 60);
    fixture.receive_frame(0, vec![second]);
    assert_eq!(fixture.answer_to(caller), Some(Answer::Completed));
}

#[test]
fn duplicate_report_is_counted_once() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = fixture.agents[0].take_starts();
    let failed = fixture.agents[0].report(&starts[0], RunOutcome::Failed, 5);
    fixture.receive_frame(0, vec![failed.clone()]);
    fixture.receive_frame(0, vec![failed.clone()]);
    fixture.receive_frame(0, vec![failed]);
    assert_eq!(fixture.answer_to(caller), None, "one of three allowed failed runs");
}

#[test]
fn job_fails_after_the_configured_number_of_failed_runs() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    for run in 1..=3 {
        assert_eq!(fixture.answer_to(caller), None);
        let starts = fixture.agents[0].take_starts();
        assert_eq!(starts.len(), 1, "run {run}");
        assert_eq!(starts[0].1.attempt, run);
        let failed = fixture.agents[0].report(&starts[0], RunOutcome::Failed, 5);
        fixture.receive_frame(0, vec![failed]);
    }
    assert_eq!(fixture.answer_to(caller), Some(Answer::Failed));
}

/// Entries that share a target compete for each place that comes free there. Losing it says nothing of
/// the task, which has not run.
#[test]
fn job_is_not_given_up_for_places_that_other_entries_took_first() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 2, 1_000, ms(60)), "quick");
    let mut starts = fixture.agents[0].take_starts();
    let done = fixture.agents[0].report(&starts[0], RunOutcome::Done, 60);
    fixture.receive_frame(0, vec![done]);
    starts.remove(0);
    for _ in 0..40 {
        let taken = RunOutcome::NotStarted(Obstacle::NoCapacity);
        let report = fixture.agents[0].report(&starts[0], taken, 0);
        fixture.receive_frame(0, vec![report]);
        starts = fixture.agents[0].take_starts();
        assert_eq!(starts.len(), 1, "{:?}", fixture.answer_to(caller));
    }
    let done = fixture.agents[0].report(&starts[0], RunOutcome::Done, 60);
    fixture.receive_frame(0, vec![done]);
    assert_eq!(fixture.answer_to(caller), Some(Answer::Completed));
}

#[test]
fn failed_task_is_retried_at_another_agent() {
    let agents =
        vec![SimulatedAgent::new("agent-0", 1, 16_000), SimulatedAgent::new("agent-1", 2, 16_000)];
    let mut fixture = EntryFixture::new(agents);
    fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let first = usize::from(fixture.agents[0].orders.is_empty());
    let starts = fixture.agents[first].take_starts();
    let failed = fixture.agents[first].report(&starts[0], RunOutcome::Failed, 5);
    fixture.receive_frame(first, vec![failed]);
    assert_eq!(fixture.agents[first].take_starts().len(), 0);
    assert_eq!(fixture.agents[1 - first].take_starts().len(), 1);
}

#[test]
fn resubmitted_job_attaches_while_open_and_gets_the_cached_answer_later() {
    let mut fixture = fixture_with_one_agent();
    let first = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let second = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = fixture.agents[0].take_starts();
    assert_eq!(starts.len(), 1);
    let done = fixture.agents[0].report(&starts[0], RunOutcome::Done, 60);
    fixture.receive_frame(0, vec![done]);
    let third = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    for caller in [first, second, third] {
        assert_eq!(fixture.answer_to(caller), Some(Answer::Completed));
    }
    assert_eq!(fixture.agents[0].take_starts().len(), 0);
}

/// An agent may know this entry for longer than the entry knows the agent, and ignores order
/// numbers that it has already seen.
#[test]
fn order_numbers_continue_after_an_agent_was_removed() {
    let mut fixture = fixture_with_one_agent();
    fixture.submit(job("first", 3, 1_000, ms(60)), "quick");
    for start in fixture.agents[0].take_starts() {
        let done = fixture.agents[0].report(&start, RunOutcome::Done, 60);
        fixture.receive_frame(0, vec![done]);
    }
    let seen = fixture.agents[0].orders_seen;
    fixture.entry.link_down(fixture.now, &process("agent-0"), 1);
    let removed_at = fixture.now + timing().all_runs_ended_after() + ms(100);
    while fixture.now < removed_at {
        fixture.now += ms(20);
        fixture.entry.tick(fixture.now);
    }
    fixture.agents[0].link = 2;
    fixture.entry.link_up(fixture.now, process("agent-0"), 2, NEWEST_FRAME_VERSION);
    fixture.advance(ms(200));
    fixture.submit(job("second", 1, 1_000, ms(60)), "quick");
    let starts = fixture.agents[0].take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].0 > seen, "order {} must be above {seen}", starts[0].0);
}

/// Guards against a run that continues although its caller has disconnected.
#[test]
fn stop_order_issued_before_the_first_frame_on_a_new_link_is_sent() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 1, 1_000, ms(600)), "slow");
    fixture.advance(ms(20));
    assert_eq!(fixture.agents[0].take_starts().len(), 1);
    // The agent opens a new link, and the caller disconnects before the first frame on it.
    fixture.agents[0].link = 2;
    fixture.entry.link_up(fixture.now, process("agent-0"), 2, NEWEST_FRAME_VERSION);
    fixture.entry.caller_gone(fixture.now, caller);
    fixture.collect();
    fixture.receive_frame(0, Vec::new());
    fixture.advance(ms(40));
    assert_eq!(fixture.agents[0].stops(), 1);
}

/// Guards against a run that continues although its caller has disconnected.
#[test]
fn stop_order_lost_with_its_link_is_sent_again() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 1, 1_000, ms(600)), "slow");
    fixture.advance(ms(20));
    let seen = fixture.agents[0].orders_seen;
    fixture.entry.caller_gone(fixture.now, caller);
    fixture.collect();
    // The frame with the stop order is lost with the link.
    fixture.agents[0].orders.clear();
    fixture.agents[0].orders_seen = seen;
    fixture.agents[0].link = 2;
    fixture.entry.link_up(fixture.now, process("agent-0"), 2, NEWEST_FRAME_VERSION);
    fixture.receive_frame(0, Vec::new());
    fixture.advance(ms(40));
    assert_eq!(fixture.agents[0].stops(), 1);
}

#[test]
fn task_whose_start_order_was_lost_with_its_link_is_placed_again() {
    let mut fixture = fixture_with_one_agent();
    let seen = fixture.agents[0].orders_seen;
    fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    assert_eq!(fixture.agents[0].take_starts().len(), 1);
    fixture.agents[0].orders_seen = seen;
    fixture.agents[0].link = 2;
    fixture.entry.link_up(fixture.now, process("agent-0"), 2, NEWEST_FRAME_VERSION);
    fixture.receive_frame(0, Vec::new());
    fixture.advance(ms(40));
    let starts = fixture.agents[0].take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.attempt, 2);
}

#[test]
fn frames_on_a_replaced_link_are_ignored() {
    let mut fixture = fixture_with_one_agent();
    fixture.entry.link_up(fixture.now, process("agent-0"), 2, NEWEST_FRAME_VERSION);
    fixture.receive_frame(0, Vec::new());
    assert!(!fixture.entry.is_ready(fixture.now), "ready after a frame on the replaced link 1");
}

/// Agents stop the runs of a suspended entry, and callers may submit its jobs elsewhere. If it
/// continued them after resuming, a task could run twice.
#[test]
fn entry_gives_up_its_open_jobs_after_a_suspension() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 1, 1_000, ms(600)), "slow");
    fixture.now += ms(400);
    fixture.entry.tick(fixture.now);
    fixture.collect();
    assert_eq!(fixture.answer_to(caller), Some(Answer::Interrupted));
}

#[test]
fn late_job_without_a_started_run_is_refused_not_interrupted() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = fixture.agents[0].take_starts();
    fixture.agents[0].offer.accepts = false;
    let unavailable = RunOutcome::NotStarted(Obstacle::Unavailable);
    let not_started = fixture.agents[0].report(&starts[0], unavailable, 0);
    fixture.receive_frame(0, vec![not_started]);
    fixture.advance(ms(500));
    assert!(matches!(
        fixture.answer_to(caller),
        Some(Answer::Refused { reason: Refusal::Overloaded, .. })
    ));
}

/// Guards against two simultaneous runs of one task: after the link closes, a run may continue until
/// contact limit, stop grace and lease have passed.
#[test]
fn runs_at_a_silent_agent_count_as_lost_only_after_the_time_bound() {
    let agents = vec![SimulatedAgent::new("agent-0", 1, 16_000)];
    let mut fixture = EntryFixture::new(agents);
    fixture.submit(job("job", 1, 1_000, ms(100)), "slow");
    assert_eq!(fixture.agents[0].take_starts().len(), 1);
    let silent_since = fixture.now;
    fixture.entry.link_down(fixture.now, &process("agent-0"), 1);
    let second_agent = SimulatedAgent::new("agent-1", 2, 16_000);
    fixture.entry.link_up(fixture.now, second_agent.id.clone(), 2, NEWEST_FRAME_VERSION);
    fixture.agents = vec![second_agent];
    let time_bound = timing().all_runs_ended_after();
    while fixture.now < silent_since + time_bound {
        assert_eq!(
            fixture.agents[0].take_starts().len(),
            0,
            "started again after {:?}",
            fixture.now - silent_since
        );
        fixture.advance(ms(10));
    }
    fixture.advance(ms(60));
    assert_eq!(fixture.agents[0].take_starts().len(), 1);
}

#[test]
fn only_newer_configurations_are_applied() {
    let mut fixture = fixture_with_one_agent();
    let table = |version| RoutingTable::new(version, vec![route("quick")], None);
    assert!(fixture.entry.configure(table(5)));
    assert!(!fixture.entry.configure(table(4)));
    assert!(!fixture.entry.configure(table(5)));
    assert_eq!(fixture.entry.version(), Some(5));
}

#[test]
fn no_task_is_placed_at_an_agent_that_accepts_none() {
    let mut fixture = fixture_with_one_agent();
    fixture.agents[0].offer.accepts = false;
    // Beyond the time in which an entry that has just started waits for its first target.
    fixture.advance(ms(1_100));
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    assert_eq!(fixture.agents[0].take_starts().len(), 0);
    assert!(matches!(
        fixture.answer_to(caller),
        Some(Answer::Refused { reason: Refusal::NoTarget, .. })
    ));
}

#[test]
fn stuck_run_is_stopped_and_attributed_to_its_target() {
    let mut fixture = fixture_with_one_agent();
    fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    fixture.advance(ms(1_000));
    let stuck = fixture.agents[0].orders.iter().any(|order| {
        matches!(order.action, bulrushlatch_dispatch::frame::Action::Stop { is_stuck: true, .. })
    });
    assert!(stuck);
}

/// Guards against a task that never finishes: 40 runs of 2 ms teach a short run time, so the entry
/// takes a 3 s run for stuck.
#[test]
fn task_that_is_slow_everywhere_completes_after_at_most_two_stops() {
    let mut fixture = fixture_with_one_agent();
    for id in 0..40 {
        fixture.submit(job(&format!("short-{id}"), 1, 100, ms(60)), "quick");
        for start in fixture.agents[0].take_starts() {
            let done = fixture.agents[0].report(&start, RunOutcome::Done, 2);
            fixture.receive_frame(0, vec![done]);
        }
    }
    let caller = fixture.submit(job("long", 1, 1_000, ms(60)), "quick");
    let mut stops = 0;
    while fixture.answer_to(caller).is_none() && fixture.now < support::BOOT + ms(11_000) {
        fixture.advance(ms(100));
        stops += fixture.agents[0].stops();
        let starts = fixture.agents[0].take_starts();
        for start in starts {
            // The task takes three seconds; the entry may order a stop before that.
            fixture.advance(ms(3_000));
            let is_stopped = fixture.agents[0].stops() > 0;
            stops += usize::from(is_stopped);
            fixture.agents[0].orders.clear();
            let outcome = if is_stopped { RunOutcome::Stopped } else { RunOutcome::Done };
            let end = fixture.agents[0].report(&start, outcome, 3_000);
            fixture.receive_frame(0, vec![end]);
        }
    }
    assert_eq!(fixture.answer_to(caller), Some(Answer::Completed), "{stops} stops");
    assert!(stops <= 2, "{stops} stops");
}

#[test]
fn long_estimate_raises_the_time_limit_although_earlier_runs_were_short() {
    let mut fixture = fixture_with_one_agent();
    for id in 0..40 {
        fixture.submit(job(&format!("short-{id}"), 1, 100, ms(60)), "quick");
        for start in fixture.agents[0].take_starts() {
            let done = fixture.agents[0].report(&start, RunOutcome::Done, 2);
            fixture.receive_frame(0, vec![done]);
        }
    }
    fixture.submit(job("long", 1, 1_000, ms(700)), "quick");
    fixture.advance(ms(1_400));
    assert_eq!(fixture.agents[0].stops(), 0);
}

#[test]
fn giving_up_open_jobs_answers_their_callers() {
    let mut fixture = fixture_with_one_agent();
    let caller = fixture.submit(job("begun", 1, 1_000, ms(600)), "slow");
    fixture.entry.give_up_open_jobs(fixture.now);
    fixture.collect();
    assert_eq!(fixture.answer_to(caller), Some(Answer::Interrupted));
    assert_eq!(fixture.entry.open_jobs(), 0);
}

/// Guards against an overflow: each step has at most `u32::MAX` tasks, but the job has more.
#[test]
fn job_whose_number_of_tasks_exceeds_u32_is_refused() {
    let mut fixture = fixture_with_one_agent();
    let mut request = job("huge", u32::MAX, 1, ms(60));
    let mut second = request.steps[0].clone();
    second.tasks = 10;
    request.steps.push(second);
    let caller = fixture.submit(request, "quick");
    assert!(matches!(
        fixture.answer_to(caller),
        Some(Answer::Refused { reason: Refusal::Malformed, .. })
    ));
}

#[test]
fn objective_of_a_route_with_an_extreme_stretch_is_bounded() {
    let huge = bulrushlatch_dispatch::routing::Route { stretch: 1e300, ..route("quick") };
    assert!(huge.objective(ms(60)) > ms(60));
    let negative = bulrushlatch_dispatch::routing::Route { stretch: -1.0, ..route("quick") };
    assert_eq!(negative.objective(ms(60)), ms(60));
}

#[test]
fn job_that_fits_no_target_is_refused_on_arrival() {
    let mut fixture = fixture_with_one_agent();
    let too_large = fixture.submit(job("large", 1, 17_000, ms(60)), "quick");
    let mut request = job("labelled", 1, 1_000, ms(60));
    request.steps[0].required_label = Some("nowhere".to_owned());
    let unknown_label = fixture.submit(request, "quick");
    for caller in [too_large, unknown_label] {
        assert!(matches!(
            fixture.answer_to(caller),
            Some(Answer::Refused { reason: Refusal::NoTarget, .. })
        ));
    }
}
