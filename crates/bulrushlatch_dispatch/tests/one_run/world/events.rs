//! Scheduled events.

use super::*;

pub(super) enum Event {
    EntryFrame {
        entry: usize,
        incarnation: u64,
        link: LinkId,
        agent: ProcessId,
        frame: AgentFrame,
    },
    AgentFrame {
        agent: usize,
        incarnation: u64,
        link: LinkId,
        entry: ProcessId,
        frame: EntryFrame,
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
    TickEntry {
        entry: usize,
        incarnation: u64,
    },
    TickAgent {
        agent: usize,
        incarnation: u64,
    },
    Dial {
        agent: usize,
    },
    AtTarget {
        agent: usize,
        incarnation: u64,
        call: Call,
        answers: bool,
    },
    Started {
        agent: usize,
        incarnation: u64,
        start: StartRequest,
        reply: StartReply,
        clock_ms: Option<u64>,
    },
    Stopped {
        agent: usize,
        incarnation: u64,
        stop: StopOrder,
        clock_ms: u64,
    },
    Polled {
        agent: usize,
        incarnation: u64,
        id: String,
        polled_ms: u64,
        status: Result<TargetStatus, PollError>,
        repeats: bool,
    },
    Heartbeat {
        agent: usize,
    },
    NewJob,
    Submit {
        job: usize,
    },
    CallerGone {
        entry: usize,
        incarnation: u64,
        caller: CallerId,
    },
    BeginFault(InjectedFault),
    EndFault(InjectedFault),
    Restart {
        agent: Option<usize>,
        entry: Option<usize>,
    },
}

#[derive(Clone)]
pub(super) enum Call {
    Start(StartRequest),
    Stop(StopOrder),
    Poll {
        id: String,
        polled_ms: u64,
        until_ms: Option<u64>,
        ends_seen: u64,
        hold_until_ms: u64,
        repeats: bool,
    },
}
