//! Decisions for repeatable jobs whose tasks run under leases at their targets.
//!
//! Nothing here opens a socket, reads a clock or starts a thread: callers pass the time in and take
//! frames and answers out.
//!
//! - [`timing`]: the time bounds by which an earlier run is over before the next one starts
//! - [`job`], [`size`], [`routing`]: what a job asks for, and where it may run
//! - [`frame`]: what entries and agents tell each other
//! - [`outcome`]: how runs and jobs end
//! - [`agent`]: the process beside a target
//! - [`entry`]: the process that takes jobs and answers them
//! - [`directory`]: which entries there are
//! - [`configuration_fetch`]: when entries ask each other for a configuration

pub mod agent;
pub mod clock;
pub mod directory;
pub mod entry;
pub mod frame;
pub mod configuration_fetch;
pub mod ids;
pub mod job;
pub mod outcome;
pub mod routing;
pub mod size;
pub mod timing;
