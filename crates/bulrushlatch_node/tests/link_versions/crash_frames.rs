//! Frames of version 6 that carry crashes of targets.

use bulrushlatch_dispatch::{
    crash::{CrashNotice, CrashRecord, CrashedRun, IsolationNotice},
    frame::{CRASH_FRAME_VERSION, DEMAND_FRAME_VERSION, FrameVersion, Hello},
    ids::TaskKey,
};
use bulrushlatch_node::link::Frame;
use tokio::task::LocalSet;

use super::{frames_received_by, from_hex, own_hello};

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
    let mut lines = FRAMES_OF_VERSION_6.lines();
    for (name, frame) in frames() {
        let (recorded_name, hex) = lines.next().and_then(|line| line.split_once(' ')).expect(name);
        assert_eq!(recorded_name, name);
        assert_eq!(frame.encode().expect("a frame"), from_hex(hex), "{name}");
        let decoded = Frame::decode(&from_hex(hex)).expect("a frame");
        assert_eq!(format!("{decoded:?}"), format!("{frame:?}"), "{name}");
    }
    assert_eq!(lines.next(), None, "every record is compared");
}

/// The previous build closes a link on which a frame arrives that it cannot decode.
#[test]
fn crashes_are_not_sent_on_older_links() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let sent = || frames().map(|(_, frame)| frame).to_vec();
    let received_by = |newest_version: FrameVersion| {
        let peer = Hello { version: 3, newest_version, ..own_hello() };
        LocalSet::new().block_on(&runtime, frames_received_by(peer, sent()))
    };
    // The last frame carries addresses, which all versions have.
    assert_eq!(received_by(DEMAND_FRAME_VERSION).len(), 1);
    assert_eq!(received_by(CRASH_FRAME_VERSION).len(), sent().len() + 1);
}
