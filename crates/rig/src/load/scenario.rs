//! All scenarios, one per module.

mod config_race;
mod drain;
mod lost_reply;
mod partition;
mod poison;
mod rolling_stop;
mod router_freeze;
mod router_kill;
mod steady;
mod store_outage;
mod store_slow;
mod storm;
mod topup_partition;
mod upstream_kill;

use super::script::Scenario;

/// Scenarios with faults, from which `storm` draws.
pub const FAULT_SCENARIOS: [&dyn Scenario; 12] = [
    &partition::Partition,
    &router_kill::RouterKill,
    &router_freeze::RouterFreeze,
    &store_outage::StoreOutage,
    &store_slow::StoreSlow,
    &lost_reply::LostReply,
    &upstream_kill::UpstreamKill,
    &poison::Poison,
    &drain::Drain,
    &rolling_stop::RollingStop,
    &config_race::ConfigRace,
    &topup_partition::TopupPartition,
];

/// Returns the scenario with the given name.
///
/// # Examples
///
/// ```
/// assert!(rig::load::scenario::find("storm").is_some());
/// assert!(rig::load::scenario::find("calm").is_none());
/// ```
#[must_use]
pub fn find(name: &str) -> Option<&'static dyn Scenario> {
    let others: [&dyn Scenario; 2] = [&steady::Steady, &storm::Storm];
    FAULT_SCENARIOS.into_iter().chain(others).find(|scenario| scenario.name() == name)
}

/// Returns the names of all scenarios.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let faults = FAULT_SCENARIOS.iter().map(|scenario| scenario.name());
    std::iter::once("steady").chain(faults).chain(["storm"]).collect()
}
