//! Scripts of faults and plans.

use std::fmt;

use rand::rngs::StdRng;

/// Something done to the running system; instances and engines go by their index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Nothing passes between an instance and the platform.
    CutPlatform(usize),
    /// The platform's answers to an instance are lost, its calls arrive.
    LosePlatformReplies(usize),
    /// The platform is reached again; connections of before are reset.
    HealPlatform(usize),
    /// Nothing passes on connections that peers open to an instance.
    CutPeers(usize),
    /// Peers reach the instance again.
    HealPeers(usize),
    /// An instance dies.
    KillRouter(usize),
    /// An instance is asked to stop gracefully.
    StopRouter(usize),
    /// An instance starts again after its end.
    StartRouter(usize),
    /// An instance is paused.
    FreezeRouter(usize),
    /// A paused instance goes on.
    ResumeRouter(usize),
    /// Every call of the platform fails, or works again.
    PlatformOutage(bool),
    /// Every call of the platform takes this many milliseconds longer.
    DelayPlatform(u64),
    /// Share of commits whose answer is lost, in percent.
    LoseCommitReplies(u32),
    /// An engine dies.
    KillEngine(usize),
    /// An engine starts again after its end.
    StartEngine(usize),
    /// Every byte from and to an engine takes this many milliseconds longer.
    SlowEngine(usize, u64),
    /// All connections to an engine are reset.
    ResetEngine(usize),
    /// An engine is marked as leaving.
    DrainEngine(usize),
    /// An engine is in use again.
    UndrainEngine(usize),
    /// A caller sends a request that crashes each engine that runs it.
    SendPoison,
    /// Operators at several instances change the configuration at once.
    RaceOperators,
    /// An operator adds to the small budget.
    TopUp,
}

/// An action and the part of the run after which it happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Part of the run, from 0 to 1.
    pub fraction: f64,
    /// What is done.
    pub action: Action,
}

/// Sizes that a script may refer to.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Instances.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
}

/// An experiment.
pub trait Scenario: fmt::Debug {
    /// Returns the name on the command line.
    fn name(&self) -> &'static str;

    /// Returns the steps of a run, in any order.
    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step>;

    /// Returns the requests a second.
    fn requests_per_second(&self) -> f64 {
        150.0
    }

    /// Returns the seconds for which requests are sent when the caller names none.
    fn default_seconds(&self) -> u64 {
        10
    }
}

/// Returns a step.
#[must_use]
pub fn step(fraction: f64, action: Action) -> Step {
    Step { fraction, action }
}
