//! Engines are killed and slowed under load, and connections are reset.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Kills two engines in turn, slows one and resets its connections.
#[derive(Debug)]
pub struct UpstreamKill;

impl Scenario for UpstreamKill {
    fn name(&self) -> &'static str {
        "upstream-kill"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let first = rng.random_range(0..size.engines);
        let second = (first + 1) % size.engines;
        vec![
            step(0.1, Action::SlowEngine(second, 30)),
            step(0.2, Action::KillEngine(first)),
            step(0.4, Action::StartEngine(first)),
            step(0.5, Action::SlowEngine(second, 0)),
            step(0.55, Action::ResetEngine(second)),
            step(0.65, Action::KillEngine(second)),
            step(0.85, Action::StartEngine(second)),
        ]
    }
}
