//! The agent process: runs tasks on the one target that it serves.
//!
//! - [`flags`]: the command line
//! - [`settings`]: process settings from flags and environment variables
//! - [`process`]: starts, runs and shuts down the process
//! - [`target`]: HTTP client of the target
//! - [`metrics`]: metrics served at `/metrics`

pub mod flags;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod target;
