//! Routing of requests to services, by host and path.
//!
//! A [`Table`] holds one version of the configuration, indexed for lookups. It does not change
//! once it is in use: a new version replaces the whole table.

use std::collections::HashMap;

use base::prelude::*;

/// Kind of a route's requests: whether they may run again, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A request with a single answer, which may run more than once.
    Idempotent,
    /// A request with a single answer, which may run at most once.
    NonIdempotent,
    /// A request answered by a stream of events, which may run at most once.
    Stream,
    /// A request answered by a stream of events, which another upstream may resume.
    Resumable,
}

impl Kind {
    /// Returns true if the request may run again after a failure.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns true if the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service of a route, with the weight that splits requests among services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the sum over all targets of the route; 0 for no requests.
    pub weight: u64,
}

/// Rule for the requests of one host below a path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Arc<str>,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Prefix that the path of a request must have; the longest match wins.
    pub path_prefix: String,
    /// Whether requests may run again, and how they are answered.
    pub kind: Kind,
    /// Longest time to answer a request, from its arrival; callers may state less.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub target_latency: Duration,
    /// Priority rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which requests are split by weight; empty if there is none.
    pub targets: Vec<Target>,
    /// Most upstreams to which one request is sent, at least 1.
    pub max_attempts: usize,
    /// Whether requests without a key are admitted.
    pub allows_anonymous: bool,
}

impl Route {
    /// Picks the service of a request by a number, such as a hash.
    ///
    /// Numbers must be evenly distributed over requests. Returns `None` if all weights are 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use plan::routing::{Route, Target};
    /// # let route = |targets| Route {
    /// #     name: "r".into(), host: "h".into(), path_prefix: "/".into(),
    /// #     kind: plan::routing::Kind::Idempotent, timeout: Default::default(),
    /// #     target_latency: Default::default(), priority: 0, targets, max_attempts: 1,
    /// #     allows_anonymous: false,
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

/// Token count of a service's events, its connection limit, and what its upstreams hold and handle.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Tokens counted for each event of a stream.
    pub tokens_per_event: Tokens,
    /// Most connections that one upstream accepts from all instances together.
    pub connection_limit: usize,
    /// Time for which an upstream is cold after its start; zero if it never is.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream can handle from all instances together.
    ///
    /// 0 means that cold upstreams are treated like warm ones.
    pub cold_per_s: f64,
    /// Tokens that fit into the key-value cache of one upstream; `None` if unknown.
    pub kv_cache_tokens: Option<Tokens>,
}

/// Priority and prepaid tokens of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Priority rank that overrides the route's; `None` applies the route's.
    pub priority: Option<u8>,
    /// Tokens paid in advance, over all time; `None` if the account is not limited.
    pub prepaid_tokens: Option<Tokens>,
}

/// Limits on the size and the pace of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open without a request.
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

/// Routes, services and accounts of one configuration version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Version of the configuration; 0 if none is known yet.
    pub version: Version,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services that the routes name as targets.
    pub services: HashMap<ServiceId, Service>,
    /// Client accounts; if empty, no route requires a key.
    pub accounts: HashMap<AccountId, Account>,
    /// Client accounts by the API keys of their callers.
    pub accounts_by_key: HashMap<String, AccountId>,
    /// Limits on requests of all routes.
    pub limits: Limits,
}

impl Table {
    /// Opens a table of a version, without routes.
    #[must_use]
    pub fn open(version: Version) -> Self {
        Self { version, ..Self::default() }
    }

    /// Adds a route; of equal prefixes, the one added first wins.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let place =
            routes.partition_point(|known| known.path_prefix.len() >= route.path_prefix.len());
        routes.insert(place, Arc::new(route));
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Finds the route of a host with the longest matching prefix.
    ///
    /// The host may contain upper-case letters and a port. Returns `None` if no route matches.
    ///
    /// # Examples
    ///
    /// ```
    /// # use plan::routing::{Kind, Route, Table};
    /// # let route = |prefix: &str| Route {
    /// #     name: prefix.into(), host: "h.example".into(), path_prefix: prefix.into(),
    /// #     kind: Kind::Idempotent, timeout: Default::default(),
    /// #     target_latency: Default::default(),
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

    /// Returns the prepaid tokens of all accounts; `None` stands for no limit.
    #[must_use]
    pub fn budgets(&self) -> HashMap<AccountId, Option<Tokens>> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, account)| (Arc::clone(id), account.prepaid_tokens)).collect()
    }
    /// Returns the tokens that fit into the key-value cache of an upstream, where known.
    #[must_use]
    pub fn memory_limits(&self) -> HashMap<ServiceId, Tokens> {
        let services = self.services.iter();
        services.filter_map(|(id, one)| Some((Arc::clone(id), one.kv_cache_tokens?))).collect()
    }
}
