//! Scenarios and the actions that their scripts are made of.

use std::fmt;

use rand::rngs::StdRng;

/// Action on the running system; instances and engines are given by index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Stops all traffic between an instance and the platform.
    CutPlatform(usize),
    /// Stops the platform's answers to an instance, whose requests still arrive.
    LosePlatformReplies(usize),
    /// Restores an instance's link to the platform; bytes that were held back arrive.
    HealPlatform(usize),
    /// Stops all traffic on connections that peers open to an instance.
    CutPeers(usize),
    /// Restores the connections that peers open to an instance.
    HealPeers(usize),
    /// Kills an instance.
    KillRouter(usize),
    /// Sends an instance the signal for a graceful stop.
    StopRouter(usize),
    /// Restarts a killed or stopped instance.
    StartRouter(usize),
    /// Pauses the process of an instance.
    FreezeRouter(usize),
    /// Resumes a paused instance.
    ResumeRouter(usize),
    /// Makes every call to the platform fail (`true`) or work again (`false`).
    PlatformOutage(bool),
    /// Delays every call to the platform by this many milliseconds.
    DelayPlatform(u64),
    /// Loses the answers to this percentage of commits, which take effect.
    LoseCommitReplies(u32),
    /// Kills an engine.
    KillEngine(usize),
    /// Restarts an engine that is down.
    StartEngine(usize),
    /// Delays every byte from and to an engine by this many milliseconds.
    SlowEngine(usize, u64),
    /// Resets all connections to an engine.
    ResetEngine(usize),
    /// Configures an engine as draining.
    DrainEngine(usize),
    /// Ends the draining of an engine.
    UndrainEngine(usize),
    /// Sends a request that crashes each engine that runs it.
    SendPoison,
    /// Lets operators at all instances change the configuration concurrently.
    RaceOperators,
    /// Tops up the small budget.
    TopUp,
}

/// An action and the point of the run at which it happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Fraction of the run's duration, from 0 (start) to 1 (end).
    pub fraction: f64,
    /// Change to the running system.
    pub action: Action,
}

/// Numbers of instances and engines, which limit the indexes in a script.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of instances.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
}

/// Scenario of an experiment: load and scripted faults.
pub trait Scenario: fmt::Debug {
    /// Returns the name used on the command line and in the report.
    fn name(&self) -> &'static str;

    /// Returns the steps of a run, in any order.
    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step>;

    /// Returns the average rate of the requests to the instances.
    fn requests_per_second(&self) -> f64 {
        150.0
    }

    /// Returns the sending time in seconds if the command line sets none.
    fn default_seconds(&self) -> u64 {
        10
    }
}

/// Returns a step at a fraction of the run's duration, from 0 to 1.
#[must_use]
pub fn step(fraction: f64, action: Action) -> Step {
    Step { fraction, action }
}
