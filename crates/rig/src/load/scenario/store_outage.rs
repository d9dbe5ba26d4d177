//! The platform fails every call for half of the run.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Makes every call to the platform fail for half of the run.
#[derive(Debug)]
pub struct StoreOutage;

impl Scenario for StoreOutage {
    fn name(&self) -> &'static str {
        "store-outage"
    }

    fn script(&self, _size: Size, rng: &mut StdRng) -> Vec<Step> {
        let start = rng.random_range(0.15..0.3);
        vec![
            step(start, Action::PlatformOutage(true)),
            step(start + 0.5, Action::PlatformOutage(false)),
        ]
    }

    fn default_seconds(&self) -> u64 {
        14
    }
}
