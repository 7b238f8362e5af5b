//! Scheduling of jobs whose tasks may be run again, and run under leases at their targets.
//!
//! This crate does no input or output: it opens no socket, reads no clock and starts no thread. The
//! process passes in the time and the frames received, and sends the frames and answers returned.
//!
//! - [`timing`]: the time bounds by which an earlier run is over before the next one starts
//! - [`job`], [`size`], [`routing`]: what a job requires, and where it may run
//! - [`frame`]: frames that entries and agents exchange
//! - [`outcome`]: how runs and jobs end
//! - [`agent`]: the process beside a target, which starts and stops tasks there
//! - [`entry`]: the process that accepts jobs, places their tasks and answers callers
//! - [`directory`]: discovery of entries
//! - [`crash`]: crashes of targets that agents tell to entries
//! - [`cordon`]: availability zones that receive no new tasks
//! - [`delegation`]: jobs that an entry has another one carry out
//! - [`demand`]: demand that entries tell to agents
//! - [`configuration_fetch`]: when an entry requests a configuration from a peer
//! - [`configuration_transfer`]: the pieces in which it is sent
//! - [`served_peers`]: how many peers are sent pieces at the same time
//! - [`ids`], [`clock`]: identifiers, and the source of the time

pub mod agent;
pub mod clock;
pub mod configuration_fetch;
pub mod configuration_transfer;
pub mod cordon;
pub mod crash;
pub mod delegation;
pub mod demand;
pub mod directory;
pub mod entry;
pub mod frame;
pub mod ids;
pub mod job;
pub mod outcome;
pub mod routing;
pub mod served_peers;
pub mod size;
pub mod timing;
