//! Operators at all instances change the configuration while one cannot reach the platform.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Races operators at all instances, with the platform cut off from one of them.
#[derive(Debug)]
pub struct ConfigRace;

impl Scenario for ConfigRace {
    fn name(&self) -> &'static str {
        "config-race"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let mut steps: Vec<Step> =
            (1..9).map(|turn| step(f64::from(turn) / 10.0, Action::RaceOperators)).collect();
        let router = rng.random_range(0..size.routers);
        steps.push(step(0.35, Action::CutPlatform(router)));
        steps.push(step(0.65, Action::HealPlatform(router)));
        steps
    }
}
