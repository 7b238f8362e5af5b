//! Frames that no entry of this project sends. The jobs in them are lost, so that the link is given up
//! and both ends know it.

use bulrushlatch_dispatch::{
    delegation::{
        DelegatedAnswer, DelegatedOutcome, DelegationFrame, DelegationNumber,
        MAX_DELEGATED_BODY_BYTES, MAX_FRAME_ITEMS,
    },
    outcome::Answer,
};

use crate::{
    INTERRUPTED,
    fixture::{LINK, Pair, delegated_job, job_id},
    support::ms,
};

const ITEMS: DelegationNumber = MAX_FRAME_ITEMS as DelegationNumber;

fn invalid_frames(pair: &Pair) -> Vec<(&'static str, DelegationFrame)> {
    let now_ms = pair.now_ms();
    let valid = DelegationFrame { stamp_echo_ms: now_ms, ..DelegationFrame::default() };
    let job = |number| delegated_job(number, "job");
    let mut large = delegated_job(1, "job");
    large.body = "x".repeat(MAX_DELEGATED_BODY_BYTES + 1);
    let answer = |number| DelegatedAnswer { number, outcome: DelegatedOutcome::NotTaken };
    vec![
        (
            "echo from the future",
            DelegationFrame { stamp_echo_ms: now_ms + 1_000, ..valid.clone() },
        ),
        ("offer", DelegationFrame { max_jobs_per_s: u32::MAX, ..valid.clone() }),
        ("jobs", DelegationFrame { jobs: (0..=ITEMS).map(job).collect(), ..valid.clone() }),
        ("cancellations", DelegationFrame { cancelled: (0..=ITEMS).collect(), ..valid.clone() }),
        (
            "answers",
            DelegationFrame { answers: (0..=ITEMS).map(answer).collect(), ..valid.clone() },
        ),
        ("body", DelegationFrame { jobs: vec![large], ..valid.clone() }),
        ("two jobs of a number", DelegationFrame { jobs: vec![job(7), job(7)], ..valid }),
    ]
}

/// Guards against memory and time that a frame takes without bound, and against a link that is used on
/// though frames on it are not understood.
#[test]
fn an_invalid_frame_is_dropped_and_counted_and_its_link_closed() {
    for number in 0..invalid_frames(&Pair::new(0.1, 0.1)).len() {
        let mut pair = Pair::new(0.1, 0.1);
        pair.advance(ms(1_000));
        let (name, frame) = invalid_frames(&pair).swap_remove(number);
        pair.deliver_to_delegate(LINK, frame);
        assert_eq!(pair.delegate.delegation_counters().invalid, 1, "{name}");
        assert_eq!(pair.delegate.take_broken_links(), [LINK], "{name}");
        assert_eq!(pair.delegate.open_jobs(), 0, "{name}");
        pair.deliver_job("later", pair.now_ms());
        assert_eq!(pair.delegate.open_jobs(), 0, "{name}: the link is not used again");
    }
}

/// Guards against a job of the origin that runs on after a frame was dropped which may have cancelled it.
#[test]
fn an_invalid_frame_ends_the_jobs_of_its_origin() {
    let mut pair = Pair::loaded();
    pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(100));
    let frame = DelegationFrame { max_jobs_per_s: u32::MAX, ..DelegationFrame::default() };
    pair.deliver_to_delegate(LINK, frame);
    pair.exchange();
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert_eq!(pair.delegate.take_broken_links(), [LINK]);
}

/// Guards against a caller that waits for an answer which was in a dropped frame.
#[test]
fn an_invalid_frame_of_a_delegate_interrupts_the_jobs_there() {
    let mut pair = Pair::loaded();
    let caller = pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(100));
    let frame = DelegationFrame { max_jobs_per_s: u32::MAX, ..DelegationFrame::default() };
    assert!(pair.origin.receive_delegation(pair.now, LINK, frame).is_empty());
    pair.exchange();
    assert_eq!(pair.outcome_of(caller), Some(INTERRUPTED));
    assert_eq!(pair.broken_links, [LINK]);
    assert_eq!(pair.try_delegate("next"), None, "the link is not used again");
}

/// Guards against two jobs with one caller: a peer that numbers two open jobs alike.
#[test]
fn a_number_that_is_in_use_ends_the_jobs_of_its_origin() {
    let mut pair = Pair::loaded();
    pair.delegate("job").expect("the origin is overloaded");
    pair.advance(ms(100));
    pair.deliver_job("another", pair.now_ms());
    assert_eq!(pair.delegate.delegation_counters().invalid, 1);
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate_agent.stops(), 1);
    assert_eq!(pair.delegate.take_broken_links(), [LINK]);
}

/// Guards against an origin that delegates far more than it was offered.
#[test]
fn no_more_jobs_of_a_frame_are_taken_than_were_offered() {
    let mut pair = Pair::loaded();
    let job = |number| delegated_job(number, &format!("job-{number}"));
    let jobs = (1..=ITEMS).map(job).collect();
    let frame = DelegationFrame { stamp_echo_ms: pair.now_ms(), jobs, ..Default::default() };
    pair.deliver_to_delegate(LINK, frame);
    let counters = pair.delegate.delegation_counters();
    assert!((1..=20).contains(&counters.accepted), "{counters:?}");
    assert_eq!(counters.accepted + counters.refused, ITEMS);
    assert_eq!(pair.delegate.state(&job_id("job-1")), Answer::Running);
}

/// Guards against a link that is given up because more callers than a frame has room for left at once,
/// and against a proof that reaches the delegate before the last of the cancellations.
#[test]
fn cancellations_beyond_the_limit_go_into_further_frames() {
    let mut pair = Pair::loaded();
    let mut callers = Vec::new();
    while callers.len() <= MAX_FRAME_ITEMS {
        pair.advance(ms(10));
        callers.extend(pair.delegate(&format!("job-{}", callers.len())));
    }
    let now = pair.now;
    for &caller in &callers {
        pair.origin.caller_gone(now, caller);
    }
    let frames = pair.origin.delegation_frames(now);
    let cancelled = frames.iter().map(|(_, frame)| frame.cancelled.len());
    assert_eq!(cancelled.collect::<Vec<_>>(), [MAX_FRAME_ITEMS, 1]);
    assert_eq!(frames[0].1.stamp_echo_ms, 0);
    for (link, frame) in frames {
        pair.deliver_to_delegate(link, frame);
    }
    assert_eq!(pair.delegate.open_jobs(), 0);
    assert_eq!(pair.delegate.delegation_counters().invalid, 0);
}
