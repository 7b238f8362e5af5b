//! Tests of when an entry requests a configuration from a peer.

use std::time::Duration;

use bulrushlatch_dispatch::configuration_fetch::ConfigurationFetch;

fn at(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn an_entry_without_a_configuration_requests_one_at_once() {
    assert!(ConfigurationFetch::default().handle_advertised_version(at(0), None, Some(3)));
}

#[test]
fn a_newer_version_is_requested_only_after_waiting_for_the_store() {
    let mut fetch = ConfigurationFetch::default();
    assert!(!fetch.handle_advertised_version(at(0), Some(1), Some(3)));
    assert!(!fetch.handle_advertised_version(at(100), Some(1), Some(3)));
    assert!(fetch.handle_advertised_version(at(300), Some(1), Some(3)));
}

#[test]
fn only_one_of_many_peers_with_a_newer_version_is_asked_at_a_time() {
    let mut fetch = ConfigurationFetch::default();
    fetch.handle_advertised_version(at(0), Some(1), Some(3));
    let requests =
        (0..14).filter(|_| fetch.handle_advertised_version(at(300), Some(1), Some(3))).count();
    assert_eq!(requests, 1);
    assert!(
        fetch.handle_advertised_version(at(1_000), Some(1), Some(3)),
        "the first peer may have crashed"
    );
}

#[test]
fn older_and_equal_versions_are_not_requested() {
    let mut fetch = ConfigurationFetch::default();
    assert!(!fetch.handle_advertised_version(at(0), Some(3), Some(3)));
    assert!(!fetch.handle_advertised_version(at(500), Some(3), Some(2)));
    assert!(!fetch.handle_advertised_version(at(900), Some(3), None));
}

#[test]
fn the_wait_for_the_store_begins_again_after_a_reset() {
    let mut fetch = ConfigurationFetch::default();
    fetch.handle_advertised_version(at(0), Some(1), Some(3));
    fetch.reset();
    assert!(!fetch.handle_advertised_version(at(5_000), Some(3), Some(4)));
}
