//! Processes that run the state machines of `bulrushlatch_dispatch` and connect them to a platform.
//!
//! - [`entry`]: process that accepts jobs
//! - [`agent`]: process that runs tasks at one target
//! - [`interface`]: traits that a platform's adapter implements
//! - [`http_client`], [`http_server`], [`link`], [`link_manager`]: connections
//! - [`cordon_records`]: cordoned zones in the operators' records
//! - [`call_gate`]: limits the calls to a server that leaves calls unanswered
//! - [`read_rate`]: limits the rate at which responses are read
//! - [`one_thread`]: single-threaded runtime of a process
//! - [`busy_time`]: time in which that thread is busy
//! - [`queue_probe`]: time for which events wait for that thread
//! - [`settings`]: flags and environment variables, validated

pub mod agent;
pub mod boot_clock;
pub mod busy_time;
pub mod call_gate;
pub mod cordon_records;
pub mod entry;
pub mod http_client;
pub mod http_server;
pub mod interface;
pub mod link;
pub mod link_manager;
pub mod metrics;
pub mod one_thread;
pub mod queue_probe;
pub mod read_rate;
pub mod settings;
pub mod signals;
