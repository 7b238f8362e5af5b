//! Scheduled events.

use super::*;

/// An event at a process or target. Events for previous incarnations of a process are dropped,
/// except calls that are already on the way to a target.
pub(super) enum Event {
    /// A frame arrives at an entry.
    EntryFrame {
        entry: usize,
        incarnation: u64,
        link: LinkId,
        agent: ProcessId,
        frame: AgentFrame,
    },
    /// A frame arrives at an agent.
    AgentFrame {
        agent: usize,
        incarnation: u64,
        link: LinkId,
        entry: ProcessId,
        frame: EntryFrame,
    },
    /// An agent tells an entry of crashes.
    CrashNotice {
        entry: usize,
        incarnation: u64,
        agent: ProcessId,
        notice: CrashNotice,
    },
    /// An entry tells another what it isolates.
    IsolationNotice {
        entry: usize,
        incarnation: u64,
        from: usize,
        notice: IsolationNotice,
    },
    /// An entry tells an agent what is isolated at its target.
    AgentIsolation {
        agent: usize,
        incarnation: u64,
        notice: IsolationNotice,
    },
    EntryLinkDown {
        entry: usize,
        incarnation: u64,
        link: LinkId,
        agent: ProcessId,
    },
    AgentLinkDown {
        agent: usize,
        incarnation: u64,
        link: LinkId,
        entry: ProcessId,
    },
    EntryLinkUp {
        entry: usize,
        incarnation: u64,
        link: LinkId,
        agent: ProcessId,
    },
    AgentLinkUp {
        agent: usize,
        incarnation: u64,
        link: LinkId,
        entry: ProcessId,
    },
    /// Entries open their missing links to each other.
    DialPeers,
    /// A frame of another entry arrives.
    PeerFrame {
        entry: usize,
        incarnation: u64,
        link: LinkId,
        frame: DelegationFrame,
    },
    PeerUp {
        entry: usize,
        incarnation: u64,
        link: LinkId,
        peer: ProcessId,
    },
    PeerDown {
        entry: usize,
        incarnation: u64,
        link: LinkId,
    },
    TickEntry {
        entry: usize,
        incarnation: u64,
    },
    TickAgent {
        agent: usize,
        incarnation: u64,
    },
    /// An agent opens its missing links.
    Dial {
        agent: usize,
    },
    /// A call of an agent arrives at its target.
    AtTarget {
        agent: usize,
        incarnation: u64,
        call: Call,
        /// Whether the agent gets the answer; it always learns of a poll that reached another
        /// incarnation of the target.
        is_answered: bool,
    },
    /// The answer to a start order, or its absence, reaches the agent.
    Started {
        agent: usize,
        incarnation: u64,
        start: StartRequest,
        reply: StartReply,
        clock_ms: Option<u64>,
    },
    /// The answer to a stop order reaches the agent.
    Stopped {
        agent: usize,
        incarnation: u64,
        stop: StopOrder,
        clock_ms: u64,
    },
    /// The result of a status poll reaches the agent.
    Polled {
        agent: usize,
        incarnation: u64,
        id: String,
        polled_ms: u64,
        status: Result<TargetStatus, PollError>,
        /// Whether the agent polls again after the result.
        repeats: bool,
    },
    /// A task crashes the target with the given id.
    TargetCrash {
        agent: usize,
        id: String,
    },
    /// A target announces itself to its agent.
    Announcement {
        agent: usize,
    },
    NewJob,
    Submit {
        job: usize,
    },
    /// An entry notices that a caller has disconnected.
    CallerGone {
        entry: usize,
        incarnation: u64,
        caller: CallerId,
    },
    BeginFault(InjectedFault),
    EndFault(InjectedFault),
    /// A process that has crashed is started again.
    Restart {
        agent: Option<usize>,
        entry: Option<usize>,
    },
}

/// A call of an agent to its target.
#[derive(Clone)]
pub(super) enum Call {
    Start(StartRequest),
    Stop(StopOrder),
    Poll {
        id: String,
        polled_ms: u64,
        /// End of the requested lease, on the target's clock.
        lease_until_ms: Option<u64>,
        ends_seen: u64,
        /// Time until which the target may hold the answer back if no run has ended.
        hold_until_ms: u64,
        /// Whether the agent polls again after the result.
        repeats: bool,
    },
}
