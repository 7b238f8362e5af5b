//! Measurement of the costs of one id, message, task or record.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushlatch_core::{
    connection::placement::ZoneFirst,
    effect::Destination,
    message::{
        AgentDescription, AgentHeartbeat, AgentLoad, EntryHeartbeat, Envelope, Message, Placement,
        TaskReportState,
    },
    process::task_memory::{AcceptedTask, TaskMemory},
    request::known::{KnownId, KnownIds},
    version::{
        settings::SettingsTree,
        stream::{StreamReader, StreamState, record_body},
        view::{OwnershipRecord, RegisteredAgent, View},
    },
};
use bulrushlatch_protocol::change::{Change, SettingKey};
use bulrushlatch_runtime::{
    outbox::Outbox,
    peer_api::{EnvelopeReceiver, PeerListener},
};
use crossbeam::channel::{Sender, unbounded};
use serde::Serialize;

use crate::{
    load::workload::Workload,
    policy::{
        comparison::site_config_of,
        virtual_site::{FirstTarget, VirtualSite},
    },
};

/// Number of ids or tasks kept in memory to measure the memory of one.
const KEPT_COUNT: usize = 100_000;
/// Number of messages sent to measure the processor time of one.
const MESSAGE_COUNT: u64 = 20_000;
/// Virtual time of the load that measures the costs per task.
const LOAD_TIME: Duration = Duration::from_secs(60);
/// Rate of submissions under this load.
const JOBS_PER_SECOND: u64 = 40;
/// Longest time to wait for a message on loopback.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Unit of processor times in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Unit of memory sizes in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Costs of one id, message, task or record, as measured on this machine.
#[derive(Clone, Debug, Default, Serialize)]
pub struct UnitCosts {
    /// Memory of an id at its owner or witness.
    pub known_id_bytes: f64,
    /// Memory of a task that an agent remembers, without its result.
    pub remembered_task_bytes: f64,
    /// Real time of all entries' decisions per task, with its share of the job and without the time
    /// that an idle site takes.
    pub entry_us_per_task: f64,
    /// Real time of all agents' decisions per task, without the time that an idle site takes.
    pub agent_us_per_task: f64,
    /// Processor time of sender and receiver for a message sent in a separate call.
    pub call_us: f64,
    /// Messages for submissions, tasks and quotas, per task.
    pub work_messages_per_task: f64,
    /// JSON size of an agent heartbeat in its envelope.
    pub agent_heartbeat_bytes: u64,
    /// JSON size of an entry heartbeat in its envelope.
    pub entry_heartbeat_bytes: u64,
    /// Size of a record of the settings stream.
    pub settings_record_bytes: u64,
    /// Real time to apply a record of the settings stream.
    pub settings_fold_us: f64,
    /// Size that a setting adds to a snapshot, with its audit entry and change id.
    pub snapshot_bytes_per_setting: f64,
    /// Size that an agent adds to the membership view.
    pub view_bytes_per_agent: f64,
    /// Size of the record of an agent that joins.
    pub agent_record_bytes: u64,
}

/// Measures all costs.
///
/// # Errors
///
/// Returns an error when the runtime or the listener on loopback cannot be started, or when a
/// message on loopback does not arrive in time.
pub fn measure() -> std::io::Result<UnitCosts> {
    let mut costs = UnitCosts {
        known_id_bytes: known_id_bytes(),
        remembered_task_bytes: remembered_task_bytes(),
        agent_heartbeat_bytes: json_bytes(&envelope(Message::AgentHeartbeat(agent_heartbeat()))),
        entry_heartbeat_bytes: json_bytes(&envelope(Message::EntryHeartbeat(entry_heartbeat()))),
        agent_record_bytes: record_body::<View>(&agent_record()).len() as u64,
        call_us: call_us()?,
        ..UnitCosts::default()
    };
    measure_settings(&mut costs);
    measure_view(&mut costs);
    measure_tasks(&mut costs);
    Ok(costs)
}

fn known_id_bytes() -> f64 {
    let before = resident_bytes();
    let now = Instant::now();
    let mut known = KnownIds::default();
    for number in 0..KEPT_COUNT {
        let submission_id = format!("01a3185c-8324-7000-8000-{number:012x}").into();
        let id = KnownId::new(submission_id, number as u64, 0);
        known.remember(now, id).holders.insert(1);
    }
    let bytes = (resident_bytes() - before) as f64 / known.len() as f64;
    // Leaked, because the next measurement would reuse freed memory and count too little.
    std::mem::forget(known);
    bytes
}

fn remembered_task_bytes() -> f64 {
    let before = resident_bytes();
    let now = Instant::now();
    let mut memory = TaskMemory::default();
    for number in 0..KEPT_COUNT {
        let submission_id = format!("01a3185c-8324-7000-8000-{:012x}", number / 3).into();
        let index = (number % 3) as u32;
        let placement = Placement { submission_id, index, epoch: 1, attempt: number as u64 };
        memory.record_accepted(
            now,
            AcceptedTask { placement, state: TaskReportState::Accepted, slots: 1 },
        );
    }
    let bytes = (resident_bytes() - before) as f64 / memory.len() as f64;
    // Leaked, because the next measurement would reuse freed memory and count too little.
    std::mem::forget(memory);
    bytes
}

fn measure_settings(costs: &mut UnitCosts) {
    let mut tree = SettingsTree::default();
    let mut bodies = Vec::new();
    for number in 0..2000 {
        let change = Change {
            change_id: format!("01a3185c-8324-7000-8000-{number:012x}"),
            team: "operators".into(),
            author: "ana.gomez".to_owned(),
            path: format!("team-{}/service-{}", number % 120, number / 120),
            key: SettingKey::Weight,
            value: Some(number.into()),
            expected_version: 0,
            reason: "more work is expected from the coast".to_owned(),
            published_at_ms: 1_800_000_000_000,
        };
        bodies.push(record_body::<SettingsTree>(&change));
        tree.apply(number, change);
    }
    costs.settings_record_bytes = bodies[1000].len() as u64;
    costs.snapshot_bytes_per_setting = json_bytes(&tree) as f64 / bodies.len() as f64;
    let log = bulrushlatch_log::memory_log::MemoryLog::default();
    use bulrushlatch_log::platform_log::{PlatformLog, StreamName};
    for body in &bodies {
        // No faults are injected into the log, so the append succeeds.
        let _ = log.append(StreamName::Settings, body);
    }
    let Ok(page) = log.read(StreamName::Settings, 0, bodies.len()) else { return };
    let mut reader = StreamReader::<SettingsTree>::default();
    let started_at = Instant::now();
    reader.apply_page(&page);
    costs.settings_fold_us = started_at.elapsed().as_secs_f64() * 1e6 / bodies.len() as f64;
}

fn measure_view(costs: &mut UnitCosts) {
    let mut view = View::default();
    let empty_bytes = json_bytes(&view);
    for number in 0..1000 {
        let description = agent_heartbeat().agent;
        view.agents.insert(u64::MAX - number, RegisteredAgent { description });
    }
    costs.view_bytes_per_agent = (json_bytes(&view) - empty_bytes) as f64 / 1000.0;
}

fn measure_tasks(costs: &mut UnitCosts) {
    let workload = Workload::Marea;
    let config = site_config_of(workload);
    let (team, service) = (workload.team(), workload.service());
    let mut site = VirtualSite::new(config, team, service, FirstTarget::Normal, ZoneFirst::new);
    let ready = Duration::from_secs(3);
    site.run_until(ready);
    let messages_before = site.messages.work;
    let (entry_before, agent_before) = (site.entry_time, site.agent_time);
    // The times of an equally long idle period are subtracted below, so that heartbeats and ticks do
    // not count as costs of tasks.
    let idle_until = ready + LOAD_TIME;
    site.run_until(idle_until);
    let (entry_idle, agent_idle) = (site.entry_time - entry_before, site.agent_time - agent_before);
    let (entry_before, agent_before) = (site.entry_time, site.agent_time);
    let mut random = fastrand::Rng::with_seed(1);
    let mut tasks = 0;
    let jobs = JOBS_PER_SECOND * LOAD_TIME.as_secs();
    for ticket in 0..jobs {
        let generated = workload.generate(&mut random, &format!("job-{ticket}"));
        tasks += generated.submission.tasks.len();
        let at = idle_until + LOAD_TIME.mul_f64(ticket as f64 / jobs as f64);
        site.submit_at(at, random.usize(..3), ticket + 1, generated.submission);
    }
    site.run_until(idle_until + LOAD_TIME);
    let tasks = tasks as f64;
    let entry_time = site.entry_time.saturating_sub(entry_before + entry_idle);
    let agent_time = site.agent_time.saturating_sub(agent_before + agent_idle);
    costs.entry_us_per_task = entry_time.as_secs_f64() * 1e6 / tasks;
    costs.agent_us_per_task = agent_time.as_secs_f64() * 1e6 / tasks;
    costs.work_messages_per_task = (site.messages.work - messages_before) as f64 / tasks;
}

/// Reports the number of messages in each received envelope.
struct CountingReceiver {
    arrived: Sender<usize>,
}

impl EnvelopeReceiver for CountingReceiver {
    fn receive(&self, envelope: Envelope) {
        // Fails only after the measurement has ended.
        let _ = self.arrived.send(envelope.messages.len());
    }
}

/// Measures the processor time that sending and receiving a message takes.
fn call_us() -> std::io::Result<f64> {
    let runtime = tokio::runtime::Runtime::new()?;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = runtime.block_on(PeerListener::bind(any_port))?;
    let address = listener.address();
    let (arrived, arrivals) = unbounded();
    let receiver = Arc::new(CountingReceiver { arrived });
    let _server = {
        let _guard = runtime.enter();
        listener.serve(Arc::clone(&receiver))?
    };
    let outbox = Outbox::new(runtime.handle().clone(), any_port);
    let to = Destination { address, incarnation: 1 };
    let cpu_before = processor_seconds();
    for _ in 0..MESSAGE_COUNT {
        outbox.send(1, to, Message::AgentHeartbeat(agent_heartbeat()));
        // Waits for each message, so that every message is sent in a separate call.
        if arrivals.recv_timeout(RECEIVE_TIMEOUT).is_err() {
            return Err(std::io::Error::other(format!(
                "a message on loopback did not arrive within {} s",
                RECEIVE_TIMEOUT.as_secs()
            )));
        }
    }
    Ok((processor_seconds() - cpu_before) * 1e6 / MESSAGE_COUNT as f64)
}

fn agent_heartbeat() -> AgentHeartbeat {
    AgentHeartbeat {
        agent: AgentDescription {
            name: "agent-1234".into(),
            address: SocketAddr::from(([10, 20, 30, 40], 50000)),
            zone: "zone-10".into(),
            service: "listing".into(),
            slots: 8,
            previous_incarnations: Vec::new(),
        },
        load: AgentLoad { busy_slots: 4, leaving: false, stamp_ms: 123_456_789 },
        settings_offset: 123_456,
        ownership_offset: 123_456,
    }
}

fn entry_heartbeat() -> EntryHeartbeat {
    EntryHeartbeat {
        ownership_offset: 123_456,
        settings_offset: 123_456,
        silent_agents: Vec::new(),
        sent_ms: 123_456_789,
        echo_ms: Some(123_456_789),
    }
}

fn agent_record() -> OwnershipRecord {
    let description = agent_heartbeat().agent;
    OwnershipRecord::AgentJoined { incarnation: u64::MAX, description, at_ms: 1_800_000_000_000 }
}

fn envelope(message: Message) -> Envelope {
    let from_address = SocketAddr::from(([10, 20, 30, 40], 50000));
    Envelope { from: u64::MAX, from_address, to: u64::MAX, messages: vec![message] }
}

fn json_bytes<T: Serialize>(value: &T) -> u64 {
    serde_json::to_string(value).map_or(0, |text| text.len() as u64)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the processor time that this process has used.
fn processor_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}
