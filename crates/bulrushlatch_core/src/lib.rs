//! The state machines of bulrushlatch, without sockets, threads or clocks of their own.
//!
//! They handle inputs and return [`effect::Effect`]s; the binaries and the simulation tests drive
//! the same code. The modules are grouped by the lifetime of their state:
//!
//! - [`request`]: one submission: known ids, jobs, the queue, run times
//! - [`connection`]: one entry or agent: free slots, ejection, quota loans, forwarded requests
//! - [`version`]: one version of the agreed state: the membership view and the settings tree
//! - [`process`]: one process: membership, a shard of an entry, an entry, an agent
//!
//! Shared by all of them are [`clock`], [`effect`], [`limits`] and [`message`].

pub mod clock;
pub mod connection;
pub mod effect;
pub mod limits;
pub mod message;
pub mod process;
pub mod request;
pub mod version;
