//! Heartbeats on links that are not in use.

use bulrushlatch_dispatch::{
    frame::{EntryFrame, NEWEST_FRAME_VERSION, OLDEST_FRAME_VERSION},
    ids::LinkId,
};

use super::fixture::{AgentFixture, MIN_FRAME_INTERVAL, entry, ms, timing};

/// Returns how many frames the agent sends in 10 s on a link that is not in use.
fn idle_frames_in_10_s(version: u32) -> usize {
    let mut fixture = AgentFixture::new();
    let link: LinkId = 2;
    fixture.agent.link_up(fixture.now, entry(), link, version);
    let frame = EntryFrame {
        stamp_echo_ms: fixture.now.as_millis() as u64,
        reports_seen: 0,
        is_in_use: false,
        orders: Vec::new(),
    };
    fixture.agent.receive(fixture.now, &entry(), link, frame);
    fixture.agent.frames(fixture.now, MIN_FRAME_INTERVAL);
    let mut frames = 0;
    for _ in 0..2_000 {
        fixture.now += ms(5);
        frames += fixture.agent.frames(fixture.now, MIN_FRAME_INTERVAL).len();
    }
    frames
}

/// A build of version 3 replaces an idle link after 1.4 s of silence, and passes over an agent that has
/// been silent for 0.93 s.
#[test]
fn idle_link_to_the_previous_build_has_the_heartbeats_that_it_expects() {
    let expected =
        ms(10_000).as_millis() / timing().idle_heartbeat(OLDEST_FRAME_VERSION).as_millis();
    assert!(timing().idle_heartbeat(OLDEST_FRAME_VERSION) <= ms(468));
    assert!(idle_frames_in_10_s(OLDEST_FRAME_VERSION) as u128 + 1 >= expected);
}

/// Nearly all links of a large site are not in use.
#[test]
fn idle_link_of_this_build_has_few_heartbeats() {
    assert!(idle_frames_in_10_s(NEWEST_FRAME_VERSION) <= 8);
}
