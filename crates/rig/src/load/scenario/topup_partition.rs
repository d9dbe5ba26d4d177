//! A budget is topped up while an instance is partitioned.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Tops up a budget while one instance reaches neither the platform nor its peers.
#[derive(Debug)]
pub struct TopupPartition;

impl Scenario for TopupPartition {
    fn name(&self) -> &'static str {
        "topup-partition"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let router = rng.random_range(0..size.routers);
        vec![
            step(0.2, Action::CutPlatform(router)),
            step(0.2, Action::CutPeers(router)),
            step(0.4, Action::TopUp),
            step(0.6, Action::TopUp),
            step(0.85, Action::HealPlatform(router)),
            step(0.85, Action::HealPeers(router)),
        ]
    }

    fn default_seconds(&self) -> u64 {
        15
    }
}
