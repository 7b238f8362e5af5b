//! An open-loop load generator with its report.
//!
//! - [`workload`]: the two mixes of submissions
//! - [`run`]: sending submissions at a given rate
//! - [`report`]: response times, answers and errors of a load

pub mod report;
pub mod run;
pub mod workload;
