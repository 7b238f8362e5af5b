//! Jobs that are submitted while they are open for a caller elsewhere. A run is bound to the life of
//! one origin, so that such callers cannot share one.

use bulrushlatch_dispatch::{entry::Submission, outcome::Answer};

use crate::{
    INTERRUPTED,
    fixture::{Pair, job_id},
    support::{job, ms, route},
};

/// Guards against a second run of a job that the delegate runs: its caller submitted it again with a body
/// that is too large to be delegated, so that it was not attached.
#[test]
fn a_job_submitted_where_it_is_open_as_a_delegated_one_ends() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(100));
    pair.submit_at_origin("job");
    assert!(matches!(pair.origin.take_answers()[..], [(_, Answer::Interrupted)]));
    assert_eq!(pair.origin.open_jobs(), 0);
    pair.advance(ms(10));
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert!(pair.origin_agent.take_starts().is_empty());
}

/// Guards against runs that two entries' callers share: they would be stopped only by the life of the
/// origin that delegated the job, while the delegate's own caller waits for them.
#[test]
fn an_own_caller_ends_a_job_that_is_open_for_another_entry() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(100));
    let own_caller = 1_000;
    let submission = Submission {
        caller: own_caller,
        route: route("quick").into(),
        request: job("job", 1, 1_000, ms(100)),
        remaining_time: None,
    };
    pair.delegate.submit(pair.now, submission);
    assert_eq!(pair.delegate.take_answers(), [(own_caller, Answer::Interrupted)]);
    pair.advance(ms(10));
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
}

/// Guards against the answer that a job has not run while a delegate runs it.
#[test]
fn a_delegated_job_is_not_refused_for_lack_of_processor_time() {
    let mut pair = Pair::loaded();
    pair.delegate("job").expect("the origin is overloaded");
    pair.origin.set_overload_control(false);
    // Long enough for the jobs of any route to be refused.
    pair.origin.record_processor_load(ms(20), ms(20), ms(500));
    let route = route("quick");
    assert!(pair.origin.refuse_for_overload(&route, "other").is_some());
    assert_eq!(pair.origin.refuse_for_overload(&route, &job_id("job")), None);
}
