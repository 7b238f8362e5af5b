//! Stand-ins for the systems around bulrushlatch, a load generator and a demo.
//!
//! - [`flags`]: the command line
//! - [`target`]: a target whose run times and faults can be chosen
//! - [`site`]: a whole site in one process
//! - [`capacity`]: costs of single things, and at the planned size
//! - [`demo`]: the whole path, checked, by one command
//! - [`journal`]: the journal of the users' bench as a page
//! - [`load`]: an open-loop load with its report
//! - [`policy`]: policies compared under a virtual clock

pub mod capacity;
pub mod demo;
pub mod flags;
pub mod journal;
pub mod load;
pub mod policy;
pub mod site;
pub mod target;
