//! Each failure of an origin, a delegate or the link between them by itself.

use bulrushlatch_dispatch::{
    delegation::DelegationFrame,
    outcome::{Answer, RunOutcome},
};

use crate::{
    INTERRUPTED,
    fixture::{LINK, Pair, delegated_job, job_id},
    support::{ms, timing},
};

/// Returns a pair with a delegated job whose run has started.
fn running() -> (Pair, u64) {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(100));
    assert_eq!(pair.delegate.open_jobs(), 1);
    (pair, caller)
}

/// Guards against a run that outlasts `resend_after`: the caller of a dead origin submits its job
/// elsewhere.
#[test]
fn runs_of_a_silent_origin_are_stopped_and_its_life_not_claimed() {
    let (mut pair, _) = running();
    pair.is_origin_frozen = true;
    let last_life_ms = pair.now_ms();
    pair.advance(timing().contact_limit / 2 + ms(30));
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert_eq!(pair.delegate.delegation_counters().abandoned, 1);
    pair.advance(ms(600));
    assert!(pair.echo_ms <= last_life_ms, "{} echoed after {last_life_ms}", pair.echo_ms);
}

/// Guards against a lease that is renewed for a run whose stop gets lost: an origin that was suspended
/// for a short time lives on, but its caller has gone.
#[test]
fn later_proofs_do_not_count_for_runs_of_a_job_given_up() {
    let (mut pair, _) = running();
    pair.is_origin_frozen = true;
    let last_life_ms = pair.now_ms();
    pair.advance(ms(180));
    pair.is_origin_frozen = false;
    pair.advance(ms(1_000));
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert!(pair.echo_ms <= last_life_ms, "{} echoed after {last_life_ms}", pair.echo_ms);
}

/// Guards against an entry that its agents stop listening to after an origin has failed.
#[test]
fn echoes_go_on_once_the_runs_of_a_silent_origin_are_over() {
    let (mut pair, _) = running();
    pair.is_origin_frozen = true;
    pair.advance(ms(300));
    pair.run_starts(RunOutcome::Stopped);
    pair.advance(ms(100));
    assert!(pair.echo_ms + 100 > pair.now_ms(), "{} at {}", pair.echo_ms, pair.now_ms());
}

#[test]
fn echoes_to_other_agents_go_on_after_an_origin_has_failed() {
    let mut pair = Pair::loaded();
    pair.is_origin_frozen = true;
    pair.advance(ms(250));
    assert!(pair.echo_ms + 100 > pair.now_ms(), "{} at {}", pair.echo_ms, pair.now_ms());
}

/// Guards against a run whose agent has been told that the delegate lived after the origin had died:
/// it would count the time until it stops the run from that stamp.
#[test]
fn a_run_starts_only_where_no_newer_stamp_was_echoed() {
    let mut pair = Pair::new(0.1, 0.1);
    pair.advance(ms(1_000));
    let proof_ms = pair.now_ms() - 70;
    assert!(pair.echo_ms > proof_ms, "the agent knows a newer stamp");
    pair.deliver_job("job", proof_ms);
    assert_eq!(pair.delegate.delegation_counters().accepted, 1);
    assert!(pair.delegate_agent.take_starts().is_empty(), "the proof is too old for this agent");
    let now_ms = pair.now_ms();
    let frame = DelegationFrame { stamp_echo_ms: now_ms, ..DelegationFrame::default() };
    pair.deliver_to_delegate(LINK, frame);
    pair.delegate.tick(pair.now);
    pair.exchange();
    assert_eq!(pair.delegate_agent.take_starts().len(), 1);
}

#[test]
fn jobs_at_a_silent_delegate_are_interrupted_and_the_link_is_closed() {
    let (mut pair, caller) = running();
    pair.is_delegate_frozen = true;
    pair.advance(timing().contact_limit / 2 - ms(50));
    assert_eq!(pair.outcome_of(caller), None);
    pair.advance(ms(100));
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.broken_links, [LINK]);
    assert_eq!(pair.origin.delegation_counters().interrupted, 1);
}

#[test]
fn a_silent_link_ends_the_job_at_both_ends() {
    let (mut pair, caller) = running();
    pair.is_link_silent = true;
    pair.advance(ms(220));
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
}

#[test]
fn a_lost_link_ends_the_job_at_both_ends() {
    let (mut pair, caller) = running();
    pair.origin.peer_down(pair.now, LINK);
    pair.delegate.peer_down(pair.now, LINK);
    pair.exchange();
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
}

/// Guards against callers that wait for an origin which no longer knows whether the delegate lives.
#[test]
fn a_suspended_origin_interrupts_its_delegated_jobs() {
    let (mut pair, caller) = running();
    pair.now += timing().contact_limit + ms(10);
    pair.origin.tick(pair.now);
    pair.exchange();
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.broken_links, [LINK]);
}

#[test]
fn a_suspended_delegate_gives_up_the_jobs_of_others() {
    let (mut pair, caller) = running();
    pair.now += timing().contact_limit + ms(10);
    pair.delegate.tick(pair.now);
    assert_eq!(pair.delegate.open_jobs(), 0);
    pair.exchange();
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
}

/// Guards against a job that was held up in the network: its caller may have gone elsewhere.
#[test]
fn a_job_with_an_old_proof_is_not_taken() {
    let mut pair = Pair::loaded();
    pair.try_delegate("job").expect("the origin is overloaded");
    let held_up = pair.origin.delegation_frames(pair.now);
    pair.is_link_silent = true;
    pair.advance(timing().contact_limit / 4 + ms(20));
    pair.is_link_silent = false;
    for (link, frame) in held_up {
        pair.deliver_to_delegate(link, frame);
    }
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate.delegation_counters().refused, 1);
}

/// Guards against a job without a caller that runs to its end: its cancellation reached the delegate
/// with the job, and was handled before it.
#[test]
fn a_job_whose_caller_leaves_before_its_frame_is_sent_does_not_start() {
    let mut pair = Pair::loaded();
    let caller = pair.try_delegate("job").expect("the origin is overloaded");
    let now = pair.now;
    pair.origin.caller_gone(now, caller);
    for (_, frame) in pair.origin.delegation_frames(now) {
        assert!(frame.jobs.is_empty() && frame.cancelled.is_empty(), "{frame:?}");
    }
    pair.advance(ms(20));
    assert_eq!(pair.origin.open_jobs(), 0);
    assert!(pair.delegate_agent.take_starts().is_empty());
}

/// Guards against the same from an origin that sends both.
#[test]
fn a_job_that_its_own_frame_cancels_does_not_start() {
    let mut pair = Pair::loaded();
    let frame = DelegationFrame {
        stamp_echo_ms: pair.now_ms(),
        jobs: vec![delegated_job(1, "cancelled"), delegated_job(2, "other")],
        cancelled: vec![1],
        ..DelegationFrame::default()
    };
    pair.deliver_to_delegate(LINK, frame);
    assert_eq!(pair.delegate.state(&job_id("cancelled")), Answer::UnknownJob);
    assert_eq!(pair.delegate.state(&job_id("other")), Answer::Running);
}
