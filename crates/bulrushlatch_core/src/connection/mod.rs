//! State that lives as long as a connection to a peer.
//!
//! - [`agents`]: the agents that an entry places tasks on
//! - [`health`]: whether a target fails what it is given
//! - [`placement`]: the choice among agents with free slots
//! - [`quota`]: slots that teams hold
//! - [`remote`]: requests of other entries, and the refusals that they were given

pub mod agents;
pub mod health;
pub mod placement;
pub mod quota;
pub mod remote;
