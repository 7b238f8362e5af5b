//! What one id, message, task or record costs, and what that makes at the planned size.
//!
//! - [`unit_costs`]: measuring the costs of single things
//! - [`table`]: the costs of each role at a given size

pub mod unit_costs;
pub mod table;
