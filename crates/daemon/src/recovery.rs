//! Controller that recovers the pieces of dead holders.
//!
//! A holder is one incarnation of an instance, as owner of pieces.

use std::rc::Rc;

use base::prelude::*;
use flow::Shared;
use ledger::recover::{self, Snapshot};
use ntex::time::{Millis, sleep};
use slog::{info, warn};
use store::Table;

/// Interval between two scans of the holders while the fleet is small.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);
/// Largest number of listed instances at which each one scans every [`SCAN_INTERVAL`].
///
/// With more instances, the time between scans grows in proportion.
const INSTANCES_PER_SCAN: usize = 3;
/// Largest assumed difference between the wall clocks of two instances.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Recovers dead holders until the thread ends.
///
/// Each instance scans less often the more instances are listed, so that the load on the table
/// does not grow with the fleet.
pub async fn run(shared: Arc<Shared>, table: Rc<dyn Table>) {
    loop {
        sleep(Millis::from(scan_interval(&shared))).await;
        if let Err(error) = recover_dead_holders(&shared, &*table).await {
            warn!(shared.log, "cannot recover dead holders"; "error" => %error);
        }
    }
}

fn scan_interval(shared: &Shared) -> Duration {
    let instances = shared.membership.listed().len();
    let rounds = u32::try_from(instances.div_ceil(INSTANCES_PER_SCAN)).unwrap_or(u32::MAX);
    SCAN_INTERVAL.saturating_mul(rounds.max(1))
}

async fn recover_dead_holders(shared: &Shared, table: &dyn Table) -> Result<(), store::Error> {
    let holders = recover::holders(table).await?;
    let wall = shared.clock.wall();
    let (listed, ever_listed) = (shared.membership.listed(), shared.membership.ever_listed());
    let snapshot = Snapshot {
        holders: &holders,
        listed: &listed,
        ever_listed: &ever_listed,
        wall,
        max_clock_skew: MAX_CLOCK_SKEW,
    };
    for death in snapshot.dead_holders() {
        recover::recover(table, &death, wall).await?;
        info!(shared.log, "recovered a dead holder"; "holder" => death.holder,
            "in_lease" => death.died_in_lease);
    }
    Ok(())
}
