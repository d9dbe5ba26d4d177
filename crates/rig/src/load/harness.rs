//! Harness that applies a script of faults to the running system.

use std::collections::HashSet;
use std::time::Instant;

use base::prelude::*;
use ntex::http::Method;
use serde_json::{Value, json};
use store::Listing;
use tokio::time::{sleep, sleep_until, timeout};

use super::Error;
use super::events::{Drain, Events, Span};
use super::script::{Action, Step};
use super::workload::{Kind, Request, SMALL_BUDGET};
use super::{caller, operators};
use crate::client;
use crate::cluster::{ADMIN_KEY, Cluster, listing};
use crate::engine::wall_ms;
use crate::platform::Faults;
use crate::proxy::Fault;

/// Delay with which the platform's instance list shows a change.
const LIST_LAG_MS: u64 = 1_000;
/// Time after which a crashed engine is restarted.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Exit code of an engine that a poison request crashed.
const CRASH_EXIT_CODE: i32 = 70;
/// Timeout for a planned stop; a slower one counts as an unclean exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for planning and confirming a change at one instance.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for all instances to be ready after the last fault.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for all budgets to settle after the last fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval between checks of the processes and the configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Tokens that one top-up adds to the small budget.
const TOP_UP_TOKENS: u64 = 1_000;

/// State of an instance; the platform's list leaves out those that are `Dead`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    Leaving,
    Dead,
}

/// The running system, its current faults and the log of all events.
#[derive(Debug)]
pub struct Harness {
    /// Processes of the system under test.
    pub cluster: Cluster,
    /// Log of the faults and actions, for the count after the run.
    pub events: Events,
    faults: Faults,
    states: Vec<State>,
    frozen: HashSet<usize>,
    draining: HashSet<usize>,
    race_count: u64,
}

impl Harness {
    /// Takes over a running cluster and delays changes of its instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn open(cluster: Cluster) -> Result<Self, Error> {
        let faults = Faults { list_lag_ms: LIST_LAG_MS, ..Faults::default() };
        cluster.set_faults(faults).await?;
        let states = vec![State::Up; cluster.routers.len()];
        Ok(Self {
            cluster,
            events: Events::default(),
            faults,
            states,
            frozen: HashSet::new(),
            draining: HashSet::new(),
            race_count: 0,
        })
    }

    /// Applies a script over a run of the given duration and monitors the system meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or the platform cannot be reached.
    pub async fn run_script(
        &mut self,
        mut script: Vec<Step>,
        duration: Duration,
    ) -> Result<(), Error> {
        script.sort_by(|a, b| a.fraction.total_cmp(&b.fraction));
        let started_at = Instant::now();
        for step in script {
            self.monitor_until(started_at + duration.mul_f64(step.fraction)).await?;
            self.apply(step.action).await?;
        }
        self.monitor_until(started_at + duration).await
    }

    async fn monitor_until(&mut self, deadline: Instant) -> Result<(), Error> {
        while Instant::now() + POLL_INTERVAL < deadline {
            self.restart_crashed_engines()?;
            operators::check_versions(&self.cluster, &mut self.events).await;
            sleep(POLL_INTERVAL).await;
        }
        sleep_until(deadline.into()).await;
        Ok(())
    }

    async fn apply(&mut self, action: Action) -> Result<(), Error> {
        match action {
            Action::CutPlatform(router) => self.set_platform_fault(router, Fault::partition()),
            Action::LosePlatformReplies(router) => {
                self.set_platform_fault(router, Fault::block_answers());
            }
            Action::HealPlatform(router) => self.heal_platform(router),
            Action::CutPeers(router) => self.set_peer_fault(router, Fault::partition()),
            Action::HealPeers(router) => self.set_peer_fault(router, Fault::default()),
            Action::KillRouter(router) => return self.kill(router).await,
            Action::StopRouter(router) => return self.stop(router).await,
            Action::StartRouter(router) => return self.start(router).await,
            Action::FreezeRouter(router) => self.freeze(router),
            Action::ResumeRouter(router) => self.resume(router),
            Action::PlatformOutage(outage) => {
                return self.set_platform_faults(Faults { outage, ..self.faults }).await;
            }
            Action::DelayPlatform(delay_ms) => {
                return self.set_platform_faults(Faults { delay_ms, ..self.faults }).await;
            }
            Action::LoseCommitReplies(percent) => {
                let lost_reply = f64::from(percent) / 100.0;
                return self.set_platform_faults(Faults { lost_reply, ..self.faults }).await;
            }
            Action::KillEngine(engine) => {
                self.events.engines_down.insert(engine, None);
                self.cluster.engines[engine].process.kill();
            }
            Action::StartEngine(engine) => return self.start_engine(engine),
            Action::SlowEngine(engine, delay) => {
                self.set_engine_fault(engine, Fault::slow(Duration::from_millis(delay)));
            }
            Action::ResetEngine(engine) => {
                if let Some(link) = &self.cluster.engines[engine].link {
                    link.reset_connections();
                }
            }
            Action::DrainEngine(engine) => self.drain(engine).await,
            Action::UndrainEngine(engine) => self.undrain(engine).await,
            Action::SendPoison => self.send_poison(),
            Action::RaceOperators => {
                self.race_count += 1;
                operators::race(&self.cluster, &mut self.events, self.race_count).await;
            }
            Action::TopUp => self.top_up().await,
        }
        Ok(())
    }

    fn set_platform_fault(&mut self, router: usize, fault: Fault) {
        let router = &self.cluster.routers[router];
        self.events.platform_faults.push(Span::begin(router.address));
        if let Some(link) = &router.platform_link {
            link.set_fault(fault);
        }
    }

    fn heal_platform(&mut self, router: usize) {
        let router = &self.cluster.routers[router];
        Span::end_all(&mut self.events.platform_faults, router.address);
        if let Some(link) = &router.platform_link {
            link.heal();
        }
    }

    fn set_peer_fault(&mut self, router: usize, fault: Fault) {
        if let Some(link) = &self.cluster.routers[router].peer_link {
            link.set_fault(fault);
        }
    }

    fn set_engine_fault(&mut self, engine: usize, fault: Fault) {
        if let Some(link) = &self.cluster.engines[engine].link {
            link.set_fault(fault);
        }
    }

    async fn set_platform_faults(&mut self, faults: Faults) -> Result<(), Error> {
        if faults.outage != self.faults.outage || faults.delay_ms != self.faults.delay_ms {
            for router in &self.cluster.routers {
                if faults.outage || faults.delay_ms > 0 {
                    self.events.platform_faults.push(Span::begin(router.address));
                } else {
                    Span::end_all(&mut self.events.platform_faults, router.address);
                }
            }
        }
        self.faults = faults;
        Ok(self.cluster.set_faults(faults).await?)
    }

    async fn kill(&mut self, router: usize) -> Result<(), Error> {
        if self.states[router] != State::Up {
            return Ok(());
        }
        let address = self.cluster.routers[router].address;
        self.frozen.remove(&router);
        self.events.outages.push(Span::begin(address));
        self.cluster.routers[router].process.kill();
        self.states[router] = State::Dead;
        self.update_instance_list().await
    }

    async fn stop(&mut self, router: usize) -> Result<(), Error> {
        if self.states[router] != State::Up || self.frozen.contains(&router) {
            return Ok(());
        }
        self.events.planned_stops.push(Span::begin(self.cluster.routers[router].address));
        self.cluster.routers[router].process.terminate();
        self.states[router] = State::Leaving;
        self.update_instance_list().await
    }

    async fn start(&mut self, router: usize) -> Result<(), Error> {
        match self.states[router] {
            State::Up => return Ok(()),
            State::Leaving => self.wait_for_exit(router).await?,
            State::Dead => {}
        }
        let address = self.cluster.routers[router].address;
        Span::end_all(&mut self.events.outages, address);
        Span::end_all(&mut self.events.planned_stops, address);
        self.cluster.restart_router(router)?;
        self.states[router] = State::Up;
        self.update_instance_list().await
    }

    /// Waits for a planned stop; a failure or timeout counts as an unclean exit.
    async fn wait_for_exit(&mut self, router: usize) -> Result<(), Error> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let process = &mut self.cluster.routers[router].process;
        loop {
            if let Some(status) = process.exit_status()? {
                self.events.unclean_exits += u64::from(!status.success());
                return Ok(());
            }
            if Instant::now() >= deadline {
                self.events.unclean_exits += 1;
                process.kill();
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn freeze(&mut self, router: usize) {
        if self.states[router] != State::Dead && self.frozen.insert(router) {
            let router = &self.cluster.routers[router];
            self.events.outages.push(Span::begin(router.address));
            router.process.freeze();
        }
    }

    fn resume(&mut self, router: usize) {
        if self.frozen.remove(&router) {
            let router = &self.cluster.routers[router];
            router.process.resume();
            Span::end_all(&mut self.events.outages, router.address);
        }
    }

    /// Sends all live instances to the platform's list, which shows them after a delay.
    async fn update_instance_list(&self) -> Result<(), Error> {
        let routers = self.cluster.routers.iter().zip(&self.states);
        let listed = routers.filter(|(_, state)| **state != State::Dead).map(|(router, state)| {
            Listing { leaving: *state == State::Leaving, ..listing(router) }
        });
        Ok(self.cluster.publish_listings(listed.collect()).await?)
    }

    fn start_engine(&mut self, engine: usize) -> Result<(), Error> {
        if self.events.engines_down.remove(&engine).is_some() {
            let folder = self.cluster.folder().to_owned();
            self.cluster.engines[engine].restart(&folder, true)?;
        }
        Ok(())
    }

    /// Detects engines that crashed and restarts them after their downtime.
    fn restart_crashed_engines(&mut self) -> Result<(), Error> {
        for engine in 0..self.cluster.engines.len() {
            match self.events.engines_down.get(&engine) {
                Some(Some(since)) if since.elapsed() >= DOWNTIME => self.start_engine(engine)?,
                Some(_) => {}
                None => {
                    if let Some(status) = self.cluster.engines[engine].process.exit_status()? {
                        self.events.engine_crashes +=
                            u64::from(status.code() == Some(CRASH_EXIT_CODE));
                        self.events.engines_down.insert(engine, Some(Instant::now()));
                    }
                }
            }
        }
        Ok(())
    }

    async fn drain(&mut self, engine: usize) {
        let upstream = format!("engine-{}", engine + 1);
        if self.change_config(&json!({"upstreams": {&upstream: {"draining": true}}})).await {
            self.draining.insert(engine);
            self.events.drains.push(Drain { upstream, from_ms: wall_ms(), until_ms: None });
        }
    }

    async fn undrain(&mut self, engine: usize) {
        if self.draining.remove(&engine) {
            let upstream = format!("engine-{}", engine + 1);
            for drain in self.events.drains.iter_mut().filter(|drain| drain.upstream == upstream) {
                drain.until_ms.get_or_insert(wall_ms());
            }
            self.change_config(&json!({"upstreams": {upstream: {"draining": false}}})).await;
        }
    }

    fn send_poison(&mut self) {
        self.events.poison_requests += 1;
        let name = format!("poison-{}", self.events.poison_requests);
        let request =
            Request { kind: Kind::Whole, name, payer_index: 0, output_tokens: 4, poison: true };
        let known = self.cluster.routers.iter().map(|router| router.address).collect();
        ntex::rt::spawn(async move {
            let callers = caller::Callers::open(caller::Target::Fleet(known), 1).await;
            for _ in 0..3 {
                callers.send(request.clone()).await;
            }
        });
    }

    async fn top_up(&mut self) {
        let Ok(budgets) = self.cluster.budgets().await else { return };
        let Some(small) = budgets.iter().find(|row| row.budget == SMALL_BUDGET) else { return };
        let paid = small.paid + TOP_UP_TOKENS;
        if self.change_config(&json!({"budgets": {SMALL_BUDGET: {"paid": paid}}})).await {
            self.events.topped_up_tokens = paid;
        }
    }

    /// Confirms a change at the first instance that accepts it; false if none does.
    async fn change_config(&mut self, intent: &Value) -> bool {
        for router in &self.cluster.routers {
            let base = format!("http://{}/admin/v1/plans", router.address);
            let call = async {
                let http = &self.cluster.http;
                let key = Some(ADMIN_KEY);
                let plan: Value =
                    client::json(http, Method::POST, base.clone(), key, intent).await.ok()?;
                let url = format!("{base}/{}/confirm", plan["id"].as_str()?);
                let answer: Value = client::json(http, Method::POST, url, key, &()).await.ok()?;
                answer["version"].as_u64()
            };
            if let Ok(Some(version)) = timeout(OPERATOR_TIMEOUT, call).await {
                self.events.add_confirmation(version);
                return true;
            }
        }
        false
    }

    /// Ends all faults and restarts all processes that are down.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or the platform cannot be reached.
    pub async fn end_faults(&mut self) -> Result<(), Error> {
        self.set_platform_faults(Faults { list_lag_ms: LIST_LAG_MS, ..Faults::default() }).await?;
        for router in 0..self.cluster.routers.len() {
            self.heal_platform(router);
            self.set_peer_fault(router, Fault::default());
            self.resume(router);
            self.start(router).await?;
        }
        for engine in 0..self.cluster.engines.len() {
            self.set_engine_fault(engine, Fault::default());
            self.start_engine(engine)?;
        }
        Ok(())
    }

    /// Checks readiness and configuration, lets the budgets settle and stops all instances.
    ///
    /// A wait that times out is no error: `not_ready` is set, or the budgets still hold tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn finish(&mut self) -> Result<(), Error> {
        if !matches!(timeout(READY_TIMEOUT, self.cluster.wait_until_ready()).await, Ok(Ok(()))) {
            self.events.not_ready = true;
        }
        operators::count_lost_changes(&self.cluster, &mut self.events).await;
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < deadline {
            if self.cluster.budgets().await?.iter().all(|row| row.held == 0) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        for router in &self.cluster.routers {
            router.process.terminate();
        }
        for router in 0..self.cluster.routers.len() {
            self.wait_for_exit(router).await?;
        }
        Ok(())
    }
}
