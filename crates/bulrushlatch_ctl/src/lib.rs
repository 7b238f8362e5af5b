//! The operators' command `bulrushctl`.
//!
//! - [`flags`]: the command line
//! - [`client`]: HTTP requests to the entries
//! - [`commands`]: the commands
//! - [`explain_request`]: the outcome of a request, reconstructed from log lines
//! - [`table`]: text tables

pub mod client;
pub mod commands;
pub mod explain_request;
pub mod flags;
pub mod table;
