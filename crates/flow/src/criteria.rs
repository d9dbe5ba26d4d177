//! What a request wants from an upstream.

use base::prelude::*;
use route::Criteria;
use route::prefix::{self, Hash};

use crate::exchange::{Call, Exchange};

/// The part of a wish that does not change between tries.
#[derive(Debug)]
pub struct Template {
    blocks: Vec<Hash>,
}

impl Template {
    /// Reads the wish of a request.
    #[must_use]
    pub fn new(exchange: &Exchange) -> Self {
        let blocks = match &exchange.call {
            Call::Chat(chat) => prefix::hash_messages(chat.messages()),
            Call::Service(_) => Vec::new(),
        };
        Self { blocks }
    }

    /// Returns the wish after some upstreams were tried.
    #[must_use]
    pub fn excluding<'a>(
        &'a self,
        exchange: &'a Exchange,
        tried: &'a [UpstreamId],
    ) -> Criteria<'a> {
        let model = match &exchange.call {
            Call::Chat(chat) => Some(chat.model.as_str()),
            Call::Service(_) => None,
        };
        Criteria { candidates: &exchange.candidates, tried, model, block_hashes: &self.blocks }
    }
}
