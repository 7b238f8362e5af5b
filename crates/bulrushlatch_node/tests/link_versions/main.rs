//! Frames that builds of different versions exchange.
//!
//! `data/frames-v3.txt` was written by the code of version 3 and is not to be changed; the same
//! applies to `data/demand-frames-v5.txt` and version 5.

mod crash_frames;
mod delegation;
mod demand_frames;
mod samples;

use bulrushlatch_dispatch::{
    cordon::{CordonNotice, Cordons},
    frame::{FrameVersion, Hello, NEWEST_FRAME_VERSION, OLDEST_FRAME_VERSION, Role},
    ids::ProcessId,
};
use bulrushlatch_node::link::{self, Frame};
use tokio::{net::TcpListener, task::LocalSet};

/// Frames as encoded by version 3: a name and the bytes in hexadecimal on each line.
const FRAMES_OF_VERSION_3: &str = include_str!("../data/frames-v3.txt");

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("a byte in hexadecimal")
    });
    bytes.collect()
}

fn own_hello() -> Hello {
    let process = ProcessId { name: "vm-1".to_owned(), incarnation: 3 };
    Hello::new(process, Role::Agent, None)
}

#[test]
fn frames_of_version_3_are_decoded() {
    let mut count = 0;
    for (line, (name, frame)) in FRAMES_OF_VERSION_3.lines().zip(samples::frames()) {
        let (recorded_name, hex) = line.rsplit_once(' ').expect("a name and bytes");
        assert_eq!(recorded_name, name);
        let decoded = Frame::decode(&from_hex(hex)).expect("a frame");
        assert_eq!(format!("{decoded:?}"), format!("{frame:?}"), "{name}");
        count += 1;
    }
    assert_eq!(count, samples::frames().len(), "every frame is recorded");
}

/// The hello alone has bytes that version 3 does not know; it ignores what follows its fields.
#[test]
fn frames_are_encoded_as_version_3_encodes_them() {
    for (line, (name, frame)) in FRAMES_OF_VERSION_3.lines().zip(samples::frames()) {
        let (_, hex) = line.rsplit_once(' ').expect("a name and bytes");
        let (recorded, encoded) = (from_hex(hex), frame.encode().expect("a frame"));
        if matches!(frame, Frame::Hello(_)) {
            assert_eq!(encoded[..recorded.len()], recorded, "{name}");
        } else {
            assert_eq!(encoded, recorded, "{name}");
        }
    }
}

/// Checks that frames are encoded and decoded as recorded: a name and the bytes in hexadecimal on each
/// line.
fn assert_recorded(recorded: &str, frames: &[(&str, Frame)]) {
    let mut lines = recorded.lines();
    for (name, frame) in frames {
        let (recorded_name, hex) = lines.next().and_then(|line| line.split_once(' ')).expect(name);
        assert_eq!(recorded_name, *name);
        assert_eq!(frame.encode().expect("a frame"), from_hex(hex), "{name}");
        let decoded = Frame::decode(&from_hex(hex)).expect("a frame");
        assert_eq!(format!("{decoded:?}"), format!("{frame:?}"), "{name}");
    }
    assert_eq!(lines.next(), None, "every record is compared");
}

/// Checks that frames are sent from `since` on, and not to processes whose newest version is one of
/// `older`: the previous build closes a link on which a frame arrives that it cannot decode.
fn assert_sent_since(since: FrameVersion, older: &[FrameVersion], frames: &[(&str, Frame)]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let received_by = |newest_version: FrameVersion| {
        let peer = Hello { version: 3, newest_version, ..own_hello() };
        let frames = frames.iter().map(|(_, frame)| frame.clone()).collect();
        LocalSet::new().block_on(&runtime, frames_received_by(peer, frames)).len()
    };
    // The last frame carries addresses, which all versions have.
    for &version in older {
        assert_eq!(received_by(version), 1, "version {version}");
    }
    assert_eq!(received_by(since), frames.len() + 1);
}

#[test]
fn newest_common_version_is_agreed_on() {
    let common =
        |version, newest_version| Hello { version, newest_version, ..own_hello() }.common_version();
    assert_eq!(common(3, 3), Some(3), "the previous build");
    assert_eq!(own_hello().common_version(), Some(NEWEST_FRAME_VERSION));
    assert_eq!(common(OLDEST_FRAME_VERSION, NEWEST_FRAME_VERSION + 5), Some(NEWEST_FRAME_VERSION));
    assert_eq!(common(2, 2), None, "a build before the previous one");
    assert_eq!(common(NEWEST_FRAME_VERSION + 1, NEWEST_FRAME_VERSION + 1), None);
}

#[test]
fn hello_tells_the_newest_version() {
    let encoded = Frame::Hello(own_hello()).encode().expect("a frame");
    let decoded = Frame::decode(&encoded).expect("a frame");
    assert!(matches!(decoded, Frame::Hello(hello) if hello == own_hello()));
}

fn cordons() -> Frame {
    let zones = ["a".to_owned()].into();
    Frame::Cordons(CordonNotice { cordons: Cordons { offset: 7, zones }, is_current: true })
}

/// Returns the frames that arrive at a process of `peer`'s versions when a process of this build
/// sends `frames` and then addresses.
async fn frames_received_by(peer: Hello, frames: Vec<Frame>) -> Vec<Frame> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, mut receiver) = link::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let (peer_sender, mut peer_receiver) = link::from_stream(stream);
    peer_sender.send(Frame::Hello(peer));
    let timeout = std::time::Duration::from_secs(10);
    receiver.receive_hello(&sender, timeout).await.expect("a common version");
    assert!(frames.into_iter().all(|frame| sender.send(frame)));
    assert!(sender.send(Frame::Entries(Vec::new())));
    let mut received = Vec::new();
    while !matches!(received.last(), Some(Frame::Entries(_))) {
        received.push(peer_receiver.receive().await.expect("a frame"));
    }
    received
}

#[test]
fn process_of_version_3_receives_no_frame_that_it_cannot_decode() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let old = Hello { version: 3, newest_version: 3, ..own_hello() };
        assert_eq!(frames_received_by(old, vec![cordons()]).await.len(), 1);
        assert_eq!(frames_received_by(own_hello(), vec![cordons()]).await.len(), 2);
    });
}

/// Guards against a process that ends because of a frame that cannot be decoded.
#[test]
fn damaged_frames_are_decoded_or_rejected() {
    let mut random = fastrand::Rng::with_seed(1);
    for (name, frame) in samples::frames() {
        let bytes = frame.encode().expect("a frame");
        for length in 0..bytes.len() {
            let mut damaged = bytes[..length].to_vec();
            let _ = Frame::decode(&damaged);
            damaged.extend((length..bytes.len()).map(|_| random.u8(..)));
            let _ = Frame::decode(&damaged);
        }
        assert!(Frame::decode(&[]).is_err(), "{name}");
    }
}
