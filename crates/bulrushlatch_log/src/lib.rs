//! Access to the platform's append-only log, and a log in memory for tests.
//!
//! - [`platform_log`]: interface of the platform's log
//! - [`memory_log`]: a log in memory that can simulate failures
//! - [`http_log`]: HTTP client of a log
//! - [`http_server`]: HTTP server of a [`memory_log::MemoryLog`]

pub mod http_log;
pub mod http_server;
pub mod memory_log;
pub mod platform_log;
