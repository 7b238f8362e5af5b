//! Applies a few changes to a settings tree, and prints which were accepted and every value of a
//! setting on the path to the root, the effective one first.
//!
//!     cargo run -p bulrushlatch_core --example fold_settings

use bulrushlatch_core::version::{settings::SettingsTree, stream::StreamState};
use bulrushlatch_protocol::change::{Change, SettingKey};
use serde_json::{Value, json};

fn main() {
    let changes = [
        change("1", "operators", "marea", SettingKey::Owner, json!("marea"), 0),
        change("2", "marea", "marea", SettingKey::QuotaSlots, json!(40), 0),
        change("3", "fairgo", "marea", SettingKey::QuotaSlots, json!(1), 1),
        change("4", "marea", "marea/listing", SettingKey::MaxTimeoutMs, json!(9000), 0),
    ];
    let mut tree = SettingsTree::default();
    for (offset, change) in (0..).zip(changes) {
        tree.apply(offset, change);
    }
    for entry in tree.audit() {
        println!("{} by {}: {:?}", entry.change.change_id, entry.change.team, entry.outcome);
    }
    for effective in tree.explain("marea/listing", SettingKey::QuotaSlots) {
        println!(
            "quota of marea/listing: {:?}, set at {}",
            effective.setting.value, effective.path
        );
    }
}

fn change(id: &str, team: &str, path: &str, key: SettingKey, value: Value, version: u64) -> Change {
    Change {
        change_id: id.to_owned(),
        team: team.into(),
        author: "ana".to_owned(),
        path: path.to_owned(),
        key,
        value: Some(value),
        expected_version: version,
        reason: "an example".to_owned(),
        published_at_ms: 0,
    }
}
