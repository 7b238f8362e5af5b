//! Tests of the settings tree: ownership of branches, versions, inheritance, and reading it from
//! the log.

use std::sync::Arc;

use arbtest::{arbitrary, arbtest};
use bulrushlatch_core::version::{
    settings::{ChangeOutcome, RejectionCause, SettingsTree},
    stream::{StreamReader, StreamState, record_body},
};
use bulrushlatch_log::{
    memory_log::MemoryLog,
    platform_log::{PlatformLog, StreamName},
};
use bulrushlatch_protocol::change::{Change, SettingKey};
use serde_json::{Value, json};

/// Number of cases, each with its own fixed seed.
const CASES: u64 = 60;

fn change(id: &str, team: &str, path: &str, key: SettingKey, value: Value, version: u64) -> Change {
    Change {
        change_id: id.to_owned(),
        team: team.into(),
        author: "ana".to_owned(),
        path: path.to_owned(),
        key,
        value: Some(value),
        expected_version: version,
        reason: "a test".to_owned(),
        published_at_ms: 0,
    }
}

/// Applies a change at the next offset and returns its outcome.
fn outcome_of(tree: &mut SettingsTree, change: Change) -> ChangeOutcome {
    let id = change.change_id.clone();
    let offset = tree.next_offset();
    tree.apply(offset, change);
    tree.set_next_offset(offset + 1);
    tree.outcome(&id).expect("the change was applied").clone()
}

fn tree_with_team() -> SettingsTree {
    let mut tree = SettingsTree::default();
    let owner = change("create", "operators", "marea", SettingKey::Owner, json!("marea"), 0);
    assert_eq!(outcome_of(&mut tree, owner), ChangeOutcome::Accepted(1));
    tree
}

#[test]
fn a_team_changes_only_its_own_branch() {
    let mut tree = tree_with_team();
    let own = change("own", "marea", "marea/listing", SettingKey::Weight, json!(3), 0);
    assert_eq!(outcome_of(&mut tree, own), ChangeOutcome::Accepted(1));
    let foreign = change("foreign", "fairgo", "marea/listing", SettingKey::Weight, json!(9), 1);
    let rejected = ChangeOutcome::Rejected(RejectionCause::ForeignBranch);
    assert_eq!(outcome_of(&mut tree, foreign), rejected);
    let root = change("root", "marea", "", SettingKey::Weight, json!(9), 0);
    assert_eq!(outcome_of(&mut tree, root), rejected);
    let give_away = change("give", "marea", "marea", SettingKey::Owner, json!("fairgo"), 1);
    assert_eq!(outcome_of(&mut tree, give_away), rejected);
}

#[test]
fn of_two_racing_changes_the_first_in_the_log_wins() {
    let mut tree = tree_with_team();
    let first = change("first", "marea", "marea", SettingKey::QuotaSlots, json!(4), 0);
    let second = change("second", "marea", "marea", SettingKey::QuotaSlots, json!(8), 0);
    assert_eq!(outcome_of(&mut tree, first), ChangeOutcome::Accepted(1));
    let stale = ChangeOutcome::Rejected(RejectionCause::StaleVersion);
    assert_eq!(outcome_of(&mut tree, second), stale);
    let value = tree.effective("marea", SettingKey::QuotaSlots).expect("the quota is set");
    assert_eq!(value.setting.value, Some(json!(4)));
}

#[test]
fn lower_nodes_inherit_and_override_values() {
    let mut tree = tree_with_team();
    let upper = change("upper", "marea", "marea", SettingKey::MaxTimeoutMs, json!(5000), 0);
    outcome_of(&mut tree, upper);
    let effective_value = |tree: &SettingsTree, path: &str| {
        let found = tree.effective(path, SettingKey::MaxTimeoutMs);
        found.and_then(|found| found.setting.value.clone())
    };
    assert_eq!(effective_value(&tree, "marea/listing/photo"), Some(json!(5000)));
    let lower = change("lower", "marea", "marea/listing", SettingKey::MaxTimeoutMs, json!(900), 0);
    outcome_of(&mut tree, lower);
    assert_eq!(effective_value(&tree, "marea/listing/photo"), Some(json!(900)));
    assert_eq!(effective_value(&tree, "marea/other"), Some(json!(5000)));
    let delete = Change {
        value: None,
        ..change("delete", "marea", "marea/listing", SettingKey::MaxTimeoutMs, json!(0), 1)
    };
    assert_eq!(outcome_of(&mut tree, delete), ChangeOutcome::Accepted(2));
    assert_eq!(effective_value(&tree, "marea/listing/photo"), Some(json!(5000)));
}

#[test]
fn invalid_values_paths_and_authors_are_rejected() {
    let mut tree = tree_with_team();
    let invalid_value = change("wrong", "marea", "marea", SettingKey::Weight, json!("heavy"), 0);
    let invalid = ChangeOutcome::Rejected(RejectionCause::InvalidValue);
    assert_eq!(outcome_of(&mut tree, invalid_value), invalid);
    let invalid_path = change("path", "marea", "marea//x", SettingKey::Weight, json!(1), 0);
    let invalid = ChangeOutcome::Rejected(RejectionCause::InvalidPath);
    assert_eq!(outcome_of(&mut tree, invalid_path), invalid);
    let without_author = Change {
        author: String::new(),
        ..change("nameless", "marea", "marea", SettingKey::Weight, json!(1), 0)
    };
    let incomplete = ChangeOutcome::Rejected(RejectionCause::Incomplete);
    assert_eq!(outcome_of(&mut tree, without_author), incomplete);
}

/// Guards against readers of one log that come to different settings: they read pages of different
/// sizes, start late, miss dropped records or get the state from a peer.
#[test]
fn all_readers_of_a_log_agree() {
    for case in 0..CASES {
        arbtest(check_readers).seed((case << 32) | 8192);
    }
}

fn check_readers(entropy: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let log = MemoryLog::default();
    let mut steady = StreamReader::<SettingsTree>::default();
    let mut slow_reader = StreamReader::<SettingsTree>::default();
    for number in 0..entropy.int_in_range(5..=80)? {
        let body = draw_record(entropy, &steady, number)?;
        log.append(StreamName::Settings, &body).expect("the log is up");
        read(&log, &mut steady, 100);
        if entropy.ratio(1, 6)? {
            log.append(StreamName::Settings, &steady.snapshot_body()).expect("the log is up");
            read(&log, &mut steady, 100);
        }
        if entropy.ratio(1, 4)? {
            let page_size = entropy.int_in_range(1..=7)?;
            let before = slow_reader.next_offset();
            read(&log, &mut slow_reader, page_size);
            assert!(slow_reader.next_offset() >= before, "the offset of a reader went back");
        }
    }
    // A reader that starts now has nothing but the last snapshot.
    log.append(StreamName::Settings, &steady.snapshot_body()).expect("the log is up");
    log.trim(StreamName::Settings, 1);
    read(&log, &mut steady, 100);
    let mut late_starter = StreamReader::<SettingsTree>::default();
    for reader in [&mut late_starter, &mut slow_reader] {
        while reader.next_offset() < steady.next_offset() {
            read(&log, reader, 3);
        }
        assert!(reader.is_synced());
    }
    let mut from_peer = StreamReader::<SettingsTree>::default();
    assert!(from_peer.adopt(steady.state()));
    assert!(!from_peer.adopt(&Arc::new(SettingsTree::default())), "an older state was adopted");
    for reader in [&late_starter, &slow_reader, &from_peer] {
        assert_eq!(reader.state(), steady.state());
    }
    Ok(())
}

fn draw_record(
    entropy: &mut arbitrary::Unstructured<'_>,
    reader: &StreamReader<SettingsTree>,
    number: u32,
) -> arbitrary::Result<String> {
    if entropy.ratio(1, 20)? {
        return Ok("not a record".to_owned());
    }
    let path = *entropy.choose(&["", "marea", "marea/listing", "fairgo"])?;
    let team = *entropy.choose(&["operators", "marea", "fairgo"])?;
    let key = *entropy.choose(&[SettingKey::Owner, SettingKey::Weight])?;
    let value = if key == SettingKey::Owner { json!(team) } else { json!(number + 1) };
    // Some changes expect a wrong version, and some ids are used twice.
    let version = reader.state().version(path, key) + u64::from(entropy.ratio(1, 5)?);
    let id = format!("change-{}", number - u32::from(number > 0 && entropy.ratio(1, 8)?));
    Ok(record_body::<SettingsTree>(&change(&id, team, path, key, value, version)))
}

fn read(log: &MemoryLog, reader: &mut StreamReader<SettingsTree>, page_size: usize) {
    let page = log.read(StreamName::Settings, reader.next_offset(), page_size);
    reader.apply_page(&page.expect("the log is up"));
}

/// Guards against a stream that is not followed any more because of one odd record in it.
#[test]
fn an_unreadable_record_costs_a_stream_only_itself() {
    let log = MemoryLog::default();
    let nested = "[".repeat(5_000) + &"]".repeat(5_000);
    let odd = ["", "null", "1e999", r#"{"Record":{"expected_version":1e999}}"#, nested.as_str()];
    for body in odd {
        log.append(StreamName::Settings, body).expect("the log is up");
    }
    let good = change("good", "operators", "marea", SettingKey::Owner, json!("marea"), 0);
    let body = record_body::<SettingsTree>(&good);
    log.append(StreamName::Settings, &body).expect("the log is up");
    let mut reader = StreamReader::<SettingsTree>::default();
    read(&log, &mut reader, 100);
    assert_eq!(reader.unreadable_records(), odd.len() as u64);
    assert_eq!(reader.next_offset(), odd.len() as u64 + 1);
    assert!(reader.state().version("marea", SettingKey::Owner) > 0);
}
