//! Aliases for ids and amounts, and the format of holder ids.

use std::sync::Arc;

/// Name of a client account, which owns prepaid budgets.
pub type AccountId = Arc<str>;
/// Name of a prepaid budget of one client account.
pub type BudgetId = Arc<str>;
/// Name of a failure domain, whose members may fail together.
pub type DomainId = Arc<str>;
/// One incarnation of an instance as owner of pieces, written `instance.incarnation`.
pub type HolderId = Arc<str>;
/// Name of a router instance, which it keeps across restarts.
pub type InstanceId = Arc<str>;
/// Name of a model, as callers write it in their requests.
pub type ModelId = Arc<str>;
/// Id of one request of a caller, unique over all instances and never reused.
pub type RequestId = Arc<str>;
/// Name of a plain service, whose calls are not requests to a model.
pub type ServiceId = Arc<str>;
/// Version of an upstream's software, as the upstream states it; empty if it states none.
pub type SoftwareVersion = Arc<str>;
/// Name of an upstream, which is a process of an engine or a plain service.
pub type UpstreamId = Arc<str>;

/// One start of an instance, in milliseconds since the Unix epoch.
///
/// Later starts have larger values. In the escrow it is a random number for each start instead.
pub type Incarnation = u64;
/// Amount of tokens, the unit of budgets and costs.
pub type Tokens = u64;
/// Version of the configuration; versions only grow, and 0 stands for none.
pub type Version = u64;

/// Joins an instance and its incarnation to a holder id.
///
/// # Examples
///
/// ```
/// assert_eq!(&*base::id::holder("quito-1", 17), "quito-1.17");
/// ```
#[must_use]
pub fn holder(instance: &str, incarnation: Incarnation) -> HolderId {
    format!("{instance}.{incarnation}").into()
}

/// Returns the instance part of a holder id; the whole id without a dot.
///
/// # Examples
///
/// ```
/// assert_eq!(base::id::instance_of("quito-1.17"), "quito-1");
/// ```
#[must_use]
pub fn instance_of(holder: &str) -> &str {
    holder.rsplit_once('.').map_or(holder, |(instance, _)| instance)
}

/// Returns the incarnation part of a holder id; 0 if it has none.
///
/// # Examples
///
/// ```
/// assert_eq!(base::id::incarnation_of("quito-1.17"), 17);
/// ```
#[must_use]
pub fn incarnation_of(holder: &str) -> Incarnation {
    let part = holder.rsplit_once('.').map(|(_, incarnation)| incarnation);
    part.and_then(|part| part.parse().ok()).unwrap_or_default()
}
