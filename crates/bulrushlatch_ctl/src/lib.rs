//! The operators' command.
//!
//! - [`flags`]: the command line
//! - [`client`]: calls to the entries
//! - [`commands`]: what each command does
//! - [`explain_request`]: what became of a request, from log lines
//! - [`table`]: text tables

pub mod client;
pub mod commands;
pub mod flags;
pub mod explain_request;
pub mod table;
