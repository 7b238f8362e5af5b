//! Demand that an entry states, and the share of released capacity that it expects.

mod support;

use bulrushlatch_dispatch::{
    demand::{self, ClassDemand, DEMAND_LIFETIME, DemandStatement, DemandSummary},
    frame::CORDON_FRAME_VERSION,
    ids::LinkId,
};
use support::{EntryFixture, SimulatedAgent, job, ms};

const CPU_MILLIS: u64 = 4_000;
const ENTRIES: u32 = 4;
const EVEN_SHARE: f64 = 0.25;

fn class(priority: u32, offered_cpu_millis: u64) -> ClassDemand {
    ClassDemand { priority, offered_cpu_millis, waiting_cpu_millis: 0 }
}

fn summary(classes: &[ClassDemand]) -> DemandSummary {
    DemandSummary { entries: ENTRIES - 1, classes: classes.to_vec() }
}

/// An entry among four with two agents, to which jobs have brought demand.
fn fixture(is_on: bool) -> EntryFixture {
    let agents =
        [("a", 1), ("b", 2)].map(|(name, link)| SimulatedAgent::new(name, link, CPU_MILLIS));
    let mut fixture = EntryFixture::new(agents.into());
    fixture.entry.set_demand_exchange(is_on);
    fixture.entry.set_entry_count(ENTRIES);
    for number in 0..8 {
        fixture.submit(job(&format!("job-{number}"), 1, 1_000, ms(1_000)), "slow");
    }
    fixture.advance(ms(200));
    fixture
}

/// Submits a job every 20 ms for a while, whose load is steady after 2 s; returns the statements.
fn submit_steadily(
    fixture: &mut EntryFixture,
    jobs: std::ops::Range<u32>,
) -> Vec<(LinkId, DemandStatement)> {
    let mut statements = Vec::new();
    for number in jobs {
        fixture.submit(job(&format!("job-{number}"), 1, 1_000, ms(1_000)), "slow");
        fixture.advance(ms(20));
        statements.extend(fixture.entry.take_demand_statements());
    }
    statements
}

fn receive(fixture: &mut EntryFixture, summary: &DemandSummary) {
    for agent in &fixture.agents {
        let (id, link) = (agent.id.clone(), agent.link);
        fixture.entry.receive_demand_summary(fixture.now, &id, link, summary.clone());
    }
    // The share is updated at intervals.
    fixture.advance(ms(120));
}

fn share(fixture: &EntryFixture) -> f64 {
    fixture.entry.demand_status(fixture.now).share
}

fn demand_by_link(statements: &[(LinkId, DemandStatement)], link: LinkId) -> u64 {
    let last = statements.iter().rev().find(|(sent_on, _)| *sent_on == link);
    let classes = last.map(|(_, statement)| statement.classes.as_slice()).unwrap_or_default();
    classes.iter().map(ClassDemand::cpu_millis).sum()
}

#[test]
fn share_follows_the_demand_of_the_others() {
    let mut fixture = fixture(true);
    assert_eq!(share(&fixture), EVEN_SHARE, "without a summary");
    receive(&mut fixture, &summary(&[]));
    assert!(share(&fixture) > 0.9, "the others demand nothing: {}", share(&fixture));
    receive(&mut fixture, &summary(&[class(0, 40_000)]));
    let behind_equals = share(&fixture);
    assert!(behind_equals < EVEN_SHARE, "the others demand more: {behind_equals}");
    receive(&mut fixture, &summary(&[class(0, 4_000_000)]));
    assert_eq!(share(&fixture), EVEN_SHARE / 4.0, "never below a quarter of the even share");
    receive(&mut fixture, &summary(&[class(7, 4_000_000)]));
    assert!(share(&fixture) > 0.9, "the others' demand is less urgent: {}", share(&fixture));
}

#[test]
fn more_urgent_classes_come_first_and_the_rest_is_shared() {
    let share = |own: &[ClassDemand], others: &[ClassDemand]| {
        demand::share(own.iter().copied(), &summary(others), CPU_MILLIS)
    };
    assert_eq!(share(&[class(0, 1_000)], &[class(0, 1_000)]), 0.25 + 0.125, "half is left");
    assert_eq!(share(&[class(0, 6_000)], &[class(0, 2_000)]), 0.75, "in proportion to demand");
    assert_eq!(share(&[class(1, 6_000)], &[class(0, 3_000)]), 0.25, "behind more urgent demand");
    assert_eq!(share(&[class(0, 4_000)], &[class(1, 90_000)]), 1.0);
    assert_eq!(share(&[class(1, 4_000)], &[class(0, 90_000)]), 0.0);
    assert_eq!(share(&[], &[]), 0.25, "even without demand");
    let huge = [class(0, u64::MAX), class(1, u64::MAX)];
    assert!((0.0..=1.0).contains(&share(&huge, &huge)));
}

/// Lost agent, or one that has stopped sending: its summary must not count for long, and the share
/// must not jump.
#[test]
fn share_returns_gradually_to_the_even_share_after_the_summary_has_expired() {
    let mut fixture = fixture(true);
    receive(&mut fixture, &summary(&[class(0, 4_000_000)]));
    let stated = share(&fixture);
    fixture.advance(DEMAND_LIFETIME - ms(200));
    assert_eq!(share(&fixture), stated, "the summary still counts");
    let mut last = stated;
    for _ in 0..6 {
        fixture.advance(ms(200));
        let current = share(&fixture);
        assert!(current >= last && current - last < 0.06, "from {last} to {current}");
        last = current;
    }
    assert_eq!(last, EVEN_SHARE);
}

/// Lost agent: its part of the demand is stated to the others.
#[test]
fn demand_is_spread_over_the_agents_that_are_left() {
    let mut fixture = fixture(true);
    let statements = submit_steadily(&mut fixture, 100..200);
    let (first, second) = (demand_by_link(&statements, 1), demand_by_link(&statements, 2));
    assert!(first > 0);
    // The two statements were sent with frames at different times.
    assert!(first.abs_diff(second) < first / 8, "agents of the same size: {first}, {second}");
    let lost = fixture.agents.remove(1);
    fixture.entry.link_down(fixture.now, &lost.id, lost.link);
    let statements = submit_steadily(&mut fixture, 200..220);
    assert!(demand_by_link(&statements, 1) > first * 3 / 2, "{statements:?}");
    assert_eq!(demand_by_link(&statements, 2), 0);
}

/// Cut link: the last statement may be lost with it.
/// After a pause of the entry's process all agents seem silent until their frames have been read. A
/// statement in that moment must not claim the whole demand of each of them.
#[test]
fn demand_stated_after_a_pause_is_not_that_of_all_agents_together() {
    let mut fixture = fixture(true);
    let before = submit_steadily(&mut fixture, 10..110);
    let before: u64 = [1, 2].map(|link| demand_by_link(&before, link)).iter().sum();
    fixture.now += ms(250);
    fixture.entry.tick(fixture.now);
    fixture.entry.frames(fixture.now);
    let after = fixture.entry.take_demand_statements();
    let after: u64 = [1, 2].map(|link| demand_by_link(&after, link)).iter().sum();
    assert!(after <= before * 2, "{after} after {before}");
}

#[test]
fn demand_is_stated_again_on_a_new_link() {
    let mut fixture = fixture(true);
    fixture.entry.take_demand_statements();
    let id = fixture.agents[0].id.clone();
    fixture.entry.link_down(fixture.now, &id, 1);
    fixture.entry.link_up(fixture.now, id, 11, bulrushlatch_dispatch::frame::NEWEST_FRAME_VERSION);
    fixture.agents[0].link = 11;
    fixture.advance(ms(40));
    assert!(demand_by_link(&fixture.entry.take_demand_statements(), 11) > 0);
}

#[test]
fn statements_are_few() {
    let mut fixture = fixture(true);
    fixture.entry.take_demand_statements();
    let statements = submit_steadily(&mut fixture, 100..300);
    let count = statements.iter().filter(|(link, _)| *link == 1).count();
    assert!((5..=27).contains(&count), "{count} statements in 4 s");
    fixture.advance(ms(40_000));
    fixture.entry.take_demand_statements();
    fixture.advance(ms(5_000));
    assert!(fixture.entry.take_demand_statements().is_empty(), "no demand");
}

/// An agent of an older build, or with the exchange off, sends no summary.
#[test]
fn even_share_applies_to_agents_without_summaries() {
    let mut fixture = fixture(true);
    fixture.entry.take_demand_statements();
    for agent in &mut fixture.agents {
        let id = agent.id.clone();
        agent.link += 10;
        fixture.entry.link_up(fixture.now, id, agent.link, CORDON_FRAME_VERSION);
    }
    fixture.advance(ms(1_000));
    assert!(fixture.entry.take_demand_statements().is_empty(), "links of version 4");
    assert_eq!(share(&fixture), EVEN_SHARE);
}

#[test]
fn summaries_have_no_effect_with_the_exchange_off() {
    let mut fixture = fixture(false);
    receive(&mut fixture, &summary(&[]));
    assert_eq!(share(&fixture), EVEN_SHARE);
    assert!(fixture.entry.take_demand_statements().is_empty());
    assert_eq!(fixture.entry.counters().demand_summaries, 0);
}

#[test]
fn invalid_and_outdated_summaries_are_dropped() {
    let mut fixture = fixture(true);
    let invalid = [
        summary(&[class(1, 1), class(0, 1)]),
        summary(&[class(0, CPU_MILLIS * 1_000 + 1)]),
        summary(&[class(0, u64::MAX)]),
        DemandSummary { entries: u32::MAX, classes: Vec::new() },
        summary(&(0..17).map(|priority| class(priority, 1)).collect::<Vec<_>>()),
    ];
    for summary in &invalid {
        receive(&mut fixture, summary);
    }
    let dropped = fixture.entry.counters().invalid_demand;
    assert_eq!(dropped as usize, invalid.len() * fixture.agents.len());
    let id = fixture.agents[0].id.clone();
    fixture.entry.receive_demand_summary(fixture.now, &id, 99, summary(&[]));
    fixture.advance(ms(120));
    assert_eq!(share(&fixture), EVEN_SHARE);
    assert_eq!(fixture.entry.counters().demand_summaries, 0);
}
