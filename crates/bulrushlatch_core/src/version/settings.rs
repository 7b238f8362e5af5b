//! The settings tree and its audit trail.

use std::collections::{BTreeMap, VecDeque};

use bulrushlatch_protocol::{
    change::{Change, SettingKey, SettingVersion, SettingsPath},
    ids::{Offset, TeamId},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::stream::StreamState;

/// Team that owns the root of the tree.
pub const ROOT_TEAM: &str = "operators";
/// Branch whose nodes are targets.
pub const TARGETS_BRANCH: &str = "targets";
/// Maximum number of audit entries that are kept.
const MAX_AUDIT_ENTRIES: usize = 2000;
/// Maximum number of change ids that are kept to recognise duplicates.
const MAX_CHANGE_IDS: usize = 20_000;
/// Longest accepted path.
const MAX_PATH_BYTES: usize = 256;

/// All settings after some offset of the settings stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsTree {
    /// Settings by node; deleted ones stay, without a value, to keep their version.
    nodes: BTreeMap<SettingsPath, BTreeMap<SettingKey, Setting>>,
    /// Latest decisions, oldest first; never more than [`MAX_AUDIT_ENTRIES`].
    audit: VecDeque<AuditEntry>,
    /// Outcome of recent changes by change id.
    outcomes: BTreeMap<String, ChangeOutcome>,
    /// The keys of `outcomes`, oldest first; never more than [`MAX_CHANGE_IDS`].
    change_order: VecDeque<String>,
    /// Offset of the next record that is not in this tree.
    next_offset: Offset,
}

/// One setting of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Setting {
    /// The value, or `None` after a deletion.
    pub value: Option<Value>,
    /// Number of accepted changes of the setting.
    pub version: SettingVersion,
    /// Id of the latest accepted change.
    pub change_id: String,
    /// Team that published this change.
    pub team: TeamId,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change took effect and gave the setting this version.
    Accepted(SettingVersion),
    /// The change has no effect.
    Rejected(RejectionCause),
}

/// Why a change was rejected.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RejectionCause {
    /// The branch belongs to another team.
    ForeignBranch,
    /// The expected version is not the current version of the setting.
    StaleVersion,
    /// The value has the wrong type or range for the setting.
    InvalidValue,
    /// The path is too long, or has an empty name or a control character.
    InvalidPath,
    /// The author, the team, the reason or the change id is missing.
    Incomplete,
}

/// An entry of the audit trail: the decision on one change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// The change as it was published.
    pub change: Change,
    /// Version of the setting before the change.
    pub version_before: SettingVersion,
    /// Outcome of the change.
    pub outcome: ChangeOutcome,
}

/// An effective value and where it comes from.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EffectiveSetting<'a> {
    /// Path of the node that has the value.
    pub path: &'a str,
    /// The setting.
    pub setting: &'a Setting,
}

impl StreamState for SettingsTree {
    type Record = Change;

    fn apply(&mut self, offset: Offset, change: Change) {
        if self.outcomes.contains_key(&change.change_id) {
            return;
        }
        let version_before = self.version(&change.path, change.key);
        let outcome = match self.validate(&change) {
            Ok(()) => ChangeOutcome::Accepted(self.accept(&change, version_before + 1)),
            Err(cause) => ChangeOutcome::Rejected(cause),
        };
        self.record_decision(AuditEntry { offset, change, version_before, outcome });
    }

    fn next_offset(&self) -> Offset {
        self.next_offset
    }

    fn set_next_offset(&mut self, next_offset: Offset) {
        self.next_offset = next_offset;
    }
}

impl SettingsTree {
    /// Returns the number of accepted changes of a setting.
    pub fn version(&self, path: &str, key: SettingKey) -> SettingVersion {
        self.nodes.get(path).and_then(|node| node.get(&key)).map_or(0, |setting| setting.version)
    }

    /// Returns the effective setting of a node: its own, or that of the nearest ancestor.
    pub fn effective(&self, path: &str, key: SettingKey) -> Option<EffectiveSetting<'_>> {
        self.explain(path, key).into_iter().next()
    }

    /// Returns the values of a setting from the node up to the root; the first one is effective.
    pub fn explain(&self, path: &str, key: SettingKey) -> Vec<EffectiveSetting<'_>> {
        let mut found = Vec::new();
        for ancestor in ancestors(path) {
            let node = self.nodes.get_key_value(ancestor);
            let Some((path, node)) = node else { continue };
            let Some(setting) = node.get(&key) else { continue };
            if setting.value.is_some() {
                found.push(EffectiveSetting { path, setting });
            }
        }
        found
    }

    /// Returns the settings that are set at nodes at or below `path`.
    pub fn settings_below<'a>(
        &'a self,
        path: &'a str,
    ) -> impl Iterator<Item = (&'a str, SettingKey, &'a Setting)> {
        let nodes = self.nodes.iter().filter(move |(node, _)| is_at_or_below(node, path));
        nodes.flat_map(|(node, settings)| {
            let settings = settings.iter().filter(|(_, setting)| setting.value.is_some());
            settings.map(move |(&key, setting)| (node.as_str(), key, setting))
        })
    }

    /// Returns the kept decisions, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.audit.iter()
    }

    /// Returns the outcome of a recent change.
    pub fn outcome(&self, change_id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(change_id)
    }

    /// Returns the team that may change the settings of a node.
    pub fn owner_of(&self, path: &str) -> &str {
        let owner = self.effective(path, SettingKey::Owner);
        owner.and_then(|owner| owner.setting.value.as_ref()?.as_str()).unwrap_or(ROOT_TEAM)
    }

    fn validate(&self, change: &Change) -> Result<(), RejectionCause> {
        let texts = [&change.change_id, &change.author, &change.reason];
        if texts.iter().any(|text| text.is_empty()) || change.team.is_empty() {
            return Err(RejectionCause::Incomplete);
        }
        if !is_valid_path(&change.path) {
            return Err(RejectionCause::InvalidPath);
        }
        // The owner of a branch is changed by the owner of the node above it, so that a branch
        // cannot be given away or taken over from inside.
        let governing_path = match change.key {
            SettingKey::Owner => parent_of(&change.path).unwrap_or(""),
            _ => &change.path,
        };
        if self.owner_of(governing_path) != &*change.team {
            return Err(RejectionCause::ForeignBranch);
        }
        if change.expected_version != self.version(&change.path, change.key) {
            return Err(RejectionCause::StaleVersion);
        }
        if change.value.as_ref().is_some_and(|value| !is_valid_value(change.key, value)) {
            return Err(RejectionCause::InvalidValue);
        }
        Ok(())
    }

    fn accept(&mut self, change: &Change, version: SettingVersion) -> SettingVersion {
        let setting = Setting {
            value: change.value.clone(),
            version,
            change_id: change.change_id.clone(),
            team: change.team.clone(),
        };
        self.nodes.entry(change.path.clone()).or_default().insert(change.key, setting);
        version
    }

    fn record_decision(&mut self, entry: AuditEntry) {
        let change_id = entry.change.change_id.clone();
        self.outcomes.insert(change_id.clone(), entry.outcome.clone());
        self.change_order.push_back(change_id);
        if self.change_order.len() > MAX_CHANGE_IDS {
            let oldest = self.change_order.pop_front();
            oldest.map(|oldest| self.outcomes.remove(&oldest));
        }
        self.audit.push_back(entry);
        if self.audit.len() > MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
    }
}

/// Returns the path itself, its parent and so on up to the root.
fn ancestors(path: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(path), |path| parent_of(path))
}

fn parent_of(path: &str) -> Option<&str> {
    if path.is_empty() {
        return None;
    }
    Some(path.rsplit_once('/').map_or("", |(parent, _)| parent))
}

fn is_at_or_below(node: &str, path: &str) -> bool {
    ancestors(node).any(|ancestor| ancestor == path)
}

fn is_valid_path(path: &str) -> bool {
    if path.is_empty() {
        return true;
    }
    let is_short = path.len() <= MAX_PATH_BYTES;
    is_short && path.split('/').all(|name| !name.is_empty() && !name.contains(char::is_control))
}

fn is_valid_value(key: SettingKey, value: &Value) -> bool {
    match key {
        SettingKey::Owner => value.as_str().is_some_and(|owner| !owner.is_empty()),
        SettingKey::Enabled | SettingKey::Drain => value.is_boolean(),
        SettingKey::Weight | SettingKey::MaxTimeoutMs => value.as_u64().is_some_and(|n| n > 0),
        SettingKey::QuotaSlots | SettingKey::MaxQueuedTasks => value.is_u64(),
    }
}
