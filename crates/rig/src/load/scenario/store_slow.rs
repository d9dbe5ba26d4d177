//! The platform delays its answers, at times beyond the timeout of its callers.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Delays the platform, at times beyond the timeout of its callers.
#[derive(Debug)]
pub struct StoreSlow;

impl Scenario for StoreSlow {
    fn name(&self) -> &'static str {
        "store-slow"
    }

    fn script(&self, _size: Size, rng: &mut StdRng) -> Vec<Step> {
        vec![
            step(0.1, Action::DelayPlatform(rng.random_range(100..400))),
            step(0.4, Action::DelayPlatform(rng.random_range(1_500..2_500))),
            step(0.7, Action::DelayPlatform(rng.random_range(100..400))),
            step(0.9, Action::DelayPlatform(0)),
        ]
    }

    fn default_seconds(&self) -> u64 {
        14
    }
}
