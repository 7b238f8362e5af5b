//! Changes of the settings tree.

use serde::{Deserialize, Serialize};

use crate::ids::TeamId;

/// Path of a node in the settings tree: names joined by `/`; empty for the root.
pub type SettingsPath = String;
/// Number of accepted changes of one setting; zero if it was never set.
pub type SettingVersion = u64;

/// A request to set or delete one setting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id chosen by the publisher; a second record with the same id has no effect.
    pub change_id: String,
    /// Team on whose behalf the change is made.
    pub team: TeamId,
    /// Person or program that makes the change.
    pub author: String,
    /// Node of the settings tree that is changed.
    pub path: SettingsPath,
    /// Setting that is changed at the node.
    pub key: SettingKey,
    /// New value, or `None` to delete the setting at this node.
    pub value: Option<serde_json::Value>,
    /// Version of the setting that the author saw; the change is rejected if it is not the current
    /// one.
    pub expected_version: SettingVersion,
    /// Why the change is made, for the audit trail.
    pub reason: String,
    /// Wall-clock time of the publisher in milliseconds since the Unix epoch, for the audit trail.
    #[serde(default)]
    pub published_at_ms: u64,
}

/// Settings that a node of the tree can have.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SettingKey {
    /// Team that may change this node and all nodes below it; set by the owner of the parent.
    Owner,
    /// Maximum number of slots that the team's tasks may hold at once.
    QuotaSlots,
    /// Share of free slots relative to other teams.
    Weight,
    /// Maximum number of tasks that may wait in the queue.
    MaxQueuedTasks,
    /// Longest accepted timeout of a submission, in milliseconds.
    MaxTimeoutMs,
    /// Whether submissions are admitted.
    Enabled,
    /// Whether a target is being drained.
    Drain,
}
