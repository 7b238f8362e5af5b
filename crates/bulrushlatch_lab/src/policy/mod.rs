//! Placement rules and failover, simulated under a virtual clock.
//!
//! - [`virtual_site`]: a discrete-event simulation of a site
//! - [`comparison`]: the same load under each placement rule and scenario
//! - [`failover`]: delays of submissions after an entry is killed

pub mod comparison;
pub mod failover;
pub mod virtual_site;
