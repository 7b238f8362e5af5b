//! Why a process could not be started.

use std::{fmt, net::SocketAddr};

/// The step of the start that failed; the report around it has the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The address for other processes cannot be listened on.
    PeerListen(SocketAddr),
    /// The address for HTTP cannot be listened on.
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
