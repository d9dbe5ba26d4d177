//! Engines drain one after the other.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Drains one engine, ends its draining and drains the next one.
#[derive(Debug)]
pub struct Drain;

impl Scenario for Drain {
    fn name(&self) -> &'static str {
        "drain"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let first = rng.random_range(0..size.engines);
        let second = (first + 1) % size.engines;
        vec![
            step(0.1, Action::DrainEngine(first)),
            step(0.55, Action::UndrainEngine(first)),
            step(0.6, Action::DrainEngine(second)),
        ]
    }

    fn default_seconds(&self) -> u64 {
        15
    }
}
