//! The configuration document, as operators see it and as it is stored.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The configuration except budgets and callers' keys, which have rows of their own.
///
/// Each map is ordered by the ids of its entries; operators have the digest of their key as id.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Doc {
    /// Version, raised by 1 with each confirmed plan; 0 before the first.
    pub version: Version,
    /// Client accounts, to which budgets and callers' keys belong.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Models that callers can name in chat requests.
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services, whose calls cost a fixed number of tokens.
    pub services: BTreeMap<ServiceId, Service>,
    /// Upstreams that models and services refer to.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Operators, by the SHA-256 digest of their key.
    pub operators: BTreeMap<String, Operator>,
    /// Recent changes of callers' keys, which invalidate cached copies.
    pub touched: KeyChanges,
}

/// Most entries in [`KeyChanges::keys`].
const MAX_KEY_CHANGES: usize = 512;
/// Length in characters of the digest prefix that identifies a key in [`KeyChanges`].
const DIGEST_PREFIX_LEN: usize = 16;

/// Recent changes and revocations of callers' keys, with their configuration versions.
///
/// Each key has a row of its own. A cached copy of the row is valid if it was read at the version
/// of the key's last change or a later one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyChanges {
    /// Version of each key's last change, by the first 16 characters of its digest.
    pub keys: BTreeMap<String, Version>,
    /// Highest version evicted from `keys`; copies read before it are invalid.
    pub floor: Version,
}

impl KeyChanges {
    /// Records that a version changed or revoked a key.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut changes = plan::doc::KeyChanges::default();
    /// changes.record("0123456789abcdef0123", 7);
    /// assert!(!changes.is_valid("0123456789abcdef0123", 6));
    /// assert!(changes.is_valid("0123456789abcdef0123", 7));
    /// ```
    pub fn record(&mut self, digest: &str, version: Version) {
        self.keys.insert(digest_prefix(digest).to_owned(), version);
        while self.keys.len() > MAX_KEY_CHANGES {
            let oldest = self.keys.iter().min_by_key(|(_, version)| **version);
            let Some((name, version)) = oldest.map(|(name, version)| (name.clone(), *version))
            else {
                return;
            };
            self.keys.remove(&name);
            self.floor = self.floor.max(version);
        }
    }

    /// Returns true if a copy of a key that was read at `read_version` is valid.
    #[must_use]
    pub fn is_valid(&self, digest: &str, read_version: Version) -> bool {
        let changed_version = self.keys.get(digest_prefix(digest)).copied().unwrap_or_default();
        read_version >= changed_version && read_version >= self.floor
    }
}

fn digest_prefix(digest: &str) -> &str {
    digest.get(..DIGEST_PREFIX_LEN).unwrap_or(digest)
}

/// Priority class of an account; sets its weight in the queue for upstreams.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Highest weight under overload.
    High,
    /// Medium weight, the default.
    #[default]
    Normal,
    /// Lowest weight under overload.
    Low,
}

/// Limits and priority of a client account.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Priority class of the account's requests.
    pub class: Class,
    /// Most requests in flight on one instance, 0 for no limit.
    pub concurrency: u32,
    /// Most requests per second on one instance, 0 for no limit.
    pub rate: u32,
    /// Percentage of the instances that the account's callers use; they use at least three.
    pub share_percent: u32,
}

/// Account and budget of the requests that carry a caller's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Client account of the caller; the budget must belong to it.
    pub account: AccountId,
    /// Budget to which requests are billed.
    pub budget: BudgetId,
}

/// Fields of a prepaid budget that operators set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Client account that owns the budget.
    pub account: AccountId,
    /// Budget of the same account whose limit applies as well; it has no parent itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<BudgetId>,
    /// Sum of all top-ups, in tokens.
    pub paid: Tokens,
}

/// A model, its engines, and the figures that bound the cost of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Upstreams of the kind [`Kind::Engine`] that serve the model, at least one.
    pub upstreams: Vec<UpstreamId>,
    /// Most tokens that an image in the prompt uses.
    #[serde(default = "Model::image_tokens")]
    pub image_tokens: Tokens,
    /// Most tokens that the chat template adds to each message, besides its role.
    #[serde(default = "Model::message_tokens")]
    pub message_tokens: Tokens,
    /// Most tokens that the chat template adds to each chat.
    #[serde(default = "Model::template_tokens")]
    pub template_tokens: Tokens,
    /// Limit of completion tokens for requests that state none.
    #[serde(default = "Model::max_tokens")]
    pub max_tokens: Tokens,
}

impl Model {
    fn image_tokens() -> Tokens {
        2_048
    }

    fn message_tokens() -> Tokens {
        8
    }

    fn template_tokens() -> Tokens {
        64
    }

    fn max_tokens() -> Tokens {
        1_024
    }
}

/// A service whose calls cost a fixed number of tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Upstreams of the kind [`Kind::Service`] that serve the calls, at least one.
    pub upstreams: Vec<UpstreamId>,
    /// Calls that must not be repeated, as `METHOD /path`; a final `*` matches any suffix.
    pub non_idempotent: Vec<String>,
    /// Tokens billed for each call.
    pub cost: Tokens,
}

impl Service {
    /// Returns true if a call may run more than once; `path` excludes the query.
    ///
    /// # Examples
    ///
    /// ```
    /// let service = plan::doc::Service {
    ///     non_idempotent: vec!["POST /confirm*".into()],
    ///     ..Default::default()
    /// };
    /// assert!(!service.is_idempotent("POST", "/confirm/7"));
    /// assert!(service.is_idempotent("GET", "/lookup"));
    /// ```
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let call = format!("{method} {path}");
        !self.non_idempotent.iter().any(|rule| match rule.strip_suffix('*') {
            Some(prefix) => call.starts_with(prefix),
            None => call == *rule,
        })
    }
}

/// Kind of an upstream: whether models or services may refer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An engine that serves models.
    Engine,
    /// A server of a plain service.
    Service,
}

/// A server to which instances forward requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Engine or plain service.
    pub kind: Kind,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Most requests in flight at the upstream; it may report a lower number itself.
    #[serde(default = "Upstream::slots")]
    pub slots: u32,
    /// Whether instances stop sending it new requests, for example before a planned stop.
    #[serde(default)]
    pub draining: bool,
    /// Whether the upstream rejects requests with an outdated fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Bearer token that instances send with each request; `None` sends none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

impl Upstream {
    fn slots() -> u32 {
        64
    }
}

/// Permission of an operator; no role includes another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read the configuration, the state of the fleet and the audit log.
    Read,
    /// Make plans from intents.
    Plan,
    /// Confirm plans, also those of other operators.
    Confirm,
}

/// Name and permissions of an operator.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Name that plans and the audit log show.
    pub name: String,
    /// Granted roles; empty permits nothing.
    pub roles: Vec<Role>,
    /// Accounts that the operator may change; empty permits all changes.
    pub accounts: Vec<AccountId>,
}
