//! State with the lifetime of a process.
//!
//! - [`membership`]: how an entry takes part in the agreed membership
//! - [`shard`]: the submissions of a group of slices at an entry
//! - [`entry`]: an entry: its membership, its shards and the tables that these share
//! - [`agent`]: the process beside a target that accepts and starts tasks
//! - [`slot_reservations`]: reservations of free slots for entries that an agent refused
//! - [`snapshot_watch`]: when a stream needs its next snapshot
//! - [`task_memory`]: the tasks and refusals that an agent remembers

pub mod agent;
pub mod entry;
pub mod membership;
pub mod shard;
pub mod slot_reservations;
pub mod snapshot_watch;
pub mod task_memory;
