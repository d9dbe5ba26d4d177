//! Steady load without faults.

use rand::rngs::StdRng;

use crate::load::script::{Scenario, Size, Step};

/// Sends load without faults, to measure added time and throughput.
#[derive(Debug)]
pub struct Steady;

impl Scenario for Steady {
    fn name(&self) -> &'static str {
        "steady"
    }

    fn script(&self, _size: Size, _rng: &mut StdRng) -> Vec<Step> {
        Vec::new()
    }

    fn requests_per_second(&self) -> f64 {
        500.0
    }
}
