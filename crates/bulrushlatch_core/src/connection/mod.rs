//! State about other entries and about agents.
//!
//! - [`agents`]: the agents that an entry places tasks on
//! - [`health`]: ejection of targets that fail their tasks
//! - [`placement`]: rules that choose among agents with free slots
//! - [`quota`]: slots that teams hold, and loans of quotas between entries
//! - [`remote`]: requests forwarded by other entries, and the refusals sent to them

pub mod agents;
pub mod health;
pub mod placement;
pub mod quota;
pub mod remote;
