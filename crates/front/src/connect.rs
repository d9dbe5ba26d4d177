//! Connections to upstreams, directly or through another instance.

mod inquiry;

use std::io::{self, ErrorKind};
use std::rc::Rc;

use base::prelude::*;
use h1::{Conn, Traffic};
use route::path::{Path, Plan, State};
use slog::{info, warn};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tunnel::{Entrance, Exit, Obstacle, Target};

pub use self::inquiry::Doubt;
pub(crate) use self::inquiry::Origin;
use crate::Front;
use crate::proof::Proof;
use crate::upstream::Upstream;

/// Longest time for a connect to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for a connect for another instance, which waits for the answer.
const EXIT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Silence of a service with requests in flight after which the path is checked.
const SILENCE_LIMIT: Duration = Duration::from_millis(250);
/// Shortest interval between two checks of the path to one upstream.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Most upstreams of a service that are checked at once; two show that the path is lost.
const MAX_CHECKED: usize = 2;

/// Both ends of the tunnels of an instance.
#[derive(Debug)]
pub struct Tunnels {
    /// Opens tunnels through other instances.
    pub entrance: Entrance,
    /// Carries tunnels of other instances.
    pub exit: Rc<Exit>,
}

/// An open connection on which a request can be sent.
#[derive(Debug)]
pub(crate) struct Opened {
    pub conn: Conn,
    /// What shows that the connection leads to the listed incarnation.
    pub proof: Proof,
    /// Whether it leads through another instance.
    pub is_tunnel: bool,
}

/// Why no connection to an upstream was opened.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// This upstream cannot be connected to.
    #[error("{0}")]
    Upstream(#[from] io::Error),
    /// This instance has no path to the service, nor has any that was asked.
    #[error("no path")]
    Path,
    /// The upstream may be a later incarnation than listed.
    #[error("incarnation unknown: {0}")]
    Unproven(Doubt),
}

/// What a second attempt shows after a connection to an upstream was lost.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// This instance can connect.
    Up(Opened),
    /// Only others can connect, or nobody can while the path is lost.
    PathLost,
    /// Nobody can connect.
    Down(io::Error),
}

impl Front {
    /// Connects to an upstream, through another instance if the own path is lost.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        upstream: &Rc<Upstream>,
        time_left: Duration,
    ) -> Result<Opened, Error> {
        let service = &upstream.entry.service;
        let now = self.clock.now();
        let plan = self.with_path(service, |path| path.plan(&upstream.entry.id, now));
        let connect_timeout = CONNECT_TIMEOUT.min(time_left);
        // A tunnel would pass a full link twice.
        let tunnels = self.tunnels.as_ref().filter(|_| !self.is_congested());
        let Some(tunnels) = tunnels else {
            return Ok(self.connect_directly(upstream, connect_timeout).await?);
        };
        match plan {
            Plan::Refuse => Err(Error::Path),
            Plan::Direct { patience } => {
                self.race(tunnels, upstream, patience, connect_timeout).await
            }
            Plan::Tunnel { probes } => {
                if probes {
                    // The receiver is dropped, so that the connection goes to the pool.
                    drop(self.spawn_connect(upstream, CONNECT_TIMEOUT));
                }
                // No connect has failed, so that the tunnel is no evidence on the own path.
                match self.open_tunnel(tunnels, upstream).await {
                    // Only this upstream is out of reach, so that another one may be connected to.
                    Err(Error::Path) if self.path_state(service) == State::Works => {
                        Err(io::Error::from(ErrorKind::TimedOut).into())
                    }
                    Err(Error::Path) => {
                        self.record_no_exit(service);
                        Err(Error::Path)
                    }
                    opened => opened,
                }
            }
        }
    }

    /// Connects directly, and by a tunnel if that fails or takes longer than `patience`.
    async fn race(
        self: &Rc<Self>,
        tunnels: &Tunnels,
        upstream: &Rc<Upstream>,
        patience: Duration,
        connect_timeout: Duration,
    ) -> Result<Opened, Error> {
        let mut direct = self.spawn_connect(upstream, connect_timeout);
        let is_intact = || self.path_state(&upstream.entry.service) == State::Works;
        let refused = tokio::select! {
            biased;
            opened = wait_opened(&mut direct) => match opened {
                Ok(opened) => return Ok(opened),
                // Another upstream is tried first, unless several have failed.
                Err(error) if is_intact() => return Err(error.into()),
                Err(error) => Some(error),
            },
            () = sleep(patience) => None,
        };
        let by_tunnel = self.connect_by_tunnel(tunnels, upstream);
        tokio::pin!(by_tunnel);
        let refused = if let Some(error) = refused {
            error
        } else {
            tokio::select! {
                biased;
                opened = wait_opened(&mut direct) => match opened {
                    Ok(opened) => return Ok(opened),
                    Err(error) => error,
                },
                opened = &mut by_tunnel => return match opened {
                    Ok(opened) => Ok(opened),
                    // In doubt, a connect that hangs would only delay the next one.
                    Err(Error::Path) if !is_intact() => {
                        Err(io::Error::from(ErrorKind::TimedOut).into())
                    }
                    Err(_) => Ok(wait_opened(&mut direct).await?),
                },
            }
        };
        match by_tunnel.await {
            // Instances without a path say nothing about the upstream.
            Err(Error::Path) => Err(refused.into()),
            opened => opened,
        }
    }

    /// Opens a tunnel to an upstream to which a connect has failed, or hangs.
    async fn connect_by_tunnel(
        &self,
        tunnels: &Tunnels,
        upstream: &Upstream,
    ) -> Result<Opened, Error> {
        let opened = self.open_tunnel(tunnels, upstream).await;
        if opened.is_ok() {
            self.record_detour(upstream);
        }
        opened
    }

    async fn open_tunnel(&self, tunnels: &Tunnels, upstream: &Upstream) -> Result<Opened, Error> {
        let entry = &upstream.entry;
        let target = Target {
            service: Arc::clone(&entry.service),
            upstream: Arc::clone(&entry.id),
            incarnation: entry.born,
        };
        let connected = tunnels.entrance.connect(&target).await;
        self.metrics.count_tunnel(&entry.service, &connected);
        match connected {
            Ok(tunnel) => {
                let mut proof = self.fleet.proof_of_new(upstream, self.clock.now());
                proof.is_likely &= tunnel.is_proven;
                Ok(Opened { conn: tunnel.conn, proof, is_tunnel: true })
            }
            Err(Obstacle::Upstream) => {
                let upstream_count = self.fleet.service_size(&entry.service);
                self.with_path(&entry.service, |path| path.record_down(&entry.id, upstream_count));
                Err(io::Error::from(ErrorKind::HostUnreachable).into())
            }
            Err(_) => Err(Error::Path),
        }
    }

    /// Connects in a task of its own; without a receiver the connection goes to the pool.
    fn spawn_connect(
        self: &Rc<Self>,
        upstream: &Rc<Upstream>,
        connect_timeout: Duration,
    ) -> oneshot::Receiver<io::Result<Opened>> {
        let (sender, receiver) = oneshot::channel();
        let (front, upstream) = (Rc::clone(self), Rc::clone(upstream));
        ntex::rt::spawn(async move {
            let opened = front.connect_directly(&upstream, connect_timeout).await;
            if let Err(Ok(Opened { conn, proof, .. })) = sender.send(opened) {
                upstream.release(conn, proof, None, front.clock.now());
            }
        });
        receiver
    }

    async fn connect_directly(
        &self,
        upstream: &Upstream,
        connect_timeout: Duration,
    ) -> io::Result<Opened> {
        let began = self.clock.now();
        let opened =
            Conn::open(upstream.entry.address, connect_timeout, self.unacked_timeout).await;
        let ended = self.clock.now();
        match &opened {
            Ok(_) => {
                let time = ended.saturating_sub(began);
                self.gate.borrow_mut().record_connect(Some(time), ended);
            }
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                self.gate.borrow_mut().record_connect(None, ended);
            }
            Err(_) => {}
        }
        self.record_connect(upstream, &opened);
        let proof = self.fleet.proof_of_new(upstream, self.clock.now());
        Ok(Opened { conn: opened?, proof, is_tunnel: false })
    }

    /// Connects to an upstream for another instance.
    ///
    /// The flag is false if something shows that the upstream may have started again.
    ///
    /// # Errors
    ///
    /// Returns the obstacle if there is no connection. No third instance is asked.
    pub async fn connect_for_peer(
        self: &Rc<Self>,
        upstream: &str,
        incarnation: Incarnation,
    ) -> Result<(Conn, bool), Obstacle> {
        let is_full = self.tunnels.as_ref().is_none_or(|tunnels| tunnels.exit.is_full());
        if is_full || self.stop.has_begun() {
            return Err(Obstacle::Busy);
        }
        let upstream = self
            .fleet
            .find(upstream)
            .filter(|found| found.entry.born == incarnation && !found.leaving.get())
            .filter(|found| !self.fleet.is_evacuated(found))
            .ok_or(Obstacle::Unlisted)?;
        let service = &upstream.entry.service;
        let now = self.clock.now();
        if self.path_state(service) == State::Lost
            && !self.with_path(service, |path| path.is_probe_due(now))
        {
            return Err(Obstacle::Path);
        }
        match self.connect_directly(&upstream, EXIT_CONNECT_TIMEOUT).await {
            // The row may have been read while the connection was opened.
            Ok(_) if self.fleet.is_evacuated(&upstream) => Err(Obstacle::Unlisted),
            Ok(Opened { conn, proof, .. }) => Ok((conn, proof.is_likely)),
            Err(_) if self.path_state(service) == State::Works => Err(Obstacle::Upstream),
            Err(_) => Err(Obstacle::Path),
        }
    }

    /// Returns true while the own network link is full, so that time-outs prove nothing.
    pub(crate) fn is_congested(&self) -> bool {
        self.gate.borrow_mut().is_congested(Traffic::total(), self.clock.now())
    }

    /// Notes that no instance that was asked has a path to a service.
    pub(crate) fn record_no_exit(&self, service: &ServiceId) {
        let now = self.clock.now();
        self.with_path(service, |path| path.record_no_exit(now));
    }

    /// Returns how many requests of other instances are carried.
    pub(crate) fn carried_tunnels(&self) -> usize {
        self.tunnels.as_ref().map_or(0, |tunnels| tunnels.exit.carried())
    }

    /// Finds out whether an upstream is down after a connection to it was lost.
    pub(crate) async fn verify(self: &Rc<Self>, upstream: &Rc<Upstream>) -> Verdict {
        let service = &upstream.entry.service;
        let error = match self.connect_directly(upstream, CONNECT_TIMEOUT).await {
            Ok(opened) => return Verdict::Up(opened),
            Err(error) => error,
        };
        let Some(tunnels) = &self.tunnels else { return Verdict::Down(error) };
        match self.connect_by_tunnel(tunnels, upstream).await {
            Ok(_) => Verdict::PathLost,
            Err(Error::Path) if self.path_state(service) == State::Lost => Verdict::PathLost,
            // Instances that all fail to connect rather show that the upstream is down.
            Err(_) => Verdict::Down(error),
        }
    }

    /// Checks the paths to services that have gone silent, until the thread ends.
    ///
    /// The bytes of open connections hang in a silent cut, and no failed connect shows it while idle
    /// connections are left.
    pub async fn watch_paths(self: Rc<Self>) {
        loop {
            sleep(SILENCE_LIMIT).await;
            let now = self.clock.now();
            for upstreams in self.fleet.upstreams_by_service() {
                let heard_at = upstreams.iter().map(|upstream| upstream.heard_at()).max();
                if heard_at.is_some_and(|at| now < at + SILENCE_LIMIT) {
                    continue;
                }
                let service = upstreams.first().map(|upstream| &upstream.entry.service);
                if service.is_none_or(|service| self.path_state(service) == State::Lost) {
                    continue;
                }
                let silent = upstreams.iter().filter(|upstream| {
                    upstream.direct_silence(now) >= SILENCE_LIMIT
                        && upstream.start_check(now, CHECK_INTERVAL)
                });
                for upstream in silent.take(MAX_CHECKED) {
                    let (front, upstream) = (Rc::clone(&self), Rc::clone(upstream));
                    ntex::rt::spawn(async move { front.check_path(&upstream).await });
                }
            }
        }
    }

    /// Connects to a silent upstream; if only others can, requests there learn of it.
    async fn check_path(self: &Rc<Self>, upstream: &Rc<Upstream>) {
        let direct = self.spawn_connect(upstream, CONNECT_TIMEOUT);
        let is_pending = match timeout(SILENCE_LIMIT / 2, direct).await {
            Ok(Ok(Ok(Opened { conn, proof, .. }))) => {
                return upstream.release(conn, proof, None, self.clock.now());
            }
            Ok(_) => false,
            Err(_elapsed) => true,
        };
        let Some(tunnels) = &self.tunnels else { return };
        let is_detoured = self.connect_by_tunnel(tunnels, upstream).await.is_ok();
        // Open connections live on while new ones are refused.
        if is_detoured && is_pending {
            info!(self.log, "path silent"; "upstream" => upstream.entry.id.as_ref(),
                "in_flight" => upstream.in_flight());
            upstream.cut_off();
            if self.path_state(&upstream.entry.service) == State::Lost {
                let service = &upstream.entry.service;
                self.fleet.service_upstreams(service).iter().for_each(|other| other.cut_off());
            }
        }
    }

    fn with_path<T>(&self, service: &ServiceId, action: impl FnOnce(&mut Path) -> T) -> T {
        action(self.paths.borrow_mut().entry(Arc::clone(service)).or_default())
    }

    /// Returns what is known of this instance's path to a service.
    pub(crate) fn path_state(&self, service: &ServiceId) -> State {
        self.with_path(service, |path| path.state())
    }

    /// Records the result of a connect as evidence on the upstream and on this instance's path.
    fn record_connect(&self, upstream: &Upstream, connected: &io::Result<Conn>) {
        let entry = &upstream.entry;
        let now = self.clock.now();
        self.metrics.count_connect(&entry.service, connected);
        let Err(error) = connected else {
            if self.with_path(&entry.service, |path| path.record_connected(&entry.id)) {
                info!(self.log, "path regained"; "service" => entry.service.as_ref(),
                    "upstream" => entry.id.as_ref());
            }
            return;
        };
        if error.kind() == ErrorKind::ConnectionRefused {
            upstream.record_refusal(now);
            self.record_loss(upstream, "connect refused");
        }
        // The packets of the connect may wait in the full link of this instance.
        if error.kind() == ErrorKind::TimedOut && self.is_congested() {
            return;
        }
        let upstream_count = self.fleet.service_size(&entry.service);
        self.with_path(&entry.service, |path| {
            if path.record_failure(&entry.id, upstream_count, now) {
                let failed: Vec<&str> = path.failed().map(|id| &**id).collect();
                warn!(self.log, "path in doubt"; "service" => entry.service.as_ref(),
                    "failed" => failed.join(" "), "upstreams" => upstream_count,
                    "error" => %error);
            }
        });
    }

    /// Records that another instance has connected to an upstream in place of this one.
    fn record_detour(&self, upstream: &Upstream) {
        let entry = &upstream.entry;
        let upstream_count = self.fleet.service_size(&entry.service);
        let now = self.clock.now();
        let is_lost = self
            .with_path(&entry.service, |path| path.record_detour(&entry.id, upstream_count, now));
        if is_lost {
            warn!(self.log, "path lost"; "service" => entry.service.as_ref(),
                "reached_by_others" => entry.id.as_ref(), "upstreams" => upstream_count);
        }
    }
}

/// Waits for a connection that a task opens.
async fn wait_opened(opening: &mut oneshot::Receiver<io::Result<Opened>>) -> io::Result<Opened> {
    opening.await.unwrap_or_else(|_dropped| Err(ErrorKind::ConnectionAborted.into()))
}
