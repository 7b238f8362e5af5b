//! Demand that entries state, and the summaries that the agent sends.

use bulrushlatch_dispatch::{
    demand::{ClassDemand, DEMAND_LIFETIME, DemandStatement, DemandSummary, MIN_DEMAND_INTERVAL},
    frame::{CORDON_FRAME_VERSION, EntryFrame, FrameVersion, NEWEST_FRAME_VERSION},
    ids::{LinkId, ProcessId},
};

use super::fixture::{AgentFixture, MIN_FRAME_INTERVAL, entry, ms};

const OTHER_LINK: LinkId = 2;

fn other(incarnation: u64) -> ProcessId {
    ProcessId { name: "other".to_owned(), incarnation }
}

fn class(priority: u32, offered_cpu_millis: u64, waiting_cpu_millis: u64) -> ClassDemand {
    ClassDemand { priority, offered_cpu_millis, waiting_cpu_millis }
}

fn statement(classes: &[ClassDemand]) -> DemandStatement {
    DemandStatement { classes: classes.to_vec() }
}

/// An agent on the exchange with two entries, the second one on a link of `version`.
fn fixture_with(version: FrameVersion) -> AgentFixture {
    let mut fixture = AgentFixture::new();
    fixture.agent.set_demand_exchange(true);
    link(&mut fixture, &other(1), version);
    fixture
}

fn link(fixture: &mut AgentFixture, entry: &ProcessId, version: FrameVersion) {
    let now = fixture.now;
    fixture.agent.link_up(now, entry.clone(), OTHER_LINK, version);
    let frame = EntryFrame {
        stamp_echo_ms: now.as_millis() as u64,
        reports_seen: 0,
        is_in_use: true,
        orders: Vec::new(),
    };
    fixture.agent.receive(now, entry, OTHER_LINK, frame);
}

fn state(fixture: &mut AgentFixture, classes: &[ClassDemand]) {
    fixture.agent.receive_demand(fixture.now, &entry(), 1, statement(classes));
}

fn state_other(fixture: &mut AgentFixture, classes: &[ClassDemand]) {
    fixture.agent.receive_demand(fixture.now, &other(1), OTHER_LINK, statement(classes));
}

/// Advances the time by 80 ms, when a heartbeat is due on each link, and returns the summaries.
fn next_summaries(fixture: &mut AgentFixture) -> Vec<(LinkId, DemandSummary)> {
    fixture.now += ms(80);
    fixture.agent.tick(fixture.now);
    fixture.agent.frames(fixture.now, MIN_FRAME_INTERVAL);
    fixture.agent.take_demand_summaries()
}

#[test]
fn each_entry_is_told_the_demand_of_the_others() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    state(&mut fixture, &[class(0, 1_000, 100), class(2, 500, 0)]);
    state_other(&mut fixture, &[class(0, 300, 0), class(1, 2_000, 50)]);
    let expected = [
        (
            1,
            DemandSummary {
                entries: 1,
                classes: vec![class(0, 300, 0), class(1, 2_000, 50), class(2, 0, 0)],
            },
        ),
        (
            OTHER_LINK,
            DemandSummary {
                entries: 1,
                classes: vec![class(0, 1_000, 100), class(1, 0, 0), class(2, 500, 0)],
            },
        ),
    ];
    assert_eq!(next_summaries(&mut fixture), expected);
}

/// A message for every change would cost more than the share gains.
#[test]
fn summaries_are_sent_with_frames_and_at_long_intervals() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    state(&mut fixture, &[class(0, 1_000, 0)]);
    assert_eq!(next_summaries(&mut fixture).len(), 1);
    state_other(&mut fixture, &[class(0, 3_000, 0)]);
    fixture.agent.frames(fixture.now, MIN_FRAME_INTERVAL);
    assert!(fixture.agent.take_demand_summaries().is_empty(), "no frame is due");
    let mut sent = 0;
    let started_at = fixture.now;
    for demand in 0..50 {
        state_other(&mut fixture, &[class(0, 3_000 + demand * 1_000, 0)]);
        state(&mut fixture, &[class(0, 1_000, 0)]);
        sent += next_summaries(&mut fixture).iter().filter(|(link, _)| *link == 1).count();
    }
    let longest = (fixture.now - started_at).div_duration_f64(MIN_DEMAND_INTERVAL) as usize + 1;
    assert!((10..=longest).contains(&sent), "{sent} summaries");
    let mut sent_unchanged = 0;
    for _ in 0..50 {
        state_other(&mut fixture, &[class(0, 60_000, 0)]);
        state(&mut fixture, &[class(0, 1_000, 0)]);
        sent_unchanged +=
            next_summaries(&mut fixture).iter().filter(|(link, _)| *link == 1).count();
    }
    assert!(sent_unchanged <= 9, "{sent_unchanged} unchanged summaries in 4 s");
}

/// Stale statement: an entry that has crashed or is cut off must not hold a share for long.
#[test]
fn statement_of_a_silent_entry_expires() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    state_other(&mut fixture, &[class(0, 3_000, 0)]);
    fixture.agent.link_down(&other(1), OTHER_LINK);
    state(&mut fixture, &[class(0, 1_000, 0)]);
    assert_eq!(next_summaries(&mut fixture)[0].1.entries, 1);
    fixture.now += DEMAND_LIFETIME;
    state(&mut fixture, &[class(0, 1_000, 0)]);
    let summaries = next_summaries(&mut fixture);
    assert_eq!(summaries, [(1, DemandSummary { entries: 0, classes: vec![class(0, 0, 0)] })]);
}

/// Restart of an entry: its demand must not count twice.
#[test]
fn restarted_entry_replaces_the_statement_of_its_earlier_incarnation() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    state(&mut fixture, &[class(0, 1_000, 0)]);
    state_other(&mut fixture, &[class(0, 3_000, 0)]);
    link(&mut fixture, &other(2), NEWEST_FRAME_VERSION);
    let restarted = statement(&[class(0, 700, 0)]);
    fixture.agent.receive_demand(fixture.now, &other(2), OTHER_LINK, restarted);
    let expected = DemandSummary { entries: 1, classes: vec![class(0, 700, 0)] };
    assert_eq!(next_summaries(&mut fixture)[0], (1, expected));
}

/// Restart of the agent: it knows nothing, and entries state their demand on the new links.
#[test]
fn agent_without_statements_sends_no_summary() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    assert!(next_summaries(&mut fixture).is_empty());
}

#[test]
fn invalid_statements_are_dropped_and_counted() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    let many: Vec<ClassDemand> = (0..17).map(|priority| class(priority, 1, 0)).collect();
    let invalid = [
        many,
        vec![class(1, 1, 0), class(0, 1, 0)],
        vec![class(1, 1, 0), class(1, 1, 0)],
        vec![class(0, 4_000_001, 0)],
        vec![class(0, 0, u64::MAX)],
    ];
    let count = invalid.len() as u64;
    for classes in invalid {
        state_other(&mut fixture, &classes);
    }
    assert_eq!(fixture.agent.counters().invalid_demand, count);
    assert_eq!(fixture.agent.demand_entries(), 0);
    state_other(&mut fixture, &[class(0, 4_000_000, 0)]);
    assert_eq!(fixture.agent.demand_entries(), 1);
}

/// Entries may use different priority numbers while a configuration spreads.
#[test]
fn summary_of_many_classes_is_valid() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    let classes = |first: u32| -> Vec<ClassDemand> {
        (first..first + 16).map(|priority| class(priority, 1_000, 0)).collect()
    };
    state(&mut fixture, &classes(0));
    state_other(&mut fixture, &classes(16));
    for (link, summary) in next_summaries(&mut fixture) {
        assert!(summary.is_valid(4_000), "link {link}: {summary:?}");
        let demand: u64 = summary.classes.iter().map(ClassDemand::cpu_millis).sum();
        assert_eq!(demand, 16_000, "link {link}");
    }
}

#[test]
fn statement_from_a_replaced_link_is_ignored() {
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    let late = statement(&[class(0, 1_000, 0)]);
    fixture.agent.receive_demand(fixture.now, &other(1), OTHER_LINK + 1, late);
    assert_eq!(fixture.agent.demand_entries(), 0);
}

#[test]
fn nothing_is_sent_on_an_older_link_or_with_the_exchange_off() {
    let mut fixture = fixture_with(CORDON_FRAME_VERSION);
    state_other(&mut fixture, &[class(0, 1_000, 0)]);
    assert!(next_summaries(&mut fixture).is_empty(), "a link of version 4");
    let mut fixture = fixture_with(NEWEST_FRAME_VERSION);
    fixture.agent.set_demand_exchange(false);
    state_other(&mut fixture, &[class(0, 1_000, 0)]);
    assert!(next_summaries(&mut fixture).is_empty(), "switched off");
    assert_eq!(fixture.agent.counters().demand_statements, 0);
}
