//! Poison requests crash each engine that runs them and are retried by their callers.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Sends two poison requests, which their callers retry.
#[derive(Debug)]
pub struct Poison;

impl Scenario for Poison {
    fn name(&self) -> &'static str {
        "poison"
    }

    fn script(&self, _size: Size, rng: &mut StdRng) -> Vec<Step> {
        let start = rng.random_range(0.1..0.2);
        vec![step(start, Action::SendPoison), step(start + 0.35, Action::SendPoison)]
    }
}
