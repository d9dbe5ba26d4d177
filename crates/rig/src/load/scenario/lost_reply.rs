//! Replies of the platform are lost after the write took effect.

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::script::{Action, Scenario, Size, Step, step};

/// Loses replies of the platform although the writes took effect.
#[derive(Debug)]
pub struct LostReply;

impl Scenario for LostReply {
    fn name(&self) -> &'static str {
        "lost-reply"
    }

    fn script(&self, size: Size, rng: &mut StdRng) -> Vec<Step> {
        let router = rng.random_range(0..size.routers);
        vec![
            step(0.1, Action::LoseCommitReplies(30)),
            step(0.5, Action::LosePlatformReplies(router)),
            step(0.75, Action::HealPlatform(router)),
            step(0.9, Action::LoseCommitReplies(0)),
        ]
    }
}
