//! Costs of one id, message, task or record, and the resources that result at a planned size.
//!
//! - [`unit_costs`]: measurement of the costs
//! - [`table`]: resources that each role needs at a given size

pub mod unit_costs;
pub mod table;
