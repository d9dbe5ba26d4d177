//! Instances are partitioned from the platform, one of them also from its peers.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Cuts one instance off from platform and peers.
///
/// A second draw may pick another instance, which is cut off from the platform alone.
#[derive(Debug)]
pub struct Partition;

impl Scenario for Partition {
    fn name(&self) -> &'static str {
        "partition"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let cut = rng.random_range(0..size.routers);
        let alone = rng.random_range(0..size.routers);
        let mut steps = vec![
            step(0.15, Action::CutPlatform(cut)),
            step(0.15, Action::CutPeers(cut)),
            step(0.8, Action::HealPlatform(cut)),
            step(0.8, Action::HealPeers(cut)),
        ];
        if alone != cut {
            steps.push(step(0.3, Action::CutPlatform(alone)));
            steps.push(step(0.7, Action::HealPlatform(alone)));
        }
        steps
    }

    fn default_seconds(&self) -> u64 {
        15
    }
}
