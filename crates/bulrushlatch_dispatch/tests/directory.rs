//! Which entries are known.

use std::{net::SocketAddr, time::Duration};

use bulrushlatch_dispatch::directory::Directory;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

#[test]
fn addresses_of_the_settings_are_never_forgotten() {
    let mut directory = Directory::new([address(1)]);
    directory.remove_expired(Duration::from_secs(10_000));
    assert!(directory.addresses().contains(&address(1)));
    assert!(directory.known().is_empty(), "nobody has reached it");
}

#[test]
fn an_address_that_is_reached_now_and_then_stays() {
    let mut directory = Directory::new([]);
    assert!(directory.refresh(address(2), Duration::from_secs(1)));
    for minute in 1..10 {
        let now = Duration::from_secs(minute * 50);
        assert!(!directory.refresh(address(2), now), "it is known");
        directory.remove_expired(now);
    }
    assert_eq!(directory.known(), [address(2)]);
}

#[test]
fn an_address_that_nobody_reaches_is_forgotten_although_others_name_it() {
    let mut directory = Directory::new([]);
    directory.refresh(address(3), Duration::from_secs(1));
    assert!(!directory.add_unconfirmed(address(3), Duration::from_secs(50)));
    directory.remove_expired(Duration::from_secs(70));
    assert!(directory.addresses().is_empty());
}
