//! Start and end of the loop that records claims of idempotency keys.

use base::prelude::*;
use conf::limits::Limits;
use idem::Claims;
use idem::core::Settings;
use idem::event::{self, Context, Inbox};
use slog::Logger;
use tokio::time::timeout;

/// Shortest time between two transactions that no request waits for.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait of a planned stop for the last claims to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens the claims of a holder; the inbox is for the loop that records them.
#[must_use]
pub fn open(
    limits: &Limits,
    holder: &HolderId,
    clock: &Arc<dyn Clock>,
    log: &Logger,
) -> (Claims, Inbox) {
    event::open(Context {
        holder: Arc::clone(holder),
        settings: Settings {
            key_ttl: limits.key_retention,
            max_stored_answer_bytes: limits.max_answer_row_bytes,
            ..Settings::default()
        },
        flush_interval: FLUSH_INTERVAL,
        clock: Arc::clone(clock),
        log: log.clone(),
    })
}

/// Waits a limited time until the outcomes of all claims are in the table.
pub async fn close(claims: &Claims) {
    // If the platform is unreachable, the claims in the table stay as they are.
    drop(timeout(CLOSE_TIMEOUT, claims.close()).await);
}
