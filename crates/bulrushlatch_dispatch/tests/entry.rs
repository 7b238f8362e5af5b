//! Single decisions of an entry.

mod support;

use bulrushlatch_dispatch::{
    outcome::{Answer, Obstacle, Refusal, RunOutcome},
    routing::RoutingTable,
};

use support::{Bench, FakeAgent, job, ms, process, route, timing};

fn one_agent() -> Bench {
    Bench::new(vec![FakeAgent::new("agent-0", 1, 16_000)])
}

#[test]
fn a_job_is_completed_when_every_task_is_done() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 2, 1_000, ms(60)), "quick");
    let starts = bench.agents[0].take_starts();
    assert_eq!(starts.len(), 2);
    let first = bench.agents[0].report(&starts[0], RunOutcome::Done, 60);
    bench.receive_frame(0, vec![first]);
    assert_eq!(bench.answer_to(caller), None);
    let second = bench.agents[0].report(&starts[1], RunOutcome::Done, 60);
    bench.receive_frame(0, vec![second]);
    assert_eq!(bench.answer_to(caller), Some(Answer::Completed));
}

#[test]
fn a_report_that_comes_twice_counts_once() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = bench.agents[0].take_starts();
    let failed = bench.agents[0].report(&starts[0], RunOutcome::Failed, 5);
    bench.receive_frame(0, vec![failed.clone()]);
    bench.receive_frame(0, vec![failed.clone()]);
    bench.receive_frame(0, vec![failed]);
    assert_eq!(bench.answer_to(caller), None, "one failed run of three allowed");
}

#[test]
fn a_job_fails_after_the_configured_number_of_failed_runs() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    for run in 1..=3 {
        assert_eq!(bench.answer_to(caller), None);
        let starts = bench.agents[0].take_starts();
        assert_eq!(starts.len(), 1, "run {run}");
        assert_eq!(starts[0].1.attempt, run);
        let failed = bench.agents[0].report(&starts[0], RunOutcome::Failed, 5);
        bench.receive_frame(0, vec![failed]);
    }
    assert_eq!(bench.answer_to(caller), Some(Answer::Failed));
}

#[test]
fn a_failed_task_is_tried_at_another_agent() {
    let agents = vec![FakeAgent::new("agent-0", 1, 16_000), FakeAgent::new("agent-1", 2, 16_000)];
    let mut bench = Bench::new(agents);
    bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    let first = usize::from(bench.agents[0].orders.is_empty());
    let starts = bench.agents[first].take_starts();
    let failed = bench.agents[first].report(&starts[0], RunOutcome::Failed, 5);
    bench.receive_frame(first, vec![failed]);
    assert_eq!(bench.agents[first].take_starts().len(), 0);
    assert_eq!(bench.agents[1 - first].take_starts().len(), 1);
}

#[test]
fn the_same_id_attaches_while_open_and_gets_the_kept_answer_later() {
    let mut bench = one_agent();
    let first = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    let second = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = bench.agents[0].take_starts();
    assert_eq!(starts.len(), 1);
    let done = bench.agents[0].report(&starts[0], RunOutcome::Done, 60);
    bench.receive_frame(0, vec![done]);
    let third = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    for caller in [first, second, third] {
        assert_eq!(bench.answer_to(caller), Some(Answer::Completed));
    }
    assert_eq!(bench.agents[0].take_starts().len(), 0);
}

/// The agent may remember this entry for longer than the entry remembers the agent.
#[test]
fn orders_to_an_agent_that_was_forgotten_are_numbered_on() {
    let mut bench = one_agent();
    bench.submit(job("first", 3, 1_000, ms(60)), "quick");
    for start in bench.agents[0].take_starts() {
        let done = bench.agents[0].report(&start, RunOutcome::Done, 60);
        bench.receive_frame(0, vec![done]);
    }
    let seen = bench.agents[0].orders_seen;
    bench.entry.link_down(bench.now, &process("agent-0"), 1);
    let forgotten_at = bench.now + timing().all_runs_ended_after() + ms(100);
    while bench.now < forgotten_at {
        bench.now += ms(20);
        bench.entry.tick(bench.now);
    }
    bench.agents[0].link = 2;
    bench.entry.link_up(bench.now, process("agent-0"), 2);
    bench.advance(ms(200));
    bench.submit(job("second", 1, 1_000, ms(60)), "quick");
    let starts = bench.agents[0].take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].0 > seen, "order {} after {seen}", starts[0].0);
}

#[test]
fn a_stop_that_a_broken_link_lost_is_sent_again() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 1, 1_000, ms(600)), "slow");
    bench.advance(ms(20));
    assert_eq!(bench.agents[0].take_starts().len(), 1);
    // The agent opens a new link, and the caller leaves before the first frame on it.
    bench.agents[0].link = 2;
    bench.entry.link_up(bench.now, process("agent-0"), 2);
    bench.entry.caller_gone(bench.now, caller);
    bench.collect();
    bench.receive_frame(0, Vec::new());
    bench.advance(ms(40));
    assert_eq!(bench.agents[0].stops(), 1);
}

#[test]
fn a_stop_on_its_way_when_the_link_broke_is_sent_again() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 1, 1_000, ms(600)), "slow");
    bench.advance(ms(20));
    let seen = bench.agents[0].orders_seen;
    bench.entry.caller_gone(bench.now, caller);
    bench.collect();
    // The frame with the stop is lost with the link.
    bench.agents[0].orders.clear();
    bench.agents[0].orders_seen = seen;
    bench.agents[0].link = 2;
    bench.entry.link_up(bench.now, process("agent-0"), 2);
    bench.receive_frame(0, Vec::new());
    bench.advance(ms(40));
    assert_eq!(bench.agents[0].stops(), 1);
}

#[test]
fn a_start_that_a_broken_link_lost_is_placed_again() {
    let mut bench = one_agent();
    let seen = bench.agents[0].orders_seen;
    bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    assert_eq!(bench.agents[0].take_starts().len(), 1);
    bench.agents[0].orders_seen = seen;
    bench.agents[0].link = 2;
    bench.entry.link_up(bench.now, process("agent-0"), 2);
    bench.receive_frame(0, Vec::new());
    bench.advance(ms(40));
    let starts = bench.agents[0].take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.attempt, 2);
}

#[test]
fn frames_of_a_replaced_link_are_ignored() {
    let mut bench = one_agent();
    bench.entry.link_up(bench.now, process("agent-0"), 2);
    bench.receive_frame(0, Vec::new());
    assert!(!bench.entry.is_ready(bench.now), "the frame came on link 1");
}

#[test]
fn a_suspended_entry_gives_up_its_open_jobs() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 1, 1_000, ms(600)), "slow");
    bench.now += ms(400);
    bench.entry.tick(bench.now);
    bench.collect();
    assert_eq!(bench.answer_to(caller), Some(Answer::Interrupted));
}

#[test]
fn a_job_of_which_nothing_ran_is_refused_not_interrupted() {
    let mut bench = one_agent();
    let caller = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = bench.agents[0].take_starts();
    bench.agents[0].offer.accepts = false;
    let unavailable = RunOutcome::NotStarted(Obstacle::Unavailable);
    let refused = bench.agents[0].report(&starts[0], unavailable, 0);
    bench.receive_frame(0, vec![refused]);
    bench.advance(ms(500));
    assert!(matches!(
        bench.answer_to(caller),
        Some(Answer::Refused { reason: Refusal::Overloaded, .. })
    ));
}

#[test]
fn runs_at_a_silent_agent_are_settled_only_after_the_stated_time() {
    let agents = vec![FakeAgent::new("agent-0", 1, 16_000)];
    let mut bench = Bench::new(agents);
    bench.submit(job("job", 1, 1_000, ms(100)), "slow");
    assert_eq!(bench.agents[0].take_starts().len(), 1);
    let silent_since = bench.now;
    bench.entry.link_down(bench.now, &process("agent-0"), 1);
    let other = FakeAgent::new("agent-1", 2, 16_000);
    bench.entry.link_up(bench.now, other.id.clone(), 2);
    bench.agents = vec![other];
    let settled = timing().all_runs_ended_after();
    while bench.now < silent_since + settled {
        assert_eq!(bench.agents[0].take_starts().len(), 0, "{:?}", bench.now - silent_since);
        bench.advance(ms(10));
    }
    bench.advance(ms(60));
    assert_eq!(bench.agents[0].take_starts().len(), 1);
}

#[test]
fn configurations_only_go_forward() {
    let mut bench = one_agent();
    let table = |version| RoutingTable::new(version, vec![route("quick")], None);
    assert!(bench.entry.configure(table(5)));
    assert!(!bench.entry.configure(table(4)));
    assert!(!bench.entry.configure(table(5)));
    assert_eq!(bench.entry.version(), Some(5));
}

#[test]
fn nothing_is_placed_at_an_agent_that_takes_no_work() {
    let mut bench = one_agent();
    bench.agents[0].offer.accepts = false;
    bench.advance(ms(20));
    let caller = bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    assert_eq!(bench.agents[0].take_starts().len(), 0);
    assert!(matches!(
        bench.answer_to(caller),
        Some(Answer::Refused { reason: Refusal::NoTarget, .. })
    ));
}

#[test]
fn a_run_that_stands_still_is_stopped_and_blamed_on_its_target() {
    let mut bench = one_agent();
    bench.submit(job("job", 1, 1_000, ms(60)), "quick");
    bench.advance(ms(1_000));
    let stuck = bench.agents[0].orders.iter().any(|order| {
        matches!(order.action, bulrushlatch_dispatch::frame::Action::Stop { is_stuck: true, .. })
    });
    assert!(stuck);
}

#[test]
fn a_task_that_takes_long_everywhere_is_let_run_in_the_end() {
    let mut bench = one_agent();
    for id in 0..40 {
        bench.submit(job(&format!("short-{id}"), 1, 100, ms(60)), "quick");
        for start in bench.agents[0].take_starts() {
            let done = bench.agents[0].report(&start, RunOutcome::Done, 2);
            bench.receive_frame(0, vec![done]);
        }
    }
    let caller = bench.submit(job("long", 1, 1_000, ms(60)), "quick");
    let mut stops = 0;
    while bench.answer_to(caller).is_none() && bench.now < support::BOOT + ms(11_000) {
        bench.advance(ms(100));
        stops += bench.agents[0].stops();
        let starts = bench.agents[0].take_starts();
        for start in starts {
            // The order to stop follows sooner or later; the task itself takes three seconds.
            bench.advance(ms(3_000));
            let is_stopped = bench.agents[0].stops() > 0;
            stops += usize::from(is_stopped);
            bench.agents[0].orders.clear();
            let outcome = if is_stopped { RunOutcome::Stopped } else { RunOutcome::Done };
            let end = bench.agents[0].report(&start, outcome, 3_000);
            bench.receive_frame(0, vec![end]);
        }
    }
    assert_eq!(bench.answer_to(caller), Some(Answer::Completed), "{stops} stops");
    assert!(stops <= 2, "{stops} stops");
}

#[test]
fn an_honest_estimate_is_believed_although_other_jobs_were_short() {
    let mut bench = one_agent();
    for id in 0..40 {
        bench.submit(job(&format!("short-{id}"), 1, 100, ms(60)), "quick");
        for start in bench.agents[0].take_starts() {
            let done = bench.agents[0].report(&start, RunOutcome::Done, 2);
            bench.receive_frame(0, vec![done]);
        }
    }
    bench.submit(job("long", 1, 1_000, ms(700)), "quick");
    bench.advance(ms(1_400));
    assert_eq!(bench.agents[0].stops(), 0);
}

#[test]
fn an_entry_that_stops_answers_every_open_caller() {
    let mut bench = one_agent();
    let begun = bench.submit(job("begun", 1, 1_000, ms(600)), "slow");
    bench.entry.give_up_open_jobs(bench.now);
    bench.collect();
    assert_eq!(bench.answer_to(begun), Some(Answer::Interrupted));
    assert_eq!(bench.entry.open_jobs(), 0);
}

#[test]
fn a_job_with_more_tasks_than_can_be_counted_is_refused() {
    let mut bench = one_agent();
    let mut request = job("huge", u32::MAX, 1, ms(60));
    let mut second = request.steps[0].clone();
    second.tasks = 10;
    request.steps.push(second);
    let caller = bench.submit(request, "quick");
    assert!(matches!(
        bench.answer_to(caller),
        Some(Answer::Refused { reason: Refusal::Malformed, .. })
    ));
}

#[test]
fn a_route_with_an_absurd_stretch_is_served() {
    let absurd = bulrushlatch_dispatch::routing::Route { stretch: 1e300, ..route("quick") };
    assert!(absurd.objective(ms(60)) > ms(60));
    let negative = bulrushlatch_dispatch::routing::Route { stretch: -1.0, ..route("quick") };
    assert_eq!(negative.objective(ms(60)), ms(60));
}

#[test]
fn a_job_that_no_target_can_ever_take_is_refused_at_once() {
    let mut bench = one_agent();
    let too_large = bench.submit(job("large", 1, 17_000, ms(60)), "quick");
    let mut request = job("labelled", 1, 1_000, ms(60));
    request.steps[0].required_label = Some("nowhere".to_owned());
    let nowhere = bench.submit(request, "quick");
    for caller in [too_large, nowhere] {
        assert!(matches!(
            bench.answer_to(caller),
            Some(Answer::Refused { reason: Refusal::NoTarget, .. })
        ));
    }
}
