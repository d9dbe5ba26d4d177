//! All instances are stopped gracefully and restarted, one after the other.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Stops and restarts every instance in turn.
#[derive(Debug)]
pub struct RollingStop;

impl Scenario for RollingStop {
    fn name(&self) -> &'static str {
        "rolling-stop"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let first = rng.random_range(0..size.routers);
        let turn_fraction = 0.8 / as_f64(size.routers);
        let mut steps = Vec::new();
        for turn in 0..size.routers {
            let router = (first + turn) % size.routers;
            let start = 0.1 + turn_fraction * as_f64(turn);
            steps.push(step(start, Action::StopRouter(router)));
            steps.push(step(start + turn_fraction * 0.7, Action::StartRouter(router)));
        }
        steps
    }

    fn default_seconds(&self) -> u64 {
        14
    }
}

#[expect(clippy::cast_precision_loss, reason = "at most 48 instances")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
