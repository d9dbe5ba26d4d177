//! The running system and what is done to it.

use std::collections::HashSet;
use std::time::Instant;

use base::prelude::*;
use ntex::http::Method;
use serde_json::{Value, json};
use store::Listing;
use tokio::time::{sleep, sleep_until, timeout};

use super::Error;
use super::events::{Events, Mark, Span};
use super::mix::{Ask, Kind, SMALL};
use super::script::{Action, Step};
use super::{caller, race};
use crate::client;
use crate::cluster::{ADMIN_KEY, Cluster, listing};
use crate::engine::wall_ms;
use crate::platform::Faults;
use crate::proxy::Fault;

/// Time by which the platform's instance list lags.
const LIST_LAG_MS: u64 = 1_000;
/// Time for which the platform leaves a crashed engine down.
const ENGINE_DOWN: Duration = Duration::from_secs(1);
/// Exit code of an engine that a request crashed.
const CRASHED: i32 = 70;
/// Longest wait for a planned stop.
const STOP_TIME: Duration = Duration::from_secs(10);
/// Longest wait for one instance's answer to an operator.
const OPERATOR_TIME: Duration = Duration::from_secs(3);
/// Longest wait for the instances at the end of a run.
const READY_TIME: Duration = Duration::from_secs(20);
/// Longest wait until nothing moves any more after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(25);
/// Interval at which the system is looked at.
const TICK: Duration = Duration::from_millis(100);
/// Tokens that a top-up adds.
const TOP_UP: u64 = 1_000;

/// State of an instance as the platform manages it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    Up,
    Leaving,
    Dead,
}

/// The running system.
#[derive(Debug)]
pub struct Stage {
    /// Processes.
    pub cluster: Cluster,
    /// What was done so far.
    pub events: Events,
    faults: Faults,
    lives: Vec<Life>,
    frozen: HashSet<usize>,
    draining: HashSet<usize>,
    races: u64,
}

impl Stage {
    /// Takes a running cluster over.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn open(cluster: Cluster) -> Result<Self, Error> {
        let faults = Faults { list_lag_ms: LIST_LAG_MS, ..Faults::default() };
        cluster.set_faults(faults).await?;
        let lives = vec![Life::Up; cluster.routers.len()];
        Ok(Self {
            cluster,
            events: Events::default(),
            faults,
            lives,
            frozen: HashSet::new(),
            draining: HashSet::new(),
            races: 0,
        })
    }

    /// Performs a script over a run of the given length and watches until its end.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or the platform cannot be reached.
    pub async fn perform(&mut self, mut script: Vec<Step>, time: Duration) -> Result<(), Error> {
        script.sort_by(|a, b| a.at.total_cmp(&b.at));
        let started = Instant::now();
        for step in script {
            self.watch_until(started + time.mul_f64(step.at)).await?;
            self.act(step.action).await?;
        }
        self.watch_until(started + time).await
    }

    async fn watch_until(&mut self, end: Instant) -> Result<(), Error> {
        while Instant::now() + TICK < end {
            self.revive_engines()?;
            race::watch(&self.cluster, &mut self.events).await;
            sleep(TICK).await;
        }
        sleep_until(end.into()).await;
        Ok(())
    }

    async fn act(&mut self, action: Action) -> Result<(), Error> {
        match action {
            Action::CutPlatform(router) => self.fault_platform(router, Fault::partition()),
            Action::DeafPlatform(router) => self.fault_platform(router, Fault::block_answers()),
            Action::HealPlatform(router) => self.heal_platform(router),
            Action::CutPeers(router) => self.fault_peers(router, Fault::partition()),
            Action::HealPeers(router) => self.fault_peers(router, Fault::default()),
            Action::Kill(router) => return self.kill(router).await,
            Action::Stop(router) => return self.stop(router).await,
            Action::Start(router) => return self.start(router).await,
            Action::Freeze(router) => self.freeze(router),
            Action::Resume(router) => self.resume(router),
            Action::Outage(outage) => {
                return self.set(Faults { outage, ..self.faults }).await;
            }
            Action::Delay(delay_ms) => {
                return self.set(Faults { delay_ms, ..self.faults }).await;
            }
            Action::LostReply(percent) => {
                let lost_reply = f64::from(percent) / 100.0;
                return self.set(Faults { lost_reply, ..self.faults }).await;
            }
            Action::KillEngine(engine) => {
                self.events.engine_down.insert(engine, None);
                self.cluster.engines[engine].process.kill();
            }
            Action::StartEngine(engine) => return self.start_engine(engine),
            Action::SlowEngine(engine, delay) => {
                self.fault_engine(engine, Fault::slow(Duration::from_millis(delay)));
            }
            Action::ResetEngine(engine) => {
                if let Some(link) = &self.cluster.engines[engine].link {
                    link.reset_connections();
                }
            }
            Action::Drain(engine) => self.drain(engine).await,
            Action::Undrain(engine) => self.undrain(engine).await,
            Action::Poison => self.poison(),
            Action::Race => {
                self.races += 1;
                race::run(&self.cluster, &mut self.events, self.races).await;
            }
            Action::TopUp => self.top_up().await,
        }
        Ok(())
    }

    fn fault_platform(&mut self, router: usize, fault: Fault) {
        let router = &self.cluster.routers[router];
        self.events.cuts.push(Span::open(router.address));
        if let Some(link) = &router.platform_link {
            link.set_fault(fault);
        }
    }

    fn heal_platform(&mut self, router: usize) {
        let router = &self.cluster.routers[router];
        Span::close(&mut self.events.cuts, router.address);
        if let Some(link) = &router.platform_link {
            link.heal();
        }
    }

    fn fault_peers(&mut self, router: usize, fault: Fault) {
        if let Some(link) = &self.cluster.routers[router].peer_link {
            link.set_fault(fault);
        }
    }

    fn fault_engine(&mut self, engine: usize, fault: Fault) {
        if let Some(link) = &self.cluster.engines[engine].link {
            link.set_fault(fault);
        }
    }

    async fn set(&mut self, faults: Faults) -> Result<(), Error> {
        if faults.outage != self.faults.outage || faults.delay_ms != self.faults.delay_ms {
            for router in &self.cluster.routers {
                if faults.outage || faults.delay_ms > 0 {
                    self.events.cuts.push(Span::open(router.address));
                } else {
                    Span::close(&mut self.events.cuts, router.address);
                }
            }
        }
        self.faults = faults;
        Ok(self.cluster.set_faults(faults).await?)
    }

    async fn kill(&mut self, router: usize) -> Result<(), Error> {
        if self.lives[router] != Life::Up {
            return Ok(());
        }
        let address = self.cluster.routers[router].address;
        self.frozen.remove(&router);
        self.events.unplanned.push(Span::open(address));
        self.cluster.routers[router].process.kill();
        self.lives[router] = Life::Dead;
        self.list().await
    }

    async fn stop(&mut self, router: usize) -> Result<(), Error> {
        if self.lives[router] != Life::Up || self.frozen.contains(&router) {
            return Ok(());
        }
        self.events.planned.push(Span::open(self.cluster.routers[router].address));
        self.cluster.routers[router].process.terminate();
        self.lives[router] = Life::Leaving;
        self.list().await
    }

    async fn start(&mut self, router: usize) -> Result<(), Error> {
        match self.lives[router] {
            Life::Up => return Ok(()),
            Life::Leaving => self.await_exit(router).await?,
            Life::Dead => {}
        }
        let address = self.cluster.routers[router].address;
        Span::close(&mut self.events.unplanned, address);
        Span::close(&mut self.events.planned, address);
        self.cluster.restart_router(router)?;
        self.lives[router] = Life::Up;
        self.list().await
    }

    /// Waits for the end of a planned stop; one that takes too long or fails is counted.
    async fn await_exit(&mut self, router: usize) -> Result<(), Error> {
        let end = Instant::now() + STOP_TIME;
        let process = &mut self.cluster.routers[router].process;
        loop {
            if let Some(status) = process.exit_status()? {
                self.events.unclean_exits += u64::from(!status.success());
                return Ok(());
            }
            if Instant::now() >= end {
                self.events.unclean_exits += 1;
                process.kill();
                return Ok(());
            }
            sleep(TICK).await;
        }
    }

    fn freeze(&mut self, router: usize) {
        if self.lives[router] != Life::Dead && self.frozen.insert(router) {
            let router = &self.cluster.routers[router];
            self.events.unplanned.push(Span::open(router.address));
            router.process.freeze();
        }
    }

    fn resume(&mut self, router: usize) {
        if self.frozen.remove(&router) {
            let router = &self.cluster.routers[router];
            router.process.resume();
            Span::close(&mut self.events.unplanned, router.address);
        }
    }

    /// Tells the platform's list, which lags, what lives.
    async fn list(&self) -> Result<(), Error> {
        let routers = self.cluster.routers.iter().zip(&self.lives);
        let listed = routers
            .filter(|(_, life)| **life != Life::Dead)
            .map(|(router, life)| Listing { leaving: *life == Life::Leaving, ..listing(router) });
        Ok(self.cluster.publish_listings(listed.collect()).await?)
    }

    fn start_engine(&mut self, engine: usize) -> Result<(), Error> {
        if self.events.engine_down.remove(&engine).is_some() {
            let folder = self.cluster.folder().to_owned();
            self.cluster.engines[engine].restart(&folder, true)?;
        }
        Ok(())
    }

    /// Starts engines again some time after a request crashed them.
    fn revive_engines(&mut self) -> Result<(), Error> {
        for engine in 0..self.cluster.engines.len() {
            match self.events.engine_down.get(&engine) {
                Some(Some(since)) if since.elapsed() >= ENGINE_DOWN => self.start_engine(engine)?,
                Some(_) => {}
                None => {
                    if let Some(status) = self.cluster.engines[engine].process.exit_status()? {
                        self.events.crashes += u64::from(status.code() == Some(CRASHED));
                        self.events.engine_down.insert(engine, Some(Instant::now()));
                    }
                }
            }
        }
        Ok(())
    }

    async fn drain(&mut self, engine: usize) {
        let upstream = format!("engine-{}", engine + 1);
        if self.confirm(&json!({"upstreams": {&upstream: {"draining": true}}})).await {
            self.draining.insert(engine);
            self.events.marks.push(Mark { upstream, from_ms: wall_ms(), until_ms: None });
        }
    }

    async fn undrain(&mut self, engine: usize) {
        if self.draining.remove(&engine) {
            let upstream = format!("engine-{}", engine + 1);
            for mark in self.events.marks.iter_mut().filter(|mark| mark.upstream == upstream) {
                mark.until_ms.get_or_insert(wall_ms());
            }
            self.confirm(&json!({"upstreams": {upstream: {"draining": false}}})).await;
        }
    }

    fn poison(&mut self) {
        self.events.poisons += 1;
        let name = format!("poison-{}", self.events.poisons);
        let ask = Ask { kind: Kind::Whole, name, payer: 0, tokens: 4, poison: true };
        let known = self.cluster.routers.iter().map(|router| router.address).collect();
        ntex::rt::spawn(async move {
            let callers = caller::Callers::open(caller::Way::Fleet(known), 1).await;
            for _ in 0..3 {
                callers.send(ask.clone()).await;
            }
        });
    }

    async fn top_up(&mut self) {
        let Ok(budgets) = self.cluster.budgets().await else { return };
        let Some(small) = budgets.iter().find(|row| row.budget == SMALL) else { return };
        let paid = small.paid + TOP_UP;
        if self.confirm(&json!({"budgets": {SMALL: {"paid": paid}}})).await {
            self.events.topped_up = paid;
        }
    }

    /// Plans and confirms at the first instance that answers.
    async fn confirm(&mut self, intent: &Value) -> bool {
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
            if let Ok(Some(version)) = timeout(OPERATOR_TIME, call).await {
                self.events.confirmed(version);
                return true;
            }
        }
        false
    }

    /// Ends all faults and starts whatever is down.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or the platform cannot be reached.
    pub async fn heal(&mut self) -> Result<(), Error> {
        self.set(Faults { list_lag_ms: LIST_LAG_MS, ..Faults::default() }).await?;
        for router in 0..self.cluster.routers.len() {
            self.heal_platform(router);
            self.fault_peers(router, Fault::default());
            self.resume(router);
            self.start(router).await?;
        }
        for engine in 0..self.cluster.engines.len() {
            self.fault_engine(engine, Fault::default());
            self.start_engine(engine)?;
        }
        Ok(())
    }

    /// Waits until nothing moves any more, then stops all instances gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn settle(&mut self) -> Result<(), Error> {
        if !matches!(timeout(READY_TIME, self.cluster.wait_until_ready()).await, Ok(Ok(()))) {
            self.events.not_ready = true;
        }
        race::settled(&self.cluster, &mut self.events).await;
        let end = Instant::now() + SETTLE_TIME;
        while Instant::now() < end {
            if self.cluster.budgets().await?.iter().all(|row| row.held == 0) {
                break;
            }
            sleep(TICK).await;
        }
        for router in &self.cluster.routers {
            router.process.terminate();
        }
        for router in 0..self.cluster.routers.len() {
            self.await_exit(router).await?;
        }
        Ok(())
    }
}
