//! The entry process: takes submissions, owns a share of them and answers.
//!
//! - [`flags`]: the command line
//! - [`settings`]: flags and environment variables, checked
//! - [`process`]: starting, running and ending the process
//! - [`pending_requests`]: requests that wait for their answers
//! - [`caller_api`]: HTTP for callers
//! - [`operator_api`]: HTTP for operators
//! - [`publishing`]: changes on their way through the log
//! - [`metrics`]: what `/metrics` shows

pub mod caller_api;
pub mod flags;
pub mod metrics;
pub mod operator_api;
pub mod pending_requests;
pub mod process;
pub mod publishing;
pub mod settings;
