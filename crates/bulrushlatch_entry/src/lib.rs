//! The entry process: accepts submissions, owns a share of them and answers the callers.
//!
//! - [`flags`]: the command line
//! - [`settings`]: process settings from flags and environment variables
//! - [`process`]: starts, runs and shuts down the process
//! - [`pending_requests`]: HTTP requests that wait for their answers
//! - [`caller_api`]: HTTP API for callers
//! - [`operator_api`]: HTTP API for operators
//! - [`publishing`]: settings changes written to the platform's log and not yet read back
//! - [`metrics`]: metrics served at `/metrics`

pub mod caller_api;
pub mod flags;
pub mod metrics;
pub mod operator_api;
pub mod pending_requests;
pub mod process;
pub mod publishing;
pub mod settings;
