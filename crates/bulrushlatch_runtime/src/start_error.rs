//! Errors at the start of a process.

use std::{fmt, net::SocketAddr};

/// Step of the start that failed; the enclosing report has the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// Binding the address for other processes.
    BindPeerAddress(SocketAddr),
    /// Binding the address for HTTP.
    BindHttpAddress(SocketAddr),
    /// Setting up threads or signal handlers.
    ProcessSetup,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BindPeerAddress(address) => write!(f, "cannot listen for processes at {address}"),
            Self::BindHttpAddress(address) => write!(f, "cannot listen for HTTP at {address}"),
            Self::ProcessSetup => write!(f, "cannot set up threads or signal handlers"),
        }
    }
}

impl std::error::Error for StartError {}
