//! The platform's append-only log, as bulrushlatch sees it.
//!
//! - [`platform_log`]: the trait that the platform's log is used through
//! - [`memory_log`]: the records of a log in memory, with its failures on demand
//! - [`http_log`]: a client for a log served over HTTP
//! - [`http_server`]: a stand-in that serves a [`memory_log::MemoryLog`] over HTTP

pub mod http_log;
pub mod http_server;
pub mod memory_log;
pub mod platform_log;
