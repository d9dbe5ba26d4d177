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
pub struct Size {
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Largest number of output tokens.
    pub output: Tokens,
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Id of the request, chosen by the caller.
    pub request: RequestId,
    /// Key of the caller.
    pub key: Option<String>,
    /// Time that the caller waits for the answer.
    pub patience: Option<Duration>,
    /// Size, if it is a generation.
    pub size: Option<Size>,
    /// Parts of the prompt in their order; all but the last are shared with other requests.
    pub parts: Vec<Part>,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
}

impl Ask {
    /// Returns the largest cost in tokens; plain requests cost none.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.size.map_or(0, |size| size.prompt.saturating_add(size.output))
    }

    /// Returns the hash of each part together with all parts before it.
    #[must_use]
    pub fn chain(&self) -> Vec<Hash> {
        let folded = self.parts.iter().scan(prefix::mix(1), |hash, part| {
            *hash = prefix::mix(prefix::extend_hash(*hash, &part.id.to_le_bytes()));
            Some(*hash)
        });
        folded.collect()
    }

    /// Returns how many leading parts other requests share.
    #[must_use]
    pub fn shared(&self) -> usize {
        self.parts.len().saturating_sub(1)
    }
}
