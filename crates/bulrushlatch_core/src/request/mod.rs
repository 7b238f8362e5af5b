//! State that belongs to individual submissions.
//!
//! - [`known`]: the record kept of each submission id
//! - [`job`]: the state of a submission at its owner
//! - [`queue`]: queue of tasks that wait for a free slot
//! - [`run_times`]: average run times by service and task kind

pub mod job;
pub mod known;
pub mod queue;
pub mod run_times;
