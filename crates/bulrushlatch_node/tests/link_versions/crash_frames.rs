//! Frames of version 6 that carry crashes of targets.

use bulrushlatch_dispatch::{
    crash::{CrashNotice, CrashRecord, CrashedRun, IsolationNotice},
    frame::{CRASH_FRAME_VERSION, DEMAND_FRAME_VERSION},
    ids::TaskKey,
};
use bulrushlatch_node::link::Frame;

use super::{assert_recorded, assert_sent_since};

/// Frames as encoded by version 6: a name and the bytes in hexadecimal on each line.
const FRAMES_OF_VERSION_6: &str = include_str!("../data/crash-frames-v6.txt");

fn frames() -> [(&'static str, Frame); 4] {
    let task = TaskKey { job: "5c0e7a21d94b36f8".into(), step: 1, index: 17 };
    let runs = vec![CrashedRun { task, ran_ms: 1_234 }];
    let crashes = vec![CrashRecord { number: 7, runs }, CrashRecord { number: 8, runs: vec![] }];
    let isolation = IsolationNotice {
        services: ["service".to_owned()].into(),
        routes: ["first".into(), "second".into()].into(),
    };
    [
        ("crashes", Frame::Crashes(CrashNotice { crashes })),
        ("crashes-empty", Frame::Crashes(CrashNotice::default())),
        ("isolation", Frame::Isolation(isolation)),
        ("isolation-empty", Frame::Isolation(IsolationNotice::default())),
    ]
}

#[test]
fn crashes_are_encoded_and_decoded_as_recorded() {
    assert_recorded(FRAMES_OF_VERSION_6, &frames());
}

#[test]
fn crashes_are_not_sent_on_older_links() {
    assert_sent_since(CRASH_FRAME_VERSION, &[3, DEMAND_FRAME_VERSION], &frames());
}
