//! What a request asks for, as its head says.

use base::prelude::*;
use route::prefix::{self, Hash};

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Id of its content.
    pub id: u64,
    /// Tokens.
    pub tokens: Tokens,
}

/// Size of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Generation {
    /// Prompt tokens.
    pub prompt_tokens: Tokens,
    /// Largest number of output tokens.
    pub max_output_tokens: Tokens,
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Params {
    /// Id of the request, chosen by the caller.
    pub request_id: RequestId,
    /// Key of the caller.
    pub api_key: Option<String>,
    /// Time that the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Size, if it is a generation.
    pub generation: Option<Generation>,
    /// Parts of the prompt in their order; all but the last are shared with other requests.
    pub prompt_parts: Vec<Part>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

impl Params {
    /// Returns the largest cost in tokens; plain requests cost none.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.generation.map_or(0, |size| size.prompt_tokens.saturating_add(size.max_output_tokens))
    }

    /// Returns the hash of each part together with all parts before it.
    #[must_use]
    pub fn prefix_hashes(&self) -> Vec<Hash> {
        let folded = self.prompt_parts.iter().scan(prefix::mix(1), |hash, part| {
            *hash = prefix::mix(prefix::extend_hash(*hash, &part.id.to_le_bytes()));
            Some(*hash)
        });
        folded.collect()
    }

    /// Returns how many leading parts other requests share.
    #[must_use]
    pub fn shared_part_count(&self) -> usize {
        self.prompt_parts.len().saturating_sub(1)
    }
}
