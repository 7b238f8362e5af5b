//! When an entry asks another one for a configuration.

use std::time::Duration;

use bulrushlatch_dispatch::configuration_fetch::ConfigurationFetch;

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn an_entry_without_a_configuration_asks_at_once() {
    assert!(ConfigurationFetch::default().handle_advertised_version(at(0), None, Some(3)));
}

#[test]
fn the_store_has_a_head_start() {
    let mut hand_over = ConfigurationFetch::default();
    assert!(!hand_over.handle_advertised_version(at(0), Some(1), Some(3)));
    assert!(!hand_over.handle_advertised_version(at(100), Some(1), Some(3)));
    assert!(hand_over.handle_advertised_version(at(300), Some(1), Some(3)));
}

#[test]
fn many_entries_with_a_newer_version_are_not_all_asked() {
    let mut hand_over = ConfigurationFetch::default();
    hand_over.handle_advertised_version(at(0), Some(1), Some(3));
    let asked =
        (0..14).filter(|_| hand_over.handle_advertised_version(at(300), Some(1), Some(3))).count();
    assert_eq!(asked, 1);
    assert!(
        hand_over.handle_advertised_version(at(1_000), Some(1), Some(3)),
        "the first may have died"
    );
}

#[test]
fn older_and_equal_versions_are_not_asked_for() {
    let mut hand_over = ConfigurationFetch::default();
    assert!(!hand_over.handle_advertised_version(at(0), Some(3), Some(3)));
    assert!(!hand_over.handle_advertised_version(at(500), Some(3), Some(2)));
    assert!(!hand_over.handle_advertised_version(at(900), Some(3), None));
}

#[test]
fn a_version_after_the_next_has_a_head_start_again() {
    let mut hand_over = ConfigurationFetch::default();
    hand_over.handle_advertised_version(at(0), Some(1), Some(3));
    hand_over.reset();
    assert!(!hand_over.handle_advertised_version(at(5_000), Some(3), Some(4)));
}
