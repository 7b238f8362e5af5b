//! State that lives as long as a process.
//!
//! - [`membership`]: an entry's part in the agreed membership
//! - [`shard`]: the submissions of a group of slices at an entry
//! - [`entry`]: a whole entry: membership, shards and what they share
//! - [`agent`]: the process beside a target, where tasks start
//! - [`slot_reservations`]: free slots that an agent keeps for entries that it refused
//! - [`snapshot_watch`]: when a stream needs its next snapshot
//! - [`task_memory`]: what an agent remembers of tasks

pub mod agent;
pub mod entry;
pub mod membership;
pub mod shard;
pub mod slot_reservations;
pub mod snapshot_watch;
pub mod task_memory;
