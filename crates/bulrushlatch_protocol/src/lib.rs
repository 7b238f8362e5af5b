//! Types shared by callers, operators and all bulrushlatch processes.
//!
//! The crate performs no I/O and keeps no state. The modules are:
//!
//! - [`ids`]: identifier types and the mapping of submission ids to slices
//! - [`verdict`]: whether a request may have run
//! - [`submission`]: submissions of callers and their validation
//! - [`answer`]: answers to submissions
//! - [`change`]: changes of the settings tree

pub mod answer;
pub mod change;
pub mod ids;
pub mod submission;
pub mod verdict;
