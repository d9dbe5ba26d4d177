//! Operators that confirm plans concurrently, and checks of the resulting configurations.

use std::collections::BTreeMap;

use base::prelude::*;
use futures::future::join_all;
use ntex::http::Method;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::events::Events;
use crate::client;
use crate::cluster::{ADMIN_KEY, Cluster};
use crate::engine::wall_ms;

/// Time after a confirmation by which every reachable instance must use the new version.
const MAX_IN_FORCE_DELAY_MS: u64 = 5_000;
/// Timeout for one request of an operator.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for reading the version of one instance.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);

/// A plan that one operator created and has yet to confirm.
struct Plan {
    router: usize,
    id: String,
    base_version: u64,
    account: String,
}

/// Creates a plan at each instance, then confirms all of them concurrently.
pub async fn race(cluster: &Cluster, events: &mut Events, turn: u64) {
    let created =
        join_all((0..cluster.routers.len()).map(|router| create_plan(cluster, router, turn)));
    let plans: Vec<Plan> = created.await.into_iter().flatten().collect();
    let answers = join_all(plans.iter().map(|plan| confirm_plan(cluster, plan))).await;
    let mut winners: BTreeMap<u64, u64> = BTreeMap::new();
    for (plan, version) in plans.iter().zip(answers) {
        if let Some(version) = version {
            events.add_confirmation(version);
            events.added_accounts.push(plan.account.clone());
            *winners.entry(plan.base_version).or_default() += 1;
        }
    }
    events.double_winners += winners.values().map(|count| count - 1).sum::<u64>();
}

async fn create_plan(cluster: &Cluster, router: usize, turn: u64) -> Option<Plan> {
    let account = format!("race-{turn}-{router}");
    let intent = json!({"accounts": {&account: {"rate": 1}}});
    let url = format!("http://{}/admin/v1/plans", cluster.routers[router].address);
    let call = client::json(&cluster.http, Method::POST, url, Some(ADMIN_KEY), &intent);
    let plan: Value = timeout(OPERATOR_TIMEOUT, call).await.ok()?.ok()?;
    Some(Plan {
        router,
        id: plan["id"].as_str()?.to_owned(),
        base_version: plan["base"].as_u64()?,
        account,
    })
}

async fn confirm_plan(cluster: &Cluster, plan: &Plan) -> Option<u64> {
    let address = cluster.routers[plan.router].address;
    let url = format!("http://{address}/admin/v1/plans/{}/confirm", plan.id);
    let call = client::json(&cluster.http, Method::POST, url, Some(ADMIN_KEY), &());
    let answer: Value = timeout(OPERATOR_TIMEOUT, call).await.ok()?.ok()?;
    answer["version"].as_u64()
}

/// Reads the version at each instance and counts reverted and late ones.
pub async fn check_versions(cluster: &Cluster, events: &mut Events) {
    let requested_ms = wall_ms();
    let versions = join_all(cluster.routers.iter().map(|router| {
        let url = format!("http://{}/admin/v1/status", router.address);
        let call = client::json(&cluster.http, Method::GET, url, Some(ADMIN_KEY), &());
        async move {
            let status: Value = timeout(STATUS_TIMEOUT, call).await.ok()?.ok()?;
            status["version"].as_u64()
        }
    }));
    for (router, version) in cluster.routers.iter().zip(versions.await) {
        // Version 0: the instance has just started, has no configuration and serves no requests.
        if let Some(version @ 1..) = version {
            check_version(events, &router.address.to_string(), version, requested_ms);
        }
    }
}

fn check_version(events: &mut Events, address: &str, version: u64, requested_ms: u64) {
    let newest = events.newest_versions.entry(address.to_owned()).or_default();
    events.reverted_reads += u64::from(version < *newest);
    *newest = version.max(*newest);
    let cutoff_ms = requested_ms.saturating_sub(MAX_IN_FORCE_DELAY_MS);
    let spans = events.platform_faults.iter().chain(&events.outages).chain(&events.planned_stops);
    let is_exempt = spans.into_iter().any(|span| span.overlaps(address, cutoff_ms, requested_ms));
    let required = events.confirmations.iter().filter(|confirmed| confirmed.at_ms < cutoff_ms);
    let required = required.map(|confirmed| confirmed.version).max().unwrap_or_default();
    events.late_reads += u64::from(!is_exempt && version < required);
}

/// Counts confirmed accounts of racing operators that the last configuration lacks.
///
/// If the configuration cannot be read, all of them count.
pub async fn count_lost_changes(cluster: &Cluster, events: &mut Events) {
    let address = cluster.routers[0].address;
    let url = format!("http://{address}/admin/v1/config");
    let call = client::json(&cluster.http, Method::GET, url, Some(ADMIN_KEY), &());
    let Ok(Ok(doc)) = timeout(OPERATOR_TIMEOUT, call).await else {
        events.lost_changes += events.added_accounts.len() as u64;
        return;
    };
    let doc: Value = doc;
    let missing = events
        .added_accounts
        .iter()
        .filter(|account| doc["accounts"].get(account.as_str()).is_none());
    events.lost_changes += missing.count() as u64;
}
