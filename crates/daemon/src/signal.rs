//! Signals that start a planned stop.

use futures::FutureExt;
use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let terminated = terminate.recv().map(drop).boxed_local();
    let interrupted = interrupt.recv().map(drop).boxed_local();
    futures::future::select(terminated, interrupted).await;
    Ok(())
}
