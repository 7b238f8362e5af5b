//! One frame of each kind and with each variant, as processes of version 3 exchange them.

use bulrushlatch_dispatch::{
    configuration_transfer::{PieceReply, PieceRequest, TransferId},
    frame::{
        Action, AgentFrame, EntryFrame, Hello, Offer, Order, PeerFrame, Profile, Report, Role,
        StartOrder,
    },
    ids::{ProcessId, TaskKey},
    outcome::{Obstacle, RunOutcome},
    size::Size,
};
use bulrushlatch_node::link::Frame;

/// Returns the frames with a name for each.
pub fn frames() -> Vec<(String, Frame)> {
    let mut frames = vec![
        ("hello-entry".to_owned(), Frame::Hello(hello(Role::Entry))),
        ("hello-agent".to_owned(), Frame::Hello(hello(Role::Agent))),
        ("agent-heartbeat".to_owned(), Frame::Agent(agent_frame(None, Vec::new()))),
        ("agent-profile".to_owned(), Frame::Agent(agent_frame(Some(profile()), Vec::new()))),
        ("entry-heartbeat".to_owned(), Frame::Entry(entry_frame(Vec::new()))),
        ("entry-start".to_owned(), Frame::Entry(entry_frame(vec![start()]))),
        ("entry-stop".to_owned(), Frame::Entry(entry_frame(vec![stop()]))),
        ("entries".to_owned(), Frame::Entries(addresses())),
    ];
    for outcome in outcomes() {
        let frame = Frame::Agent(agent_frame(None, vec![report(outcome)]));
        frames.push((format!("agent-report-{outcome:?}"), frame));
    }
    for (name, frame) in peer_frames() {
        frames.push((name.to_owned(), Frame::Peer(frame)));
    }
    frames
}

fn process() -> ProcessId {
    ProcessId { name: "vm-7".to_owned(), incarnation: u64::MAX - 5 }
}

fn hello(role: Role) -> Hello {
    let address = (role == Role::Entry).then(|| addresses()[0]);
    hello_of_version_3(process(), role, address)
}

fn addresses() -> Vec<std::net::SocketAddr> {
    ["10.1.2.3:4567", "[::1]:80"].map(|text| text.parse().expect("an address")).to_vec()
}

fn task() -> TaskKey {
    TaskKey { job: "5c0e7a21d94b36f8".into(), step: 1, index: 300 }
}

fn size() -> Size {
    Size { cpu_millis: 5_900, memory_mb: 256, accelerators: 1 }
}

fn profile() -> Profile {
    Profile {
        service: "listing".to_owned(),
        labels: vec!["a".to_owned(), "r1-3".to_owned()],
        zone: "a".to_owned(),
        total: size(),
    }
}

fn agent_frame(profile: Option<Profile>, reports: Vec<Report>) -> AgentFrame {
    let offer = Offer { free: size(), accepts: true };
    AgentFrame { stamp_ms: 123_456_789, orders_seen: 42, profile, offer, reports }
}

fn report(outcome: RunOutcome) -> Report {
    Report { number: 9, order: 41, task: task(), attempt: 2, outcome, ran_ms: 912 }
}

fn outcomes() -> Vec<RunOutcome> {
    let obstacles = [
        Obstacle::NoCapacity,
        Obstacle::Unavailable,
        Obstacle::StaleOrder,
        Obstacle::StillRunning,
        Obstacle::Rejected,
        Obstacle::Undelivered,
    ];
    let ended = [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::Lost];
    ended.into_iter().chain(obstacles.map(RunOutcome::NotStarted)).collect()
}

fn entry_frame(orders: Vec<Order>) -> EntryFrame {
    EntryFrame { stamp_echo_ms: 123_456_000, reports_seen: 8, is_in_use: true, orders }
}

fn start() -> Order {
    let payload = "payload".into();
    let start = StartOrder { task: task(), attempt: 1, payload, size: size(), has_failed: true };
    Order { number: 43, action: Action::Start(start) }
}

fn stop() -> Order {
    Order { number: 44, action: Action::Stop { task: task(), order: 43, is_stuck: true } }
}

fn peer_frames() -> Vec<(&'static str, PeerFrame)> {
    let transfer = TransferId { version: 17, checksum: u64::MAX / 3, total_bytes: 20_000 };
    let request = PieceRequest { transfer: Some(transfer), offset_bytes: 8_192 };
    let first = PieceRequest { transfer: None, offset_bytes: 0 };
    let piece = PieceReply::Piece { transfer, offset_bytes: 8_192, bytes: vec![0, 1, 255] };
    vec![
        ("peer-without-version", PeerFrame::default()),
        ("peer-version", PeerFrame { version: Some(17), ..PeerFrame::default() }),
        ("peer-request", PeerFrame { piece_request: Some(request), ..PeerFrame::default() }),
        ("peer-first-request", PeerFrame { piece_request: Some(first), ..PeerFrame::default() }),
        ("peer-piece", PeerFrame { piece_reply: Some(piece), ..PeerFrame::default() }),
        ("peer-busy", PeerFrame { piece_reply: Some(PieceReply::Busy), ..PeerFrame::default() }),
        ("peer-cancelled", PeerFrame { cancelled: vec![task().job], ..PeerFrame::default() }),
    ]
}

fn hello_of_version_3(
    process: ProcessId,
    role: Role,
    address: Option<std::net::SocketAddr>,
) -> Hello {
    Hello { version: 3, process, role, address, newest_version: 3 }
}
