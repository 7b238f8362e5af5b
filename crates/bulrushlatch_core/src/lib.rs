//! The decisions of bulrushlatch, without sockets, threads or clocks of their own.
//!
//! Inputs go in, [`effect::Effect`]s come out; the binaries and the proofs drive the same code.
//! The modules are laid out by what their state lives as long as:
//!
//! - [`request`]: one submission: known ids, jobs, the queue, run times
//! - [`connection`]: one peer or agent: health, free slots, ejection
//! - [`version`]: one version of agreed state: the membership view and the settings tree
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
