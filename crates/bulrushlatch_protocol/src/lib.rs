//! Types that callers, operators and every bulrushlatch process agree on.
//!
//! Nothing here opens a socket or keeps state. The modules are:
//!
//! - [`ids`]: aliases for identifiers and the mapping of submissions to slices
//! - [`verdict`]: whether a request may have run
//! - [`submission`]: what a caller sends, and its validation
//! - [`answer`]: what a caller gets back
//! - [`change`]: one published change of the settings tree

pub mod answer;
pub mod change;
pub mod ids;
pub mod submission;
pub mod verdict;
