//! Frames about delegated jobs.
//!
//! `data/frames-v5-delegation.txt` was written by the code of version 5 and is not to be changed.

use std::time::Duration;

use bulrushlatch_dispatch::{
    delegation::{DelegatedAnswer, DelegatedJob, DelegatedOutcome, DelegationFrame},
    frame::{Hello, NEWEST_FRAME_VERSION},
    outcome::{Answer, Refusal},
};
use bulrushlatch_node::link::Frame;
use tokio::task::LocalSet;

use crate::{frames_received_by, from_hex, own_hello};

/// Frames as encoded by version 5: a name and the bytes in hexadecimal on each line.
const FRAMES_OF_VERSION_5: &str = include_str!("../data/frames-v5-delegation.txt");

fn job() -> DelegatedJob {
    DelegatedJob {
        number: 300,
        version: 17,
        host: "shop.example".to_owned(),
        path: "/jobs/5c0e7a21d94b36f8".to_owned(),
        remaining_ms: Some(1_490),
        body: r#"{"spec":"x"}"#.to_owned(),
    }
}

fn answers() -> Vec<DelegatedAnswer> {
    let retry_after = Duration::from_millis(1_700);
    let outcomes = [
        DelegatedOutcome::NotTaken,
        DelegatedOutcome::Answered(Answer::Completed),
        DelegatedOutcome::Answered(Answer::Failed),
        DelegatedOutcome::Answered(Answer::Refused { reason: Refusal::Overloaded, retry_after }),
        DelegatedOutcome::Answered(Answer::Interrupted),
        DelegatedOutcome::Answered(Answer::NoRoute),
        DelegatedOutcome::Answered(Answer::Cancelled),
    ];
    (1..).zip(outcomes).map(|(number, outcome)| DelegatedAnswer { number, outcome }).collect()
}

fn frames() -> Vec<(&'static str, DelegationFrame)> {
    let empty = DelegationFrame {
        stamp_ms: 123_456_789,
        stamp_echo_ms: 987_654,
        max_jobs_per_s: 420,
        ..DelegationFrame::default()
    };
    let without_deadline = DelegatedJob { remaining_ms: None, ..job() };
    vec![
        ("delegation-reply", empty.clone()),
        ("delegation-offer", DelegationFrame { zone: "a".to_owned(), ..empty.clone() }),
        ("delegation-question", DelegationFrame { wants_reply: true, ..empty.clone() }),
        (
            "delegation-jobs",
            DelegationFrame { jobs: vec![job(), without_deadline], ..empty.clone() },
        ),
        ("delegation-cancelled", DelegationFrame { cancelled: vec![1, 300], ..empty.clone() }),
        ("delegation-answers", DelegationFrame { answers: answers(), ..empty }),
    ]
}

#[test]
fn frames_about_delegated_jobs_keep_their_encoding() {
    let recorded: Vec<&str> = FRAMES_OF_VERSION_5.lines().collect();
    assert_eq!(recorded.len(), frames().len(), "every frame is recorded");
    for (line, (name, frame)) in recorded.into_iter().zip(frames()) {
        let (recorded_name, hex) = line.rsplit_once(' ').expect("a name and bytes");
        assert_eq!(recorded_name, name);
        let encoded = Frame::Delegation(frame.clone()).encode().expect("a frame");
        assert_eq!(encoded, from_hex(hex), "{name}");
        let decoded = Frame::decode(&from_hex(hex)).expect("a frame");
        assert!(matches!(decoded, Frame::Delegation(decoded) if decoded == frame), "{name}");
    }
}

/// Guards against a link that the previous build closes because it cannot decode a frame.
#[test]
fn frames_about_delegated_jobs_are_left_out_on_older_links() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        for (newest_version, expected) in [(3, 1), (4, 1), (NEWEST_FRAME_VERSION, 2)] {
            let peer = Hello { version: 3, newest_version, ..own_hello() };
            let frame = Frame::Delegation(frames().remove(0).1);
            let received = frames_received_by(peer, vec![frame]).await;
            assert_eq!(received.len(), expected, "version {newest_version}");
        }
    });
}
