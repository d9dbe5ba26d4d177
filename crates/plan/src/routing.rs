//! Routing of requests by host and path to services.
//!
//! A [`Table`] is one version of the configuration, ready for lookups. It is never changed: a new
//! version replaces it whole.

use std::collections::HashMap;

use base::prelude::*;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run once at most.
    NonIdempotent,
    /// A request that is answered by events and may run once at most.
    Stream,
    /// A request that is answered by events and may go on at another upstream.
    Resumable,
}

impl Kind {
    /// Returns true if the request may run again after a failure.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns true if the answer is a series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// One of the services that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share of the requests, in relation to the other targets.
    pub weight: u64,
}

/// Where requests below a path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host, in lower case.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is wanted; for streams, its first event.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services.
    pub targets: Vec<Target>,
    /// Upstreams to which one request may be sent at most.
    pub max_attempts: usize,
    /// Whether no key is asked for.
    pub allows_anonymous: bool,
}

impl Route {
    /// Picks the service for a request by a number that is spread evenly over requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use plan::routing::{Route, Target};
    /// # let route = |targets| Route {
    /// #     name: "r".into(), host: "h".into(), path_prefix: "/".into(),
    /// #     kind: plan::routing::Kind::Idempotent, timeout: Default::default(),
    /// #     target_latency: Default::default(), priority: 0, targets, max_attempts: 1, allows_anonymous: false,
    /// # };
    /// let target = |name: &str, weight| Target { service: name.into(), weight };
    /// let route = route(vec![target("a", 90), target("b", 10)]);
    /// assert_eq!(route.pick_service(89).map(|name| &**name), Some("a"));
    /// assert_eq!(route.pick_service(190).map(|name| &**name), Some("b"));
    /// ```
    #[must_use]
    pub fn pick_service(&self, number: u64) -> Option<&ServiceId> {
        let total_weight: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut offset = number.checked_rem(total_weight)?;
        for target in &self.targets {
            if offset < target.weight {
                return Some(&target.service);
            }
            offset -= target.weight;
        }
        None
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Tokens in one event of a stream.
    pub tokens_per_event: Tokens,
    /// Connections that one upstream accepts from all callers.
    pub connection_limit: usize,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Tokens paid for in advance; `None` if the account is not limited.
    pub prepaid_tokens: Option<Tokens>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time in which a head must arrive.
    pub head_timeout: Duration,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the routing.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Version; 0 if no configuration is known yet.
    pub version: Version,
    /// Routes by host, those with the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services.
    pub services: HashMap<ServiceId, Service>,
    /// Client accounts.
    pub accounts: HashMap<AccountId, Account>,
    /// Client accounts by the keys of their callers.
    pub accounts_by_key: HashMap<String, AccountId>,
    /// Limits.
    pub limits: Limits,
}

impl Table {
    /// Opens an empty table of a version.
    #[must_use]
    pub fn open(version: Version) -> Self {
        Self { version, ..Self::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let place =
            routes.partition_point(|known| known.path_prefix.len() >= route.path_prefix.len());
        routes.insert(place, Arc::new(route));
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Finds the route with the longest prefix of a path; the host may carry a port.
    ///
    /// # Examples
    ///
    /// ```
    /// # use plan::routing::{Kind, Route, Table};
    /// # let route = |prefix: &str| Route {
    /// #     name: prefix.into(), host: "h.example".into(), path_prefix: prefix.into(),
    /// #     kind: Kind::Idempotent, timeout: Default::default(), target_latency: Default::default(),
    /// #     priority: 0, targets: Vec::new(), max_attempts: 1, allows_anonymous: false,
    /// # };
    /// let mut table = Table::default();
    /// table.add_route(route("/a/"));
    /// table.add_route(route("/a/b/"));
    /// let found = |path| table.find_route("H.example:80", path).map(|route| &*route.name);
    /// assert_eq!(found("/a/b/c"), Some("/a/b/"));
    /// assert_eq!(found("/a/c"), Some("/a/"));
    /// assert_eq!(found("/b"), None);
    /// ```
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_name = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes.get(&host_name)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the budgets of all accounts.
    #[must_use]
    pub fn budgets(&self) -> HashMap<AccountId, Option<Tokens>> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, account)| (Arc::clone(id), account.prepaid_tokens)).collect()
    }
}
