//! What the binaries have in common around the decisions of `bulrushlatch_core`.
//!
//! - [`peer_api`]: the calls between processes
//! - [`outbox`]: sending messages to other processes
//! - [`log_io`]: following and writing the platform's log
//! - [`settings_reader`]: flags and environment variables, checked together
//! - [`start_error`]: why a process could not be started
//! - [`logging`]: structured logs that never block
//! - [`metrics_text`]: the text form of metrics
//! - [`shutdown`]: a token that signals cancel
//! - [`web`]: small helpers for HTTP servers

pub mod log_io;
pub mod logging;
pub mod metrics_text;
pub mod outbox;
pub mod peer_api;
pub mod settings_reader;
pub mod shutdown;
pub mod start_error;
pub mod web;
