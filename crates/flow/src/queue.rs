//! Filter: a place at the upstreams, shared fairly between client accounts.

use std::collections::HashMap;

use arc_swap::ArcSwap;
use base::prelude::*;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use member::View;
use ntex::http::StatusCode;
use plan::doc::Class;
use route::Fleet;
use watch::Metrics;

use crate::exchange::Call;
use crate::fair::Want;
use crate::meter;
use crate::pool::Pool;
use crate::{Exchange, Filter, Refusal, Shared};

/// Pools by model or service, read without locks.
#[derive(Debug)]
pub struct Pools {
    map: ArcSwap<HashMap<Arc<str>, Arc<Pool>>>,
    clock: Arc<dyn Clock>,
}

impl Pools {
    /// Opens an empty set.
    #[must_use]
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self { map: ArcSwap::default(), clock }
    }

    /// Returns the pool of a model or service, creating it if needed.
    pub fn of(&self, name: &str) -> Arc<Pool> {
        if let Some(known) = self.map.load().get(name) {
            return Arc::clone(known);
        }
        let fresh = Arc::new(Pool::open(Arc::clone(&self.clock)));
        self.map.rcu(|map| {
            let mut map = HashMap::clone(map);
            map.entry(name.into()).or_insert_with(|| Arc::clone(&fresh));
            map
        });
        self.map.load().get(name).map_or(fresh, Arc::clone)
    }
}

/// Waits for a place, or refuses at once what would wait too long.
#[derive(Debug, Clone)]
pub struct Queue {
    pools: Arc<Pools>,
    fleet: Arc<Fleet>,
    view: Arc<View>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    longest: Duration,
}

impl Queue {
    /// Opens the filter over the state that the workers share.
    #[must_use]
    pub fn open(shared: &Shared) -> Self {
        Self {
            pools: Arc::clone(&shared.pools),
            fleet: Arc::clone(&shared.fleet),
            view: Arc::clone(&shared.view),
            metrics: Arc::clone(&shared.metrics),
            clock: Arc::clone(&shared.clock),
            longest: shared.queue_time,
        }
    }

    async fn enter(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let since = self.clock.now();
        let pool = self.pools.of(&name(&exchange.call));
        let want = Want {
            account: Arc::clone(&exchange.caller().account),
            weight: weight(exchange.caller().class),
            cost: 1,
            patience: self.longest.min(exchange.deadline.saturating_sub(since)),
        };
        let place = pool.enter(&want, self.capacity(exchange)).await.map_err(overloaded)?;
        exchange.place = Some(place);
        let waited = self.clock.now().saturating_sub(since);
        Metrics::observe(&self.metrics.queued, &meter::labels(exchange.caller()), waited);
        Ok(())
    }

    /// Returns the places that this instance may use.
    ///
    /// They are its share, or what others leave free by the last load reports; the others may
    /// take as much again before the next report.
    fn capacity(&self, exchange: &Exchange) -> usize {
        let upstreams = exchange.candidates.iter().filter_map(|id| self.fleet.get(id));
        let (mut slots, mut others) = (0, 0);
        for upstream in upstreams.filter(|upstream| !upstream.is_leaving()) {
            slots += upstream.capacity() as usize;
            others += upstream.load.other_requests() as usize;
        }
        share(slots, self.view.listed().len()).max(slots.saturating_sub(2 * others))
    }
}

impl Filter for Queue {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        self.enter(exchange).boxed_local()
    }
}

/// Returns the places of one of several instances.
///
/// # Examples
///
/// ```
/// assert_eq!(flow::queue::share(64, 1), 64);
/// assert_eq!(flow::queue::share(64, 3), 22);
/// assert_eq!(flow::queue::share(0, 4), 1);
/// ```
#[must_use]
pub fn share(slots: usize, instances: usize) -> usize {
    slots.div_ceil(instances.max(1)).max(1)
}

fn name(call: &Call) -> String {
    match call {
        Call::Chat(chat) => format!("model/{}", chat.model),
        Call::Service(call) => format!("service/{}", call.id),
    }
}

/// Returns the share of a class in relation to the others.
fn weight(class: Class) -> u64 {
    match class {
        Class::High => 16,
        Class::Normal => 4,
        Class::Low => 1,
    }
}

fn overloaded(wait: Duration) -> Refusal {
    let message = "the request would wait too long for an upstream";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message).after(wait)
}
