//! Policies compared under a virtual clock.
//!
//! - [`virtual_site`]: entries, agents and links in virtual time
//! - [`comparison`]: the same load under each rule and condition
//! - [`failover`]: how long submissions wait when an entry dies

pub mod comparison;
pub mod failover;
pub mod virtual_site;
