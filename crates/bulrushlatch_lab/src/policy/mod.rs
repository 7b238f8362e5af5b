//! Policies compared under a virtual clock.
//!
//! - [`virtual_site`]: entries, agents and links in virtual time
//! - [`comparison`]: the same load under each rule and condition

pub mod comparison;
pub mod virtual_site;
