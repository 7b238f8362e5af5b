//! Tests of jobs that one entry has another one carry out: decisions, and each failure by itself.

mod conflicts;
mod failures;
mod fixture;
mod invalid_frames;
mod load;
mod offers;
#[path = "../support/mod.rs"]
mod support;

use bulrushlatch_dispatch::{
    delegation::DelegatedOutcome,
    outcome::{Answer, Refusal, RunOutcome},
};

use self::{
    fixture::{Pair, job_id},
    support::ms,
};

const INTERRUPTED: DelegatedOutcome = DelegatedOutcome::Answered(Answer::Interrupted);
const COMPLETED: DelegatedOutcome = DelegatedOutcome::Answered(Answer::Completed);

#[test]
fn the_answer_to_a_delegated_job_is_passed_on() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    assert_eq!(pair.origin.open_jobs(), 1);
    pair.run_starts(RunOutcome::Done);
    assert_eq!(pair.outcome_of(caller), Some(COMPLETED));
    assert_eq!(pair.origin.open_jobs(), 0);
    let (sent, taken) = (pair.origin.delegation_counters(), pair.delegate.delegation_counters());
    assert_eq!((sent.delegated, taken.accepted), (1, 1));
}

/// Guards against an answer that is dropped because it is late.
#[test]
fn a_late_answer_is_passed_on() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(3_000));
    pair.run_starts(RunOutcome::Done);
    assert_eq!(pair.outcome_of(caller), Some(COMPLETED));
}

#[test]
fn a_second_caller_of_a_delegated_job_gets_the_same_answer() {
    let mut pair = Pair::loaded();
    let first = pair.delegate("job").expect("the origin is overloaded");
    let second = pair.try_delegate("job").expect("the job is open");
    pair.run_starts(RunOutcome::Done);
    assert_eq!(
        (pair.outcome_of(first), pair.outcome_of(second)),
        (Some(COMPLETED), Some(COMPLETED))
    );
    assert_eq!(pair.delegate.delegation_counters().accepted, 1, "the job was sent once");
}

/// Guards against a second run of a job that is open or answered at the origin.
#[test]
fn a_job_that_is_known_at_the_origin_is_not_delegated() {
    let mut pair = Pair::loaded();
    pair.submit_at_origin("own");
    assert_eq!(pair.try_delegate("own"), None);
}

#[test]
fn a_job_whose_caller_has_left_is_stopped_at_the_delegate() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(20));
    let now = pair.now;
    pair.origin.caller_gone(now, caller);
    pair.advance(ms(10));
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert_eq!(pair.outcome_of(caller), None);
}

#[test]
fn a_delegated_job_can_be_cancelled_and_its_state_read() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(20));
    assert_eq!(pair.origin.state(&job_id("job")), Answer::Running);
    let now = pair.now;
    assert!(pair.origin.cancel(now, &job_id("job")));
    pair.advance(ms(10));
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert_eq!(pair.outcome_of(caller), Some(DelegatedOutcome::Answered(Answer::Cancelled)));
}

#[test]
fn an_idle_site_delegates_nothing() {
    let mut pair = Pair::new(0.3, 0.3);
    pair.advance(ms(3_000));
    assert_eq!(pair.try_delegate("job"), None);
    assert_eq!(pair.frames_asking, 0, "no frames beside the advertisements");
}

/// Guards against a job that travels from entry to entry: the delegate is itself above the threshold,
/// and has an idle peer, but carries out the job.
#[test]
fn a_delegated_job_is_not_delegated_again() {
    let mut pair = Pair::new(0.1, 0.8);
    pair.open_back_link();
    pair.advance(ms(2_000));
    assert!(pair.delegate.delegated_share() > 0.1, "it delegates its own callers' jobs");
    pair.deliver_job("job", pair.now_ms());
    assert_eq!(pair.delegate_agent.take_starts().len(), 1);
    assert_eq!(pair.delegate.delegation_counters().delegated, 0);
}

#[test]
fn an_entry_that_shuts_down_delegates_new_jobs() {
    let mut pair = Pair::new(0.1, 0.1);
    pair.advance(ms(400));
    assert_eq!(pair.try_delegate("before"), None);
    pair.origin.begin_shutdown();
    pair.advance(ms(100));
    let caller = pair.try_delegate("after").expect("a peer takes it");
    pair.advance(ms(10));
    pair.run_starts(RunOutcome::Done);
    assert_eq!(pair.outcome_of(caller), Some(COMPLETED));
}

/// Guards against a job that is delegated when its answer can no longer be passed on.
#[test]
fn an_entry_that_stops_refuses_new_jobs() {
    let mut pair = Pair::new(0.1, 0.1);
    pair.advance(ms(400));
    pair.origin.begin_shutdown();
    pair.advance(ms(100));
    pair.origin.stop_accepting();
    let now = pair.now;
    pair.origin.give_up_open_jobs(now);
    assert_eq!(pair.try_delegate("late"), None);
    pair.submit_at_origin("late");
    let answers = pair.origin.take_answers();
    assert!(matches!(answers[..], [(_, Answer::Refused { reason: Refusal::ShuttingDown, .. })]));
}

/// Guards against jobs that both entries give up: an answer of the delegate that a job was not taken
/// must come before any run, so that the origin can carry it out.
#[test]
fn jobs_that_the_delegate_does_not_take_are_handed_back() {
    type Change = fn(&mut Pair);
    let changes: [(&str, Change); 4] = [
        ("shutting down", |pair| pair.delegate.begin_shutdown()),
        ("busy", |pair| pair.set_delegate_busy(1.0)),
        ("long queue", |pair| {
            (0..20).for_each(|_| {
                pair.delegate.record_processor_load(ms(20), ms(0), ms(500));
            });
        }),
        ("older configuration", Pair::configure_origin),
    ];
    for (name, change) in changes {
        let mut pair = Pair::loaded();
        change(&mut pair);
        let caller = pair.try_delegate("job").expect("the offer still holds");
        pair.advance(ms(10));
        assert_eq!(pair.outcome_of(caller), Some(DelegatedOutcome::NotTaken), "{name}");
        assert!(pair.delegate_agent.take_starts().is_empty(), "{name}");
        assert_eq!(pair.delegate.delegation_counters().refused, 1, "{name}");
        assert_eq!(pair.try_delegate("next"), None, "{name}: not asked again at once");
    }
}

#[test]
fn jobs_accepted_before_a_shutdown_are_finished() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(10));
    pair.delegate.begin_shutdown();
    pair.advance(ms(300));
    pair.run_starts(RunOutcome::Done);
    assert_eq!(pair.outcome_of(caller), Some(COMPLETED));
}
