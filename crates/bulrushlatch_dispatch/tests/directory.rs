//! Tests of the discovery of entries.

use std::{net::SocketAddr, time::Duration};

use bulrushlatch_dispatch::directory::Directory;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

#[test]
fn addresses_from_settings_do_not_expire() {
    let mut directory = Directory::new([address(1)]);
    directory.remove_expired(Duration::from_secs(10_000));
    assert!(directory.addresses().contains(&address(1)));
    assert!(directory.known().is_empty(), "the address was never reached");
}

#[test]
fn an_address_that_is_refreshed_does_not_expire() {
    let mut directory = Directory::new([]);
    assert!(directory.refresh(address(2), Duration::from_secs(1)));
    for minute in 1..10 {
        let now = Duration::from_secs(minute * 50);
        assert!(!directory.refresh(address(2), now), "the address is known already");
        directory.remove_expired(now);
    }
    assert_eq!(directory.known(), [address(2)]);
}

/// Guards against addresses of ended processes that never expire because other processes name them.
#[test]
fn an_unreached_address_expires_even_if_other_processes_name_it() {
    let mut directory = Directory::new([]);
    directory.refresh(address(3), Duration::from_secs(1));
    assert!(!directory.add_unconfirmed(address(3), Duration::from_secs(50)));
    directory.remove_expired(Duration::from_secs(70));
    assert!(directory.addresses().is_empty());
}
