//! Tests of single decisions on waiting jobs under a shortage of capacity.

mod support;

use std::{sync::Arc, time::Duration};

use bulrushlatch_dispatch::{
    entry::{Submission, served_shares::ServedShares},
    ids::{CallerId, RouteName},
    outcome::{Answer, Obstacle, Refusal, RunOutcome},
    routing::{Route, RoutingTable},
};

use self::support::{BOOT, EntryFixture, SimulatedAgent, job, ms, route};

const LONG: Duration = Duration::from_millis(1_000);

/// Returns an entry whose two targets of 8 cores have been busy with other entries' tasks for so
/// long that no job may be late.
fn busy_fixture(shortage_policy: bool) -> EntryFixture {
    let mut agents = vec![SimulatedAgent::new("a", 1, 8_000), SimulatedAgent::new("b", 2, 8_000)];
    agents.iter_mut().for_each(|agent| agent.offer.free.cpu_millis = 0);
    let mut fixture = EntryFixture::new(agents);
    fixture.entry.set_shortage_policy(shortage_policy);
    fixture.advance(ms(5_000));
    fixture
}

fn is_refused(fixture: &EntryFixture, caller: CallerId) -> bool {
    let answer = fixture.answer_to(caller);
    matches!(answer, Some(Answer::Refused { reason: Refusal::Overloaded, .. }))
}

/// A job that had been accepted waited until its objective had become unreachable, although its start
/// had been out of reach since a target was lost.
#[test]
fn job_that_cannot_start_in_time_after_the_loss_of_a_target_is_refused_at_once() {
    let refused_within_200_ms = |shortage_policy| {
        let mut fixture = busy_fixture(shortage_policy);
        let names = ["job-1", "job-2", "job-3"];
        let callers = names.map(|name| fixture.submit(job(name, 1, 2_000, LONG), "slow"));
        fixture.advance(ms(20));
        assert_eq!(fixture.answers, Vec::new(), "accepted");
        fixture.agents[1].offer.accepts = false;
        fixture.advance(ms(200));
        callers.map(|caller| is_refused(&fixture, caller))
    };
    assert_eq!(refused_within_200_ms(true), [false, false, true]);
    assert_eq!(refused_within_200_ms(false), [false; 3]);
}

/// Another entry's task took the place first. The latest start is still far away, so that the job must
/// go on waiting, whatever the rank at which its task is queued again.
#[test]
fn job_whose_place_was_taken_goes_on_waiting() {
    let mut fixture = busy_fixture(true);
    let caller = fixture.submit(job("job", 1, 2_000, LONG), "slow");
    fixture.agents[0].offer.free.cpu_millis = 2_000;
    fixture.advance(ms(20));
    let starts = fixture.agents[0].take_starts();
    fixture.agents[0].offer.free.cpu_millis = 0;
    let obstacle = RunOutcome::NotStarted(Obstacle::NoCapacity);
    let report = fixture.agents[0].report(&starts[0], obstacle, 0);
    fixture.receive_frame(0, vec![report]);
    fixture.advance(ms(40));
    assert_eq!(fixture.answers, Vec::new());
    assert_eq!(fixture.entry.counters().late_refusals, 0, "{caller}");
}

/// An answer "not run" must be true.
#[test]
fn job_that_has_begun_is_not_refused() {
    let mut fixture = busy_fixture(true);
    let caller = fixture.submit(job("job", 2, 2_000, LONG), "slow");
    fixture.agents[0].offer.free.cpu_millis = 2_000;
    fixture.advance(ms(20));
    assert_eq!(fixture.agents[0].take_starts().len(), 1);
    fixture.agents[0].offer.free.cpu_millis = 0;
    fixture.agents[1].offer.accepts = false;
    fixture.advance(ms(1_200));
    assert_eq!(fixture.answer_to(caller), None);
}

fn submit(fixture: &mut EntryFixture, caller: CallerId, route: &Route, cpu: u64, run: Duration) {
    let submission = Submission {
        caller,
        route: Arc::new(route.clone()),
        request: job(&format!("job-{caller}"), 1, cpu, run),
        remaining_time: None,
    };
    fixture.entry.submit(fixture.now, submission);
    fixture.collect();
}

/// An urgent job that arrives behind a long one must not miss its objective for it.
#[test]
fn waiting_job_makes_way_for_a_more_urgent_one() {
    let mut fixture = busy_fixture(true);
    let (urgent, long) = (route("quick"), Route { priority: 2, ..route("slow") });
    let routes = vec![urgent.clone(), long.clone()];
    fixture.entry.configure(RoutingTable::new(2, routes, None));
    submit(&mut fixture, 1, &long, 6_000, LONG);
    fixture.advance(ms(420));
    assert_eq!(fixture.answers, Vec::new());
    submit(&mut fixture, 2, &urgent, 2_000, ms(300));
    fixture.advance(ms(20));
    assert!(is_refused(&fixture, 1));
    assert_eq!(fixture.answer_to(2), None);
    assert_eq!(fixture.entry.counters().displaced, 1);
}

/// Urgent jobs must not starve another route, nor small jobs the large ones of their route.
#[test]
fn routes_and_large_jobs_keep_a_floor() {
    let (long, short): (RouteName, RouteName) = (Arc::from("long"), Arc::from("short"));
    let mut shares = ServedShares::default();
    for _ in 0..60 {
        shares.record_arrival(BOOT, &short, 1_000);
        shares.record_arrival(BOOT, &long, 1_000);
    }
    assert!(shares.is_above_floor(&long, 1_000));
    (0..45).for_each(|_| shares.record_refusal(BOOT, &long, 1_000));
    assert!(!shares.is_above_floor(&long, 1_000), "a quarter served, of 0.6 in all");
    for number in 0..200 {
        shares.record_arrival(BOOT, &short, if number % 10 == 0 { 5_000 } else { 1_000 });
    }
    assert!(shares.is_above_floor(&short, 5_000));
    (0..16).for_each(|_| shares.record_refusal(BOOT, &short, 5_000));
    assert!(!shares.is_above_floor(&short, 5_000), "most large jobs refused");
    assert!(shares.is_above_floor(&short, 1_000));
}
