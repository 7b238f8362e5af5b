//! Simulations of the systems around bulrushlatch, a load generator, measurements and a demo.
//!
//! - [`flags`]: the command line
//! - [`target`]: a simulated target with configurable run times and injected faults
//! - [`site`]: entries, agents, targets and a log in one process
//! - [`capacity`]: measured unit costs, and the resources that each role needs at a planned size
//! - [`demo`]: jobs submitted to a site in one process, with checked answers
//! - [`journal`]: an HTML page of the scores that the external benchmark tool recorded
//! - [`load`]: an open-loop load generator with its report
//! - [`policy`]: placement rules and failover simulated under a virtual clock

pub mod capacity;
pub mod demo;
pub mod flags;
pub mod journal;
pub mod load;
pub mod policy;
pub mod site;
pub mod target;
