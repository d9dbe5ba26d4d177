//! The configuration document.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Everything that operators configure; ids are the keys of the maps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Doc {
    /// Version of the document.
    pub version: Version,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Models.
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Upstreams.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Keys of operators, by the digest of the key.
    pub operators: BTreeMap<String, Operator>,
    /// Keys of callers that were changed or revoked of late.
    pub touched: KeyChanges,
}

/// Changes kept in [`KeyChanges`].
const MAX_KEY_CHANGES: usize = 512;
/// Characters of a digest that name a key in [`KeyChanges`].
const DIGEST_PREFIX_LEN: usize = 16;

/// Which keys were changed or revoked of late, and when.
///
/// Keys live in rows of their own. A copy of a row is valid if it was read at a version that is
/// not older than the last change of the key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyChanges {
    /// Versions of the last changes, by the first characters of the key's digest.
    pub keys: BTreeMap<String, Version>,
    /// Changes up to this version may be missing.
    pub floor: Version,
}

impl KeyChanges {
    /// Notes that a key was changed or revoked by a version.
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

    /// Returns true if a copy of a key that was read at a version is still valid.
    #[must_use]
    pub fn is_valid(&self, digest: &str, read_version: Version) -> bool {
        let changed_at = self.keys.get(digest_prefix(digest)).copied().unwrap_or_default();
        read_version >= changed_at && read_version >= self.floor
    }
}

fn digest_prefix(digest: &str) -> &str {
    digest.get(..DIGEST_PREFIX_LEN).unwrap_or(digest)
}

/// Priority class of an account.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Served first under overload.
    High,
    /// The default.
    #[default]
    Normal,
    /// Served last under overload.
    Low,
}

/// A client account.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Account {
    /// Priority class.
    pub class: Class,
    /// Most requests that run at once on one instance, 0 for no limit.
    pub concurrency: u32,
    /// Most requests a second on one instance, 0 for no limit.
    pub rate: u32,
    /// Share of all instances that its callers are spread over, at least three of them.
    pub share_percent: u32,
}

/// What a caller's key stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Client account of the caller.
    pub account: AccountId,
    /// Budget that pays.
    pub budget: BudgetId,
}

/// A prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Client account that owns the budget.
    pub account: AccountId,
    /// Budget whose limit must be kept as well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<BudgetId>,
    /// Sum of all top-ups, in tokens.
    pub paid: Tokens,
}

/// A model that engines serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Engines that may serve the model.
    pub upstreams: Vec<UpstreamId>,
    /// Tokens charged at most for an image in the prompt.
    #[serde(default = "Model::image_tokens")]
    pub image_tokens: Tokens,
    /// Tokens that the chat template adds at most to each message, besides its role.
    #[serde(default = "Model::message_tokens")]
    pub message_tokens: Tokens,
    /// Tokens that the chat template adds at most to each chat.
    #[serde(default = "Model::template_tokens")]
    pub template_tokens: Tokens,
    /// Completion tokens allowed when the caller names no limit.
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

/// A plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Upstreams that serve it.
    pub upstreams: Vec<UpstreamId>,
    /// Calls that must not be repeated, as `METHOD /path`; a trailing `*` matches any rest.
    pub non_idempotent: Vec<String>,
    /// Tokens charged for a call.
    pub cost: Tokens,
}

impl Service {
    /// Returns true if a call may be repeated without harm.
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

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Kind.
    pub kind: Kind,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Most requests that it runs at once.
    #[serde(default = "Upstream::slots")]
    pub slots: u32,
    /// True while it must get no new work.
    #[serde(default)]
    pub draining: bool,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Token that it expects from those who give it orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

impl Upstream {
    fn slots() -> u32 {
        64
    }
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read the configuration and the state.
    Read,
    /// Make plans.
    Plan,
    /// Confirm plans.
    Confirm,
}

/// An operator's key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Name for the audit log.
    pub name: String,
    /// What the operator may do.
    pub roles: Vec<Role>,
    /// Accounts that the operator may touch; empty for all.
    pub accounts: Vec<AccountId>,
}
