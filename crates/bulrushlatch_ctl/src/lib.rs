//! The operators' command.
//!
//! - [`flags`]: the command line
//! - [`client`]: calls to the entries
//! - [`commands`]: what each command does
//! - [`table`]: text tables

pub mod client;
pub mod commands;
pub mod flags;
pub mod table;
