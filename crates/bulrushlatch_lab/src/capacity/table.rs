//! Resources that each role needs at a given size, calculated from the unit costs.

use super::unit_costs::UnitCosts;

/// Size of the fleet to plan for.
#[derive(Clone, Copy, Debug)]
pub struct PlannedSize {
    /// Agents, each with its own target.
    pub agents: f64,
    /// Peak rate of task starts per second.
    pub starts_per_second: f64,
    /// Average number of tasks in a job.
    pub tasks_per_job: f64,
    /// Entries in the whole fleet.
    pub entries: f64,
    /// Entries that one agent sends heartbeats to.
    pub entries_per_agent: f64,
    /// Time between heartbeats in seconds.
    pub heartbeat_s: f64,
    /// Time in seconds for which entries keep ids.
    pub id_window_s: f64,
    /// Longest timeout of a submission in seconds.
    pub longest_timeout_s: f64,
    /// Changes of settings per day.
    pub changes_per_day: f64,
    /// Settings in the tree.
    pub settings: f64,
    /// Processes that fail, restart or are replaced per day.
    pub restarts_per_day: f64,
}

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

impl Default for PlannedSize {
    fn default() -> Self {
        Self {
            agents: 2000.0,
            starts_per_second: 59_000.0,
            tasks_per_job: 20.0,
            entries: 30.0,
            entries_per_agent: 3.0,
            heartbeat_s: 0.5,
            id_window_s: 600.0,
            longest_timeout_s: 600.0,
            changes_per_day: 6900.0,
            settings: 6000.0,
            restarts_per_day: 450.0,
        }
    }
}

/// A row of the table.
#[derive(Clone, Debug)]
pub struct TableRow {
    /// Role and resource.
    pub label: &'static str,
    /// Value at the planned size.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Required upper bound, if there is one.
    pub bound: Option<f64>,
}

/// Returns the rows of the table.
pub fn rows(costs: &UnitCosts, size: &PlannedSize) -> Vec<TableRow> {
    // Sender and receiver are assumed to take half of the time each.
    let half_call_us = costs.call_us / 2.0;
    let jobs_per_second = size.starts_per_second / size.tasks_per_job;
    // Every id is kept by its owner and a witness.
    let ids_per_entry =
        2.0 * jobs_per_second * (size.id_window_s + size.longest_timeout_s) / size.entries;
    let agent_starts = size.starts_per_second / size.agents;
    let agent_heartbeats = size.entries_per_agent / size.heartbeat_s;
    let agent_work_us = agent_starts * (costs.agent_us_per_task + 2.0 * half_call_us);
    // An agent remembers tasks for twice the id window and 600 s more.
    let tasks_kept = agent_starts * (2.0 * size.id_window_s + 600.0);
    let entry_starts = size.starts_per_second / size.entries;
    // Heartbeats from agents, and heartbeats to and from every other entry.
    let entry_heartbeats = size.agents * size.entries_per_agent / size.entries / size.heartbeat_s
        + 2.0 * (size.entries - 1.0) / size.heartbeat_s;
    let entry_work_us =
        entry_starts * (costs.entry_us_per_task + costs.work_messages_per_task * half_call_us);
    let row = |label, value, unit, bound| TableRow { label, value, unit, bound };
    vec![
        row("agent: heartbeats", agent_heartbeats, "messages/s", None),
        row(
            "agent: control traffic",
            agent_heartbeats * costs.agent_heartbeat_bytes as f64,
            "bytes/s",
            Some(4096.0),
        ),
        row(
            "agent: control processor time",
            agent_heartbeats * half_call_us / 1e4,
            "% of a core",
            Some(2.4),
        ),
        row("agent: starts", agent_starts, "tasks/s", None),
        row("agent: work processor time", agent_work_us / 1e4, "% of a core", None),
        row("agent: tasks remembered", tasks_kept, "tasks", None),
        row(
            "agent: memory of tasks",
            tasks_kept * costs.remembered_task_bytes / 1e6,
            "MB",
            Some(256.0),
        ),
        row("entry: starts", entry_starts, "tasks/s", None),
        row("entry: work processor time", entry_work_us / 1e4, "% of a core", None),
        row("entry: heartbeats", entry_heartbeats, "messages/s", None),
        row(
            "entry: control processor time",
            entry_heartbeats * half_call_us / 1e4,
            "% of a core",
            Some(2.4),
        ),
        row("entry: ids kept", ids_per_entry, "ids", None),
        row("entry: memory of ids", ids_per_entry * costs.known_id_bytes / 1e6, "MB", Some(256.0)),
        row("entry: membership view", size.agents * costs.view_bytes_per_agent / 1e6, "MB", None),
        row(
            "entry: settings tree",
            size.settings * costs.snapshot_bytes_per_setting / 1e6,
            "MB",
            None,
        ),
        row(
            "entry: folding of settings",
            size.changes_per_day * costs.settings_fold_us / DAY_S / 1e4,
            "% of a core",
            None,
        ),
        row("log: settings records", size.changes_per_day / DAY_S, "appends/s", Some(300.0)),
        row(
            "log: settings stream",
            size.changes_per_day * costs.settings_record_bytes as f64 / 1e6,
            "MB/day",
            None,
        ),
        // A restart takes two records: the process leaves, and its successor joins.
        row(
            "log: ownership records",
            2.0 * size.restarts_per_day / DAY_S,
            "appends/s",
            Some(300.0),
        ),
        // One of ten zones of equal size.
        row(
            "log: ownership records when a zone returns",
            size.agents / 10.0,
            "appends at once",
            Some(300.0),
        ),
    ]
}
