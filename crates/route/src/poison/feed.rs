//! Loop that keeps the records of this instance and those of the table the same.

use std::time::Duration;

use slog::{Logger, info, warn};
use store::{Change, Error, Table};
use tokio::time::sleep;

use super::table::ROWS;

/// Pause after each call, so that a series of changes arrives with few calls.
const MIN_REFRESH_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const OUTAGE_PAUSE: Duration = Duration::from_secs(1);

/// Applies each change of the rows, then publishes what the table lacks; forever.
///
/// `apply` reads all rows if [`Change::Unknown`] is passed. It is called again with it after a
/// failure. While the table is unreachable the cached records stay in force.
pub(super) async fn follow(
    table: &dyn Table,
    poll_interval: Duration,
    log: &Logger,
    apply: impl AsyncFn(Change) -> Result<(), Error>,
    publish: impl AsyncFn() -> Result<(), Error>,
) {
    let mut is_down = false;
    // Whether changes have not been applied because of a failure.
    let mut is_behind = false;
    let mut longest_wait = Duration::ZERO;
    loop {
        let result = async {
            let change = table.wait_change(ROWS.into(), longest_wait).await?;
            let change = if is_behind { Change::Unknown } else { change };
            if change != Change::Nothing {
                is_behind = true;
                apply(change).await?;
                is_behind = false;
            }
            publish().await
        };
        let result = result.await;
        match &result {
            Err(error) if !is_down => {
                warn!(log, "store lost"; "dependency" => "crash records", "error" => %error);
            }
            Ok(()) if is_down => info!(log, "store regained"; "dependency" => "crash records"),
            _ => {}
        }
        is_down = result.is_err();
        longest_wait = poll_interval;
        let pause = if is_down { OUTAGE_PAUSE } else { MIN_REFRESH_PAUSE };
        sleep(pause.min(poll_interval)).await;
    }
}
