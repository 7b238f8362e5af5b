//! State that lives as long as one submission.
//!
//! - [`known`]: what is remembered of every id
//! - [`job`]: a submission that its owner works on, or has answered
//! - [`queue`]: tasks that wait for a free slot
//! - [`run_times`]: learned run times and the wait they imply

pub mod job;
pub mod known;
pub mod queue;
pub mod run_times;
