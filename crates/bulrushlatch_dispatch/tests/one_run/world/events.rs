//! What happens at a time.

use super::*;

pub(super) enum Event {
    EntryFrame {
        entry: usize,
        life: u64,
        link: LinkId,
        agent: ProcessId,
        frame: AgentFrame,
    },
    AgentFrame {
        agent: usize,
        life: u64,
        link: LinkId,
        entry: ProcessId,
        frame: EntryFrame,
    },
    EntryLinkDown {
        entry: usize,
        life: u64,
        link: LinkId,
        agent: ProcessId,
    },
    AgentLinkDown {
        agent: usize,
        life: u64,
        link: LinkId,
        entry: ProcessId,
    },
    EntryLinkUp {
        entry: usize,
        life: u64,
        link: LinkId,
        agent: ProcessId,
    },
    AgentLinkUp {
        agent: usize,
        life: u64,
        link: LinkId,
        entry: ProcessId,
    },
    TickEntry {
        entry: usize,
        life: u64,
    },
    TickAgent {
        agent: usize,
        life: u64,
    },
    Dial {
        agent: usize,
    },
    AtTarget {
        agent: usize,
        life: u64,
        call: Call,
        answers: bool,
    },
    Started {
        agent: usize,
        life: u64,
        start: StartRequest,
        reply: StartReply,
        clock_ms: Option<u64>,
    },
    Stopped {
        agent: usize,
        life: u64,
        stop: StopOrder,
        clock_ms: u64,
    },
    Looked {
        agent: usize,
        life: u64,
        id: String,
        asked_ms: u64,
        look: Result<TargetStatus, PollError>,
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
        life: u64,
        caller: CallerId,
    },
    Strike(Strike),
    Calm(Strike),
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
        asked_ms: u64,
        until_ms: Option<u64>,
        seen: u64,
        give_up_ms: u64,
        repeats: bool,
    },
}
