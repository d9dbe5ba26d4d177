//! Parameters of a request, as its head states them.

use base::prelude::*;
use plan::routing::Route;
use route::prefix::{self, Hash};

/// A part of a prompt that an upstream may have cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Id of the content; equal ids mean equal content.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: Tokens,
}

/// Token counts of a generation, as the caller states them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Generation {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most output tokens that the upstream may generate.
    pub max_output_tokens: Tokens,
}

/// Parameters that the caller states in the head of a request.
#[derive(Debug, Clone)]
pub struct Params {
    /// Id of the request, chosen by the caller.
    pub request_id: RequestId,
    /// API key of the caller; `None` if the request has none.
    pub api_key: Option<String>,
    /// Longest time that the caller waits; `None` leaves the route's timeout.
    pub timeout: Option<Duration>,
    /// Token counts of a generation; `None` for plain requests.
    pub generation: Option<Generation>,
    /// Output tokens that the caller expects, often far off; `None` if it states none.
    pub length_hint: Option<Tokens>,
    /// Parts of the prompt in order; other requests may share all but the last.
    pub prompt_parts: Vec<Part>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the request that brought the first event of the stream that the caller resumes.
    pub resumed_request: Option<RequestId>,
}

impl Params {
    /// Returns the bound: the most tokens that the request can cost.
    ///
    /// Plain requests cost none.
    #[must_use]
    pub fn bound(&self) -> Tokens {
        self.generation.map_or(0, |size| size.prompt_tokens.saturating_add(size.max_output_tokens))
    }

    /// Returns the longest time that a request may take on a route.
    #[must_use]
    pub fn time_limit(&self, route: &Route) -> Duration {
        self.timeout.map_or(route.timeout, |time| time.min(route.timeout))
    }

    /// Returns true if the caller already has events of the stream.
    #[must_use]
    pub fn is_resumption(&self) -> bool {
        self.last_event_id.is_some_and(|id| id > 0 || self.resumed_request.is_some())
    }

    /// Returns the id of the stream: that of the request which brought its first event.
    #[must_use]
    pub fn stream_id(&self) -> &RequestId {
        let first_request = self.resumed_request.as_ref().filter(|_| self.is_resumption());
        first_request.unwrap_or(&self.request_id)
    }

    /// Returns one hash per part, which also covers all parts before it.
    #[must_use]
    pub fn prefix_hashes(&self) -> Vec<Hash> {
        let hashes = self.prompt_parts.iter().scan(prefix::mix(1), |hash, part| {
            *hash = prefix::mix(prefix::extend_hash(*hash, &part.id.to_le_bytes()));
            Some(*hash)
        });
        hashes.collect()
    }

    /// Returns an id for each part that other requests may share, the same at all services.
    #[must_use]
    pub fn shared_part_ids(&self) -> Vec<u64> {
        let parts = &self.prompt_parts[..self.shared_part_count()];
        let id =
            |part: &Part| prefix::mix(prefix::extend_hash(prefix::mix(5), &part.id.to_le_bytes()));
        parts.iter().map(id).collect()
    }

    /// Returns how many leading parts other requests may share.
    #[must_use]
    pub fn shared_part_count(&self) -> usize {
        self.prompt_parts.len().saturating_sub(1)
    }
}
