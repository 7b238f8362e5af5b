//! The settings that apply to a team, a service or a target.

use bulrushlatch_protocol::{
    change::SettingKey,
    submission::{MAX_TIMEOUT_MS, Submission},
};
use serde_json::Value;

use super::settings::{SettingsTree, TARGETS_BRANCH};

/// Weight of a team without a weight setting.
const DEFAULT_WEIGHT: u64 = 1;
/// Queue limit of a team without such a setting.
const DEFAULT_MAX_QUEUED_TASKS: u64 = 20_000;

/// Limits on the submissions of one team to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Whether submissions are admitted.
    pub enabled: bool,
    /// Longest accepted timeout.
    pub max_timeout_ms: u64,
    /// Maximum number of tasks that the team may have waiting at one shard.
    pub max_queued_tasks: u64,
    /// Maximum number of slots that the team's tasks may hold at once, in the whole system.
    pub quota_slots: Option<u64>,
}

impl AdmissionPolicy {
    /// Returns the policy for a submission, or `None` if its team does not exist.
    ///
    /// A team exists if its branch was given an owner, and the owner is the team itself.
    pub fn of(settings: &SettingsTree, submission: &Submission) -> Option<Self> {
        let team = &submission.team;
        settings.version(team, SettingKey::Owner).checked_sub(1)?;
        settings.owner_of(team).eq(&**team).then_some(())?;
        let path = format!("{team}/{}", submission.service);
        let number = |key| value_at(settings, &path, key).and_then(Value::as_u64);
        let enabled = value_at(settings, &path, SettingKey::Enabled).and_then(Value::as_bool);
        Some(Self {
            enabled: enabled.unwrap_or(true),
            max_timeout_ms: number(SettingKey::MaxTimeoutMs).unwrap_or(MAX_TIMEOUT_MS),
            max_queued_tasks: number(SettingKey::MaxQueuedTasks)
                .unwrap_or(DEFAULT_MAX_QUEUED_TASKS),
            quota_slots: team_quota(settings, team),
        })
    }
}

/// Returns the maximum number of slots that a team's tasks may hold at once, if that is limited.
pub fn team_quota(settings: &SettingsTree, team: &str) -> Option<u64> {
    value_at(settings, team, SettingKey::QuotaSlots).and_then(Value::as_u64)
}

/// Returns a team's weight in the sharing of free slots.
pub fn team_weight(settings: &SettingsTree, team: &str) -> u64 {
    value_at(settings, team, SettingKey::Weight).and_then(Value::as_u64).unwrap_or(DEFAULT_WEIGHT)
}

/// Returns whether the settings say that a target is to be drained.
pub fn is_drain_requested(settings: &SettingsTree, agent_name: &str) -> bool {
    let path = format!("{TARGETS_BRANCH}/{agent_name}");
    value_at(settings, &path, SettingKey::Drain).and_then(Value::as_bool).unwrap_or(false)
}

fn value_at<'a>(settings: &'a SettingsTree, path: &str, key: SettingKey) -> Option<&'a Value> {
    settings.effective(path, key)?.setting.value.as_ref()
}
