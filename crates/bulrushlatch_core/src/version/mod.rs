//! State that all entries agree on, computed from the streams of the log.
//!
//! - [`stream`]: reading a stream in offset order, with snapshots
//! - [`view`]: the membership view: entries, agents and the owners of slices
//! - [`settings`]: the settings tree and its audit trail
//! - [`policy`]: the settings that apply to a team, a service or a target

pub mod policy;
pub mod settings;
pub mod stream;
pub mod view;
