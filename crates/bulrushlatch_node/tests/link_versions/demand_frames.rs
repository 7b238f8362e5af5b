//! Frames of version 5 that carry demand.

use bulrushlatch_dispatch::{
    demand::{ClassDemand, DemandStatement, DemandSummary},
    frame::{CORDON_FRAME_VERSION, DEMAND_FRAME_VERSION, FrameVersion, Hello},
};
use bulrushlatch_node::link::Frame;
use tokio::task::LocalSet;

use super::{frames_received_by, from_hex, own_hello};

/// Frames as encoded by version 5: a name and the bytes in hexadecimal on each line.
const FRAMES_OF_VERSION_5: &str = include_str!("../data/demand-frames-v5.txt");

fn frames() -> [(&'static str, Frame); 4] {
    let class = |priority, offered_cpu_millis, waiting_cpu_millis| ClassDemand {
        priority,
        offered_cpu_millis,
        waiting_cpu_millis,
    };
    let classes = vec![class(0, 12_345, 0), class(2, 0, 7_200), class(u32::MAX, u64::MAX, 1)];
    let summary = DemandSummary { entries: 13, classes: classes.clone() };
    [
        ("demand", Frame::Demand(DemandStatement { classes })),
        ("demand-empty", Frame::Demand(DemandStatement::default())),
        ("demand-summary", Frame::DemandSummary(summary)),
        ("demand-summary-empty", Frame::DemandSummary(DemandSummary::default())),
    ]
}

#[test]
fn demand_is_encoded_and_decoded_as_recorded() {
    let mut lines = FRAMES_OF_VERSION_5.lines();
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
fn demand_is_not_sent_on_older_links() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let sent = || frames().map(|(_, frame)| frame).to_vec();
    let received_by = |newest_version: FrameVersion| {
        let peer = Hello { version: 3, newest_version, ..own_hello() };
        LocalSet::new().block_on(&runtime, frames_received_by(peer, sent()))
    };
    // The last frame carries addresses, which all versions have.
    assert_eq!(received_by(3).len(), 1);
    assert_eq!(received_by(CORDON_FRAME_VERSION).len(), 1);
    assert_eq!(received_by(DEMAND_FRAME_VERSION).len(), sent().len() + 1);
}
