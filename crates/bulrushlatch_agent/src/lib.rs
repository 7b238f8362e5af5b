//! The agent process: runs tasks against the target beside it.
//!
//! - [`flags`]: the command line
//! - [`settings`]: flags and environment variables, checked
//! - [`process`]: starting, running and ending the process
//! - [`target`]: calls to the target
//! - [`metrics`]: what `/metrics` shows

pub mod flags;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod target;
