//! Graceful stop of an instance.

use std::rc::Rc;

use base::prelude::*;
use slog::info;
use tokio::time::sleep;

use crate::Front;

/// Time for which requests are still admitted while callers learn other addresses.
const ADMIT_TIME: Duration = Duration::from_secs(3);
/// Last part of the grace period, reserved for returning tokens to the budgets.
const TOKEN_RETURN_TIME: Duration = Duration::from_millis(900);
/// Time without a request in flight after which the drain ends.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Interval at which the number of requests in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops within `grace`: withdraws the address, drains the requests, then returns tokens.
pub async fn stop(front: &Rc<Front>, grace: Duration) {
    let now = || front.clock.now();
    let started_at = now();
    front.stopping_since.set(Some(started_at));
    info!(front.log, "stopping"; "active" => front.in_flight_requests.get(),
        "grace_s" => grace.as_secs());
    front.roster.leave().await;
    let end_at = started_at + grace.saturating_sub(TOKEN_RETURN_TIME);
    let mut quiet_since = now();
    while now() < end_at {
        front.is_draining.set(now().saturating_sub(started_at) >= ADMIT_TIME);
        if front.in_flight_requests.get() > 0 || front.carried_tunnels() > 0 {
            quiet_since = now();
        }
        if front.is_draining.get() && now().saturating_sub(quiet_since) >= QUIET_TIME {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    front.is_draining.set(true);
    let cut_requests = front.in_flight_requests.get();
    front.escrow.close(TOKEN_RETURN_TIME / 2).await;
    info!(front.log, "stopped"; "cut" => cut_requests);
}
