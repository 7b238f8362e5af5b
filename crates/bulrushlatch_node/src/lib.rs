//! The processes around the decisions of `bulrushlatch_dispatch`.
//!
//! - [`entry`]: the process that takes jobs
//! - [`agent`]: the process beside a target
//! - [`interface`]: what a platform's adapter implements
//! - [`http_client`], [`http_server`], [`link`], [`link_manager`]: connections
//! - [`one_thread`]: how a process runs
//! - [`settings`]: flags and environment variables, checked

pub mod agent;
pub mod boot_clock;
pub mod entry;
pub mod http_client;
pub mod http_server;
pub mod interface;
pub mod link;
pub mod link_manager;
pub mod metrics;
pub mod one_thread;
pub mod settings;
pub mod signals;
