//! Cancellation on signals.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled by SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed.
pub fn shutdown_token() -> std::io::Result<CancellationToken> {
    let token = CancellationToken::new();
    let cancelled = token.clone();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            cancelled.cancel();
        }
    });
    Ok(token)
}
