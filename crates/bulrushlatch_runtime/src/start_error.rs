//! Errors at the start of a process.

use std::{fmt, net::SocketAddr};

/// Step of the start that failed; the enclosing report has the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The address for other processes cannot be bound.
    PeerListen(SocketAddr),
    /// The address for HTTP cannot be bound.
    HttpListen(SocketAddr),
    /// Threads or signal handlers cannot be set up.
    System,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PeerListen(address) => write!(f, "cannot listen for processes at {address}"),
            Self::HttpListen(address) => write!(f, "cannot listen for HTTP at {address}"),
            Self::System => write!(f, "cannot set up threads or signal handlers"),
        }
    }
}

impl std::error::Error for StartError {}
