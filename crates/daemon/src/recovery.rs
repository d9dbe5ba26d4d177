//! Controller: recovery of what dead holders of budgets held.

use std::collections::BTreeSet;
use std::rc::Rc;

use base::prelude::*;
use flow::Shared;
use ledger::recover::{self, Snapshot};
use ntex::time::{Millis, sleep};
use slog::{info, warn};
use store::Table;

/// Interval between looks at the holders by one of few instances.
const INTERVAL: Duration = Duration::from_secs(2);
/// Instances that together look at the holders once per interval.
const SHARE: usize = 3;
/// Largest difference between the wall clocks of two instances.
const MARGIN: Duration = Duration::from_millis(500);

/// Recovers dead holders for as long as the instance runs.
///
/// The more instances there are, the less often each of them looks, so that the load on the
/// table does not grow with the fleet.
pub async fn run(shared: Arc<Shared>, table: Rc<dyn Table>) {
    let mut seen = BTreeSet::new();
    loop {
        sleep(Millis::from(interval(&shared))).await;
        seen.extend(shared.membership.listed().iter().map(|listing| listing.instance.clone()));
        if let Err(error) = look(&shared, &*table, &seen).await {
            warn!(shared.log, "cannot recover holders"; "error" => %error);
        }
    }
}

fn interval(shared: &Shared) -> Duration {
    let instances = shared.membership.listed().len();
    let rounds = u32::try_from(instances.div_ceil(SHARE)).unwrap_or(u32::MAX);
    INTERVAL.saturating_mul(rounds.max(1))
}

async fn look(
    shared: &Shared,
    table: &dyn Table,
    seen: &BTreeSet<String>,
) -> Result<(), store::Error> {
    let holders = recover::holders(table).await?;
    let wall = shared.clock.wall();
    let listed = shared.membership.listed();
    let snapshot = Snapshot {
        holders: &holders,
        listed: &listed,
        ever_listed: seen,
        wall,
        max_clock_skew: MARGIN,
    };
    for death in snapshot.dead_holders() {
        recover::recover(table, &death, wall).await?;
        info!(shared.log, "recovered a dead holder"; "holder" => death.holder,
            "in_lease" => death.died_in_lease);
    }
    Ok(())
}
