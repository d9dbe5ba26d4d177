//! Filter: fair queue of the client accounts for upstream slots.

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
use crate::metrics;
use crate::pool::Pool;
use crate::scheduler::Request;
use crate::{Exchange, Filter, Refusal, Shared};

/// Slot pools by model or service; lookups take no lock.
#[derive(Debug)]
pub struct Pools {
    map: ArcSwap<HashMap<Arc<str>, Arc<Pool>>>,
    clock: Arc<dyn Clock>,
}

impl Pools {
    /// Creates an empty set; pools are added on first use.
    #[must_use]
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self { map: ArcSwap::default(), clock }
    }

    /// Returns the pool named `model/ID` or `service/ID`; creates it on first use.
    pub fn get_or_create(&self, name: &str) -> Arc<Pool> {
        if let Some(existing) = self.map.load().get(name) {
            return Arc::clone(existing);
        }
        let created = Arc::new(Pool::open(Arc::clone(&self.clock)));
        self.map.rcu(|map| {
            let mut map = HashMap::clone(map);
            map.entry(name.into()).or_insert_with(|| Arc::clone(&created));
            map
        });
        self.map.load().get(name).map_or(created, Arc::clone)
    }
}

/// Waits for a slot; refuses at once if the estimated wait is too long.
#[derive(Debug, Clone)]
pub struct Queue {
    pools: Arc<Pools>,
    upstreams: Arc<Fleet>,
    membership: Arc<View>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    max_wait: Duration,
}

impl Queue {
    /// Creates the filter from the state that the workers share.
    #[must_use]
    pub fn open(shared: &Shared) -> Self {
        Self {
            pools: Arc::clone(&shared.slot_pools),
            upstreams: Arc::clone(&shared.upstreams),
            membership: Arc::clone(&shared.membership),
            metrics: Arc::clone(&shared.metrics),
            clock: Arc::clone(&shared.clock),
            max_wait: shared.max_queue_time,
        }
    }

    async fn wait_for_slot(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let queued_at = self.clock.now();
        let pool = self.pools.get_or_create(&pool_name(&exchange.call));
        let request = Request {
            account: Arc::clone(&exchange.caller().account),
            weight: class_weight(exchange.caller().class),
            cost: 1,
            max_wait: self.max_wait.min(exchange.deadline.saturating_sub(queued_at)),
        };
        let slot =
            pool.acquire(&request, self.available_slots(exchange)).await.map_err(overloaded)?;
        exchange.slot = Some(slot);
        let waited = self.clock.now().saturating_sub(queued_at);
        Metrics::observe(&self.metrics.queued_seconds, &metrics::labels(exchange.caller()), waited);
        Ok(())
    }

    /// Returns the number of slots that this instance may use.
    ///
    /// It may use its equal part or, if that is more, the slots that other instances leave free.
    /// Each request of theirs counts twice, since their load may double before the next report.
    fn available_slots(&self, exchange: &Exchange) -> usize {
        let upstreams = exchange.candidates.iter().filter_map(|id| self.upstreams.get(id));
        let (mut slots, mut others) = (0, 0);
        for upstream in upstreams.filter(|upstream| !upstream.is_leaving()) {
            slots += upstream.capacity() as usize;
            others += upstream.load.other_requests() as usize;
        }
        slots_per_instance(slots, self.membership.listed().len())
            .max(slots.saturating_sub(2 * others))
    }
}

impl Filter for Queue {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        self.wait_for_slot(exchange).boxed_local()
    }
}

/// Returns the slots divided equally among the instances, rounded up, at least 1.
///
/// # Examples
///
/// ```
/// assert_eq!(flow::queue::slots_per_instance(64, 1), 64);
/// assert_eq!(flow::queue::slots_per_instance(64, 3), 22);
/// assert_eq!(flow::queue::slots_per_instance(0, 4), 1);
/// ```
#[must_use]
pub fn slots_per_instance(slots: usize, instances: usize) -> usize {
    slots.div_ceil(instances.max(1)).max(1)
}

fn pool_name(call: &Call) -> String {
    match call {
        Call::Chat(chat) => format!("model/{}", chat.model),
        Call::Service(call) => format!("service/{}", call.id),
    }
}

/// Returns the scheduling weight of a priority class.
fn class_weight(class: Class) -> u64 {
    match class {
        Class::High => 16,
        Class::Normal => 4,
        Class::Low => 1,
    }
}

fn overloaded(wait: Duration) -> Refusal {
    let message = "the request would wait too long for an upstream";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message).with_retry_after(wait)
}
