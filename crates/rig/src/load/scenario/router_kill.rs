//! Instances are killed and restarted under the same names.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Kills and restarts one instance, then the same or another one.
#[derive(Debug)]
pub struct RouterKill;

impl Scenario for RouterKill {
    fn name(&self) -> &'static str {
        "router-kill"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let first = rng.random_range(0..size.routers);
        let second = (first + rng.random_range(0..size.routers)) % size.routers;
        let start = rng.random_range(0.15..0.3);
        vec![
            step(start, Action::KillRouter(first)),
            step(start + 0.2, Action::StartRouter(first)),
            step(start + 0.4, Action::KillRouter(second)),
            step(start + 0.55, Action::StartRouter(second)),
        ]
    }
}
