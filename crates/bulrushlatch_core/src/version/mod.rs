//! State that lives as long as one agreed version: folds of the log's streams.
//!
//! - [`stream`]: reading a stream in offset order, with snapshots
//! - [`view`]: which entries and agents there are, and who owns what
//! - [`settings`]: the settings tree and its audit trail
//! - [`policy`]: what the settings tree says for one team and service

pub mod policy;
pub mod settings;
pub mod stream;
pub mod view;
