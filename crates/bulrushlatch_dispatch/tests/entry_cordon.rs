//! Placement and admission while a zone is cordoned, with simulated agents.

mod support;

use bulrushlatch_dispatch::{
    cordon::Cordons,
    outcome::{Answer, Obstacle, Refusal, RunOutcome},
};

use support::{EntryFixture, SimulatedAgent, job, ms};

fn agent_in(zone: &str, name: &str, link: u64) -> SimulatedAgent {
    let mut agent = SimulatedAgent::new(name, link, 16_000);
    agent.profile.zone = zone.to_owned();
    agent
}

fn fixture_with_two_zones() -> EntryFixture {
    EntryFixture::new(vec![agent_in("a", "agent-0", 1), agent_in("b", "agent-1", 2)])
}

fn set_cordons(fixture: &mut EntryFixture, offset: u64, zones: &[&str]) {
    let zones = zones.iter().map(|&zone| zone.to_owned()).collect();
    let now = fixture.now;
    fixture.entry.update_cordons(now, "test", |own| own.adopt(Cordons { offset, zones }));
    fixture.collect();
}

#[test]
fn no_task_is_placed_in_a_cordoned_zone() {
    let mut fixture = fixture_with_two_zones();
    set_cordons(&mut fixture, 5, &["a"]);
    for id in 0..6 {
        fixture.submit(job(&format!("job-{id}"), 1, 1_000, ms(60)), "quick");
    }
    assert_eq!(fixture.agents[0].take_starts().len(), 0);
    assert_eq!(fixture.agents[1].take_starts().len(), 6);
    set_cordons(&mut fixture, 6, &[]);
    fixture.advance(ms(20));
    for id in 6..26 {
        fixture.submit(job(&format!("job-{id}"), 1, 1_000, ms(60)), "quick");
    }
    assert!(!fixture.agents[0].take_starts().is_empty(), "the zone is used again");
}

/// The agent that refuses may know of the cordon before the entry does.
#[test]
fn refused_task_runs_in_another_zone_at_once() {
    let mut fixture = fixture_with_two_zones();
    fixture.agents[1].offer.accepts = false;
    fixture.receive_frame(1, Vec::new());
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let starts = fixture.agents[0].take_starts();
    fixture.agents[1].offer.accepts = true;
    fixture.receive_frame(1, Vec::new());
    fixture.agents[0].offer.accepts = false;
    let refused = RunOutcome::NotStarted(Obstacle::Unavailable);
    let report = fixture.agents[0].report(&starts[0], refused, 0);
    fixture.receive_frame(0, vec![report]);
    let starts = fixture.agents[1].take_starts();
    assert_eq!(starts.len(), 1);
    let done = fixture.agents[1].report(&starts[0], RunOutcome::Done, 60);
    fixture.receive_frame(1, vec![done]);
    assert_eq!(fixture.answer_to(caller), Some(Answer::Completed));
}

/// Another zone has as much capacity as the job needs, but may not be used.
#[test]
fn capacity_of_a_cordoned_zone_is_not_counted() {
    let mut fixture = fixture_with_two_zones();
    set_cordons(&mut fixture, 5, &["a"]);
    let first = fixture.submit(job("first", 16, 1_000, ms(2_000)), "quick");
    assert_eq!(fixture.answer_to(first), None);
    fixture.agents[1].offer.free.cpu_millis = 0;
    fixture.receive_frame(1, Vec::new());
    let second = fixture.submit(job("second", 16, 1_000, ms(60)), "quick");
    let answer = fixture.answer_to(second);
    let is_overloaded = matches!(answer, Some(Answer::Refused { reason: Refusal::Overloaded, .. }));
    assert!(is_overloaded, "the job cannot start in time: {answer:?}");
}

#[test]
fn job_is_refused_at_once_with_a_delay_while_every_zone_is_cordoned() {
    let mut fixture = fixture_with_two_zones();
    fixture.advance(ms(1_500));
    set_cordons(&mut fixture, 5, &["a", "b"]);
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let answer = fixture.answer_to(caller);
    let Some(Answer::Refused { retry_after, .. }) = answer else { panic!("{answer:?}") };
    assert!(retry_after >= ms(1_000));
}
