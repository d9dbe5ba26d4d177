//! An instance is paused for longer than its lease, then resumes.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Pauses an instance until its lease has expired, then resumes it.
#[derive(Debug)]
pub struct RouterFreeze;

impl Scenario for RouterFreeze {
    fn name(&self) -> &'static str {
        "router-freeze"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let router = rng.random_range(0..size.routers);
        vec![step(0.15, Action::FreezeRouter(router)), step(0.7, Action::ResumeRouter(router))]
    }

    fn default_seconds(&self) -> u64 {
        14
    }
}
