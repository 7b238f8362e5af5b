//! An open-loop load with its report.
//!
//! - [`workload`]: the submissions of the two deployments
//! - [`run`]: submitting them at a rate
//! - [`report`]: what came of it

pub mod report;
pub mod run;
pub mod workload;
