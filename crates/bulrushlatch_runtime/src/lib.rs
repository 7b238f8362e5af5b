//! I/O shared by the binaries that run the state machines of `bulrushlatch_core`.
//!
//! - [`peer_api`]: RPC interface between processes
//! - [`outbox`]: sends messages to other processes
//! - [`log_io`]: threads that read and append to the platform's log
//! - [`settings_reader`]: reads and validates process settings
//! - [`start_error`]: errors at the start of a process
//! - [`logging`]: log lines, written without blocking
//! - [`metrics_text`]: Prometheus text format of metrics
//! - [`shutdown`]: cancellation on signals
//! - [`web`]: HTTP server with asynchronous responses

pub mod log_io;
pub mod logging;
pub mod metrics_text;
pub mod outbox;
pub mod peer_api;
pub mod settings_reader;
pub mod shutdown;
pub mod start_error;
pub mod web;
