//! What an entry does about jobs under which targets crash.

mod support;

use bulrushlatch_dispatch::{
    crash::{CrashNotice, CrashRecord, CrashedRun, ISOLATION_NOTICE_LIFETIME, IsolationNotice},
    frame::StartOrder,
    outcome::{Answer, Refusal, RunOutcome},
};
use support::{EntryFixture, SimulatedAgent, job, ms};

const TARGET_CPU_MILLIS: u64 = 16_000;
/// Time within which a crashed target stays away in these tests.
const ABSENCE_MS: u64 = 500;

fn fixture_of(agents: usize) -> EntryFixture {
    let agents = (0..agents).map(|number| {
        SimulatedAgent::new(&format!("agent-{number}"), number as u64 + 1, TARGET_CPU_MILLIS)
    });
    EntryFixture::new(agents.collect())
}

/// Takes all start orders that agents got, each with the number of the agent.
fn take_starts(fixture: &mut EntryFixture) -> Vec<(usize, (u64, StartOrder))> {
    let agents = fixture.agents.iter_mut().enumerate();
    let starts = agents.flat_map(|(index, agent)| {
        agent.take_starts().into_iter().map(move |start| (index, start))
    });
    starts.collect()
}

/// Lets the target of an agent crash 20 ms after the given start; other targets stay.
fn crash(fixture: &mut EntryFixture, agent: usize, number: u64, start: &(u64, StartOrder)) {
    let run = CrashedRun { task: start.1.task.clone(), ran_ms: 20 };
    let notice = CrashNotice { crashes: vec![CrashRecord { number, runs: vec![run] }] };
    let id = fixture.agents[agent].id.clone();
    fixture.entry.receive_crashes(fixture.now, &id, notice);
    let report = fixture.agents[agent].report(start, RunOutcome::Lost, 20);
    fixture.agents[agent].offer.accepts = false;
    let profile = std::mem::take(&mut fixture.agents[agent].profile);
    fixture.receive_frame(agent, vec![report]);
    fixture.agents[agent].profile = profile;
}

/// Lets a job of the route `quick` crash two targets, and all targets come back.
fn isolate_quick(fixture: &mut EntryFixture) {
    fixture.submit(job("cause", 1, 1_000, ms(60)), "quick");
    for number in 1..=2 {
        let starts = take_starts(fixture);
        assert_eq!(starts.len(), 1, "run {number}");
        crash(fixture, starts[0].0, number, &starts[0].1);
    }
    fixture.advance(ms(ABSENCE_MS));
    for agent in &mut fixture.agents {
        agent.offer.accepts = true;
    }
    fixture.advance(ms(40));
    take_starts(fixture);
}

/// Guards against a task that is started again after each crash, until no target is left.
#[test]
fn a_job_is_failed_after_its_second_crash_if_it_was_alone() {
    let mut fixture = fixture_of(4);
    let caller = fixture.submit(job("cause", 1, 1_000, ms(60)), "quick");
    for number in 1..=2 {
        assert_eq!(fixture.answer_to(caller), None);
        let starts = take_starts(&mut fixture);
        assert_eq!(starts.len(), 1, "run {number}");
        crash(&mut fixture, starts[0].0, number, &starts[0].1);
    }
    assert_eq!(fixture.answer_to(caller), Some(Answer::Failed));
    fixture.advance(ms(200));
    assert!(take_starts(&mut fixture).is_empty());
}

/// Guards against forgetting the crashes of a job when it is submitted again at another entry, to which
/// only agents tell of them.
#[test]
fn a_job_that_crashed_targets_for_another_entry_is_failed_on_submission() {
    let mut fixture = fixture_of(4);
    for agent in 0..2 {
        let task = bulrushlatch_dispatch::ids::TaskKey { job: "cause".into(), step: 0, index: 0 };
        let runs = vec![CrashedRun { task, ran_ms: 20 }];
        let notice = CrashNotice { crashes: vec![CrashRecord { number: 1, runs }] };
        let id = fixture.agents[agent].id.clone();
        fixture.entry.receive_crashes(fixture.now, &id, notice);
    }
    let caller = fixture.submit(job("cause", 1, 1_000, ms(60)), "quick");
    assert_eq!(fixture.answer_to(caller), Some(Answer::Failed));
    assert!(take_starts(&mut fixture).is_empty());
}

/// Guards against a refusal that says "not run" of a job which ran when it was submitted before, as its
/// entry on another VM can tell from the crash.
#[test]
fn a_job_that_was_at_a_crash_is_interrupted_and_not_refused() {
    let mut fixture = fixture_of(2);
    fixture.advance(ms(2_000));
    let runs = ["job-0", "job-1"].map(|job| {
        let task = bulrushlatch_dispatch::ids::TaskKey { job: job.into(), step: 0, index: 0 };
        CrashedRun { task, ran_ms: 20 }
    });
    let notice = CrashNotice { crashes: vec![CrashRecord { number: 1, runs: runs.to_vec() }] };
    let id = fixture.agents[0].id.clone();
    fixture.entry.receive_crashes(fixture.now, &id, notice);
    for agent in &mut fixture.agents {
        agent.offer.accepts = false;
    }
    fixture.advance(ms(40));
    let caller = fixture.submit(job("job-0", 1, 1_000, ms(60)), "quick");
    assert_eq!(fixture.answer_to(caller), Some(Answer::Interrupted));
    let caller = fixture.submit(job("job-2", 1, 1_000, ms(60)), "quick");
    assert!(matches!(fixture.answer_to(caller), Some(Answer::Refused { .. })));
}

/// Guards against jobs of other routes being lost with targets that the jobs of one route crash.
#[test]
fn a_route_whose_job_crashes_targets_shares_none_with_others() {
    let mut fixture = fixture_of(4);
    isolate_quick(&mut fixture);
    fixture.submit(job("quick-1", 1, 1_000, ms(60)), "quick");
    let isolated = take_starts(&mut fixture);
    assert_eq!(isolated.len(), 1);
    let mut others = Vec::new();
    for number in 0..12 {
        fixture.submit(job(&format!("slow-{number}"), 2, 1_000, ms(60)), "slow");
        others.extend(take_starts(&mut fixture));
    }
    assert_eq!(others.len(), 24);
    assert!(others.iter().all(|(agent, _)| *agent != isolated[0].0));
}

/// A job that cannot be started soon is refused at once and not held.
#[test]
fn a_job_of_an_isolated_route_is_refused_at_once_while_another_one_runs() {
    let mut fixture = fixture_of(4);
    isolate_quick(&mut fixture);
    fixture.submit(job("quick-1", 1, 1_000, ms(60)), "quick");
    assert_eq!(take_starts(&mut fixture).len(), 1);
    let caller = fixture.submit(job("quick-2", 1, 1_000, ms(60)), "quick");
    let answer = fixture.answer_to(caller);
    let Some(Answer::Refused { reason, retry_after }) = answer else { panic!("{answer:?}") };
    assert_eq!(reason, Refusal::Overloaded);
    assert!(retry_after >= ms(500), "{retry_after:?}");
}

/// Guards against an isolation that never ends, and against one that ends while no target was there to
/// show that the route is sound.
#[test]
fn isolation_ends_after_a_time_in_which_there_was_a_target() {
    let mut fixture = fixture_of(4);
    isolate_quick(&mut fixture);
    assert_eq!(fixture.entry.isolated_routes(), 1);
    for agent in &mut fixture.agents {
        agent.offer.accepts = false;
    }
    fixture.advance(ms(6_000));
    assert_eq!(fixture.entry.isolated_routes(), 1, "no target was there");
    for agent in &mut fixture.agents {
        agent.offer.accepts = true;
    }
    fixture.advance(ms(3_000));
    assert_eq!(fixture.entry.isolated_routes(), 0);
}

/// Guards against entries that isolate different routes, and against what an entry isolated that has
/// died since.
#[test]
fn what_another_entry_isolates_holds_here_until_its_notices_cease() {
    let mut fixture = fixture_of(4);
    let notice = IsolationNotice {
        services: ["service".to_owned()].into(),
        routes: ["quick".into()].into(),
    };
    fixture.entry.receive_isolation(fixture.now, 9, notice);
    fixture.submit(job("quick-1", 1, 1_000, ms(60)), "quick");
    assert_eq!(take_starts(&mut fixture).len(), 1);
    let caller = fixture.submit(job("quick-2", 1, 1_000, ms(60)), "quick");
    assert!(matches!(fixture.answer_to(caller), Some(Answer::Refused { .. })));
    fixture.advance(ISOLATION_NOTICE_LIFETIME + ms(40));
    let caller = fixture.submit(job("quick-3", 1, 1_000, ms(60)), "quick");
    assert_eq!(fixture.answer_to(caller), None);
    assert_eq!(take_starts(&mut fixture).len(), 1);
}

/// Agents of the previous build tell of no crashes; their runs are only lost.
#[test]
fn a_job_whose_runs_are_lost_again_and_again_is_given_up() {
    let mut fixture = fixture_of(4);
    let caller = fixture.submit(job("job", 1, 1_000, ms(60)), "quick");
    let mut runs = 0;
    while fixture.answer_to(caller).is_none() {
        let starts = take_starts(&mut fixture);
        assert_eq!(starts.len(), 1);
        runs += 1;
        let (agent, start) = &starts[0];
        let report = fixture.agents[*agent].report(start, RunOutcome::Lost, 20);
        fixture.receive_frame(*agent, vec![report]);
    }
    assert_eq!(fixture.answer_to(caller), Some(Answer::Interrupted));
    assert_eq!(runs, 5);
}

/// Guards against isolation that takes the only target of a service.
#[test]
fn a_service_with_one_target_goes_on_serving() {
    let mut fixture = fixture_of(1);
    // Until then, jobs are accepted without a target, since it may yet be found.
    fixture.advance(ms(2_000));
    let notice = IsolationNotice {
        services: ["service".to_owned()].into(),
        routes: ["quick".into()].into(),
    };
    fixture.entry.receive_isolation(fixture.now, 9, notice);
    fixture.submit(job("quick-1", 1, 1_000, ms(60)), "quick");
    fixture.submit(job("slow-1", 1, 1_000, ms(60)), "slow");
    assert_eq!(take_starts(&mut fixture).len(), 2);
}

/// Guards against isolated targets that all lie in a cordoned zone, where nothing starts.
#[test]
fn targets_in_cordoned_zones_are_not_chosen_for_isolated_jobs() {
    let mut fixture = fixture_of(4);
    isolate_quick(&mut fixture);
    fixture.submit(job("quick-1", 1, 1_000, ms(60)), "quick");
    let (isolated, start) = take_starts(&mut fixture).remove(0);
    let done = fixture.agents[isolated].report(&start, RunOutcome::Done, 60);
    fixture.agents[isolated].profile.zone = "b".to_owned();
    fixture.receive_frame(isolated, vec![done]);
    fixture.entry.update_cordons(fixture.now, "test", |cordons| {
        cordons.offset = 1;
        cordons.zones = ["b".to_owned()].into();
        true
    });
    fixture.advance(ms(40));
    fixture.submit(job("quick-2", 1, 1_000, ms(60)), "quick");
    let starts = take_starts(&mut fixture);
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].0, isolated);
}

#[test]
fn an_agent_without_a_target_keeps_its_place_among_the_isolated() {
    let mut fixture = fixture_of(4);
    isolate_quick(&mut fixture);
    fixture.submit(job("quick-1", 1, 1_000, ms(60)), "quick");
    let starts = take_starts(&mut fixture);
    crash(&mut fixture, starts[0].0, 9, &starts[0].1);
    let profile = std::mem::take(&mut fixture.agents[starts[0].0].profile);
    fixture.advance(ms(100));
    let caller = fixture.submit(job("quick-2", 1, 1_000, ms(60)), "quick");
    assert!(matches!(fixture.answer_to(caller), Some(Answer::Refused { .. })));
    fixture.agents[starts[0].0].profile = profile;
}
