//! Frames of version 5 that carry demand.

use bulrushlatch_dispatch::{
    demand::{ClassDemand, DemandStatement, DemandSummary},
    frame::{CORDON_FRAME_VERSION, DEMAND_FRAME_VERSION},
};
use bulrushlatch_node::link::Frame;

use super::{assert_recorded, assert_sent_since};

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
    assert_recorded(FRAMES_OF_VERSION_5, &frames());
}

#[test]
fn demand_is_not_sent_on_older_links() {
    assert_sent_since(DEMAND_FRAME_VERSION, &[3, CORDON_FRAME_VERSION], &frames());
}
