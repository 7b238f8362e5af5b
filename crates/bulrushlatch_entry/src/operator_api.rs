//! HTTP API for operators.

use bulrushlatch_core::version::settings::{AuditEntry, Setting, SettingsTree};
use bulrushlatch_log::platform_log::StreamName;
use bulrushlatch_protocol::change::{SettingKey, SettingVersion};
use bulrushlatch_runtime::web::{BodyResponse, json_response};
use serde::{Deserialize, Serialize};

use crate::{caller_api::error_response, process::EntryProcess};

/// Number of audit entries returned when the query has no `count`.
const DEFAULT_AUDIT_ENTRIES: usize = 50;

/// One setting in a reply to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingRow {
    /// Node of the settings tree that has the setting.
    pub path: String,
    /// Key of the setting.
    pub key: SettingKey,
    /// Value, version and origin of the setting.
    pub setting: Setting,
}

/// Origin of the effective value of a setting at a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Version of the setting at the node itself, to be given as `expected_version` of a change.
    pub version: SettingVersion,
    /// Team that may change the node.
    pub owner: String,
    /// Values from the node up to the root; the first is in effect.
    pub values: Vec<SettingRow>,
}

/// Status of an entry and of the processes that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the entry that answers.
    pub name: String,
    /// Whether the entry serves callers.
    pub is_ready: bool,
    /// Epoch of the entry's membership view.
    pub epoch: u64,
    /// Offset up to which the entry has applied the settings stream.
    pub settings_offset: u64,
    /// Number of slices that the entry owns.
    pub owned_slices: usize,
    /// Number of submissions without a final answer.
    pub open_jobs: usize,
    /// Number of tasks that wait for a slot.
    pub queued_tasks: usize,
    /// All entries of the membership view.
    pub entries: Vec<EntryRow>,
    /// All registered agents.
    pub agents: Vec<AgentRow>,
}

/// One entry in a status report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other processes.
    pub address: String,
    /// Time since the last heartbeat of the entry; `None` for the entry that answers and for one
    /// from which no heartbeat was received.
    pub silent_ms: Option<u64>,
    /// Settings offset that the entry last reported; `None` for the entry that answers and for one
    /// from which no heartbeat was received.
    pub settings_offset: Option<u64>,
}

/// One agent in a status report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentRow {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service of its target.
    pub service: String,
    /// Slots of its target.
    pub slots: u32,
    /// Slots in use, as last reported.
    pub busy_slots: u32,
    /// Whether the agent accepts new tasks: `serving`, `leaving`, `drained`, `ejected` or `silent`.
    pub state: String,
    /// Time since the agent last reported its load; `None` if it never did.
    pub silent_ms: Option<u64>,
}

/// Serves `GET` requests of operators.
pub fn get(process: &EntryProcess, path: &str, query: &str) -> BodyResponse {
    let settings = process.entry().settings();
    match path {
        "/v1/status" => json_response(200, &status(process)),
        "/v1/settings" => json_response(200, &setting_rows(&settings, &query_value(query, "path"))),
        "/v1/explain" => explain(&settings, query),
        "/v1/audit" => json_response(200, &audit(&settings, query)),
        _ => error_response(404, "no such path"),
    }
}

fn setting_rows(settings: &SettingsTree, path: &str) -> Vec<SettingRow> {
    let settings = settings.settings_below(path);
    settings.map(|(path, key, setting)| setting_row(path, key, setting)).collect()
}

fn explain(settings: &SettingsTree, query: &str) -> BodyResponse {
    let path = query_value(query, "path");
    let Ok(key) = query_value(query, "key").parse::<SettingKey>() else {
        return error_response(400, "key: no such setting");
    };
    let values = settings.explain(&path, key).into_iter();
    let values = values.map(|value| setting_row(value.path, key, value.setting)).collect();
    let version = settings.version(&path, key);
    let owner = settings.owner_of(&path).to_owned();
    json_response(200, &Explanation { version, owner, values })
}

fn audit(settings: &SettingsTree, query: &str) -> Vec<AuditEntry> {
    let path = query_value(query, "path");
    let count = query_value(query, "count").parse().unwrap_or(DEFAULT_AUDIT_ENTRIES);
    let entries = settings.audit().rev().filter(|entry| entry.change.path.starts_with(&path));
    let mut entries: Vec<AuditEntry> = entries.take(count).cloned().collect();
    entries.reverse();
    entries
}

fn status(process: &EntryProcess) -> StatusReport {
    let entry = process.entry();
    let gauges = entry.status().gauges;
    let view = entry.view();
    StatusReport {
        name: process.settings().name.to_string(),
        is_ready: entry.is_ready(),
        epoch: view.epoch,
        settings_offset: entry.next_offset(StreamName::Settings),
        owned_slices: gauges.owned_slices,
        open_jobs: gauges.open_jobs,
        queued_tasks: gauges.queued_tasks,
        entries: entry_rows(process),
        agents: agent_rows(process),
    }
}

fn entry_rows(process: &EntryProcess) -> Vec<EntryRow> {
    let now = std::time::Instant::now();
    let membership = process.entry().membership();
    let view = membership.view();
    let rows = view.members.iter().map(|(&incarnation, member)| EntryRow {
        name: member.name.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        silent_ms: membership.silent_for(now, incarnation).map(|time| time.as_millis() as u64),
        settings_offset: membership.settings_offset_of(incarnation),
    });
    rows.collect()
}

fn agent_rows(process: &EntryProcess) -> Vec<AgentRow> {
    let now = std::time::Instant::now();
    let silence_limit = process.settings().limits.silence_limit;
    let agents = process.entry().tables().agents();
    let rows = agents.iter().map(|(incarnation, agent)| {
        let silent_for = agents.silent_for(now, incarnation);
        let load = agents.latest_load(incarnation);
        let state = if silent_for.is_none_or(|time| time >= silence_limit) {
            "silent"
        } else if agent.is_drain_requested {
            "drained"
        } else if load.is_some_and(|load| load.leaving) {
            "leaving"
        } else if agent.health.is_ejected() {
            "ejected"
        } else {
            "serving"
        };
        AgentRow {
            name: agent.description.name.to_string(),
            zone: agent.description.zone.to_string(),
            service: agent.description.service.to_string(),
            slots: agent.description.slots,
            busy_slots: load.map_or(0, |load| load.busy_slots),
            state: state.to_owned(),
            silent_ms: silent_for.map(|time| time.as_millis() as u64),
        }
    });
    rows.collect()
}

fn setting_row(path: &str, key: SettingKey, setting: &Setting) -> SettingRow {
    SettingRow { path: path.to_owned(), key, setting: setting.clone() }
}

/// Returns the first value of `name` in a query string, or an empty string.
///
/// Decodes only `%2F` and `%20`; paths and names need no other escapes.
fn query_value(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next().unwrap_or_default().replace("%2F", "/").replace("%20", " ")
}
