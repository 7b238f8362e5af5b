//! The operators' command.
//!
//! - [`flags`]: the command line
//! - [`client`]: calls to the entries
//! - [`commands`]: what each command does
//! - [`request_story`]: what became of a request, from log lines
//! - [`table`]: text tables

pub mod client;
pub mod commands;
pub mod flags;
pub mod request_story;
pub mod table;
