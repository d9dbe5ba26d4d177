//! The end of a tunnel at the instance that has a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use base::prelude::*;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use h1::Conn;
use rand::seq::SliceRandom;
use slog::{Logger, info};
use tokio::time::sleep;

use crate::{Error, Obstacle, Target};

/// Most instances that are asked for one connection.
const MAX_ASKED: usize = 4;
/// Wait for the answer of an instance after which the next one is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(80);
/// Time for which an instance without a path, or without an answer, is not asked again.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// A connection to an upstream through another instance.
#[derive(Debug)]
pub struct Tunnel {
    /// Connection on which the upstream answers.
    pub conn: Conn,
    /// Whether it leads certainly to the incarnation that was asked for.
    pub is_proven: bool,
}

/// The other instances, which may connect to upstreams for this one.
pub trait Exits: fmt::Debug {
    /// Returns the instances that may be asked, without this one.
    fn candidates(&self) -> Vec<InstanceId>;

    /// Asks an instance for a connection; it must not ask a third one.
    fn connect<'a>(
        &'a self,
        exit: &'a InstanceId,
        target: &'a Target,
    ) -> LocalBoxFuture<'a, Result<Tunnel, Error>>;
}

/// Opens tunnels through the other instances.
#[derive(Debug)]
pub struct Entrance {
    exits: Rc<dyn Exits>,
    clock: Arc<dyn Clock>,
    log: Logger,
    /// Instances that are not asked for a service, and until when.
    avoided: RefCell<HashMap<(InstanceId, ServiceId), Duration>>,
}

impl Entrance {
    /// Opens an entrance that has asked no instance yet.
    #[must_use]
    pub fn open(exits: Rc<dyn Exits>, clock: Arc<dyn Clock>, log: Logger) -> Self {
        Self { exits, clock, log, avoided: RefCell::default() }
    }

    /// Connects to an upstream through the first instance that can.
    ///
    /// # Errors
    ///
    /// Returns [`Obstacle::Upstream`] if an instance with a path cannot connect to the upstream, and
    /// [`Obstacle::Path`] if none of the instances that were asked has a path.
    pub async fn connect(&self, target: &Target) -> Result<Tunnel, Obstacle> {
        let mut candidates = self.usable_exits(&target.service).into_iter();
        let mut asked = FuturesUnordered::new();
        let mut result = Obstacle::Path;
        loop {
            if let Some(exit) = candidates.next() {
                asked.push(self.ask(exit, target));
            }
            let answer = if candidates.len() == 0 {
                asked.next().await
            } else {
                tokio::select! {
                    answer = asked.next() => answer,
                    () = sleep(HEDGE_DELAY) => continue,
                }
            };
            match answer {
                Some((_, Ok(tunnel))) => return Ok(tunnel),
                Some((exit, Err(error))) => {
                    info!(self.log, "tunnel refused"; "exit" => %exit, "obstacle" => %error,
                        "upstream" => target.upstream.as_ref());
                    match error {
                        Error::Obstacle(Obstacle::Upstream) => return Err(Obstacle::Upstream),
                        Error::Obstacle(Obstacle::Unlisted) => result = Obstacle::Upstream,
                        Error::Obstacle(Obstacle::Busy) => {}
                        Error::Obstacle(Obstacle::Path) | Error::Silent(_) => {
                            self.avoid(exit, &target.service);
                        }
                    }
                }
                None => return Err(result),
            }
        }
    }

    async fn ask(&self, exit: InstanceId, target: &Target) -> (InstanceId, Result<Tunnel, Error>) {
        let answer = self.exits.connect(&exit, target).await;
        (exit, answer)
    }

    /// Returns the instances to ask, in random order so that their load is spread.
    fn usable_exits(&self, service: &ServiceId) -> Vec<InstanceId> {
        let now = self.clock.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| now < *until);
        let mut usable = self.exits.candidates();
        usable.retain(|exit| !avoided.contains_key(&(Arc::clone(exit), Arc::clone(service))));
        usable.shuffle(&mut rand::rng());
        usable.truncate(MAX_ASKED);
        usable
    }

    fn avoid(&self, exit: InstanceId, service: &ServiceId) {
        let until = self.clock.now() + AVOIDANCE;
        self.avoided.borrow_mut().insert((exit, Arc::clone(service)), until);
    }
}
