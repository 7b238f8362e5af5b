//! Handling of process signals.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Cancels `token` on SIGTERM or SIGINT. SIGHUP is only logged, since settings are read only at the
/// start.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub fn watch_signals(token: CancellationToken) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => tracing::info!("SIGHUP ignored: settings are read once"),
            }
        }
        token.cancel();
    });
    Ok(())
}
