//! Criteria by which an upstream is chosen for a request.

use base::prelude::*;
use route::Criteria;
use route::prefix::{self, Hash};

use crate::exchange::{Call, Exchange};

/// Hashes of the prompt's leading blocks, computed once for all attempts.
///
/// Engines that already cache these blocks are preferred. Empty for services.
#[derive(Debug)]
pub struct Prefix {
    blocks: Vec<Hash>,
}

impl Prefix {
    /// Hashes the leading blocks of the request's messages.
    #[must_use]
    pub fn new(exchange: &Exchange) -> Self {
        let blocks = match &exchange.call {
            Call::Chat(chat) => prefix::hash_messages(chat.messages()),
            Call::Service(_) => Vec::new(),
        };
        Self { blocks }
    }

    /// Returns the criteria for the next attempt, which excludes the tried upstreams.
    #[must_use]
    pub fn criteria<'a>(&'a self, exchange: &'a Exchange, tried: &'a [UpstreamId]) -> Criteria<'a> {
        let model = match &exchange.call {
            Call::Chat(chat) => Some(chat.model.as_str()),
            Call::Service(_) => None,
        };
        Criteria { candidates: &exchange.candidates, tried, model, block_hashes: &self.blocks }
    }
}
