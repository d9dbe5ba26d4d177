//! Several fault scenarios run together, drawn from the seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::FAULT_SCENARIOS;
use crate::load::script::{Scenario, Size, Step};

/// Number of fault scenarios that one run joins.
const SCENARIO_COUNT: usize = 3;

/// Draws several fault scenarios and joins their scripts.
#[derive(Debug)]
pub struct Storm;

impl Scenario for Storm {
    fn name(&self) -> &'static str {
        "storm"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let drawn: Vec<&&dyn Scenario> =
            FAULT_SCENARIOS.choose_multiple(rng, SCENARIO_COUNT).collect();
        drawn.into_iter().flat_map(|scenario| scenario.script(size, rng)).collect()
    }

    fn default_seconds(&self) -> u64 {
        20
    }
}
