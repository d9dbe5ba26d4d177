//! State of one request, from its arrival to the end of its answer.

use base::prelude::*;
use idem::{Answer, Claim};
use ledger::Hold;
use ntex::http::Method;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;
use plan::Doc;
use plan::doc::Class;

use crate::chat::Chat;
use crate::limit::Permit;
use crate::pool::Slot;

/// Kind of the request, with its parsed content.
#[derive(Debug)]
pub enum Call {
    /// A chat completion, served by an engine.
    Chat(Box<Chat>),
    /// An HTTP call whose method, path and body are passed on unchanged.
    Service(Service),
}

/// Target of a call of a plain service.
#[derive(Debug)]
pub struct Service {
    /// Id of the service, from the path of the request.
    pub id: ServiceId,
    /// Path and query below the service; starts with a slash.
    pub path: String,
}

/// Account and budget to which the caller's API key belongs.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Client account whose limits and queue apply.
    pub account: AccountId,
    /// Priority class of the account; the default if the account is not configured.
    pub class: Class,
    /// Budget that is charged for the request.
    pub budget: BudgetId,
}

/// A request and what the filters add to it.
#[derive(Debug)]
pub struct Exchange {
    /// Id of the request; set on arrival, replaced by the id of a granted claim.
    pub request_id: RequestId,
    /// Configuration at the arrival of the request; later versions do not affect it.
    pub config: Arc<Doc>,
    /// HTTP method, also used for the call to the upstream.
    pub method: Method,
    /// Content type sent to the upstream; always JSON for chats.
    pub content_type: Option<HeaderValue>,
    /// Body sent to the upstream; for chats, the resolve filter rewrites it.
    pub body: Bytes,
    /// Parsed content of the request.
    pub call: Call,
    /// API key from the authorization header; `None` if it is missing or malformed.
    pub bearer_key: Option<String>,
    /// Account and budget of the caller; `None` until the identify filter has run.
    pub caller: Option<Caller>,
    /// Idempotency key of the caller; `None` if it sent none.
    pub idempotency_key: Option<String>,
    /// False if the caller or the configuration forbids a second run.
    pub idempotent: bool,
    /// Upstreams of the model or service; set by the resolve filter.
    pub candidates: Vec<UpstreamId>,
    /// Most tokens that the request can cost; set by the resolve filter.
    pub bound: Tokens,
    /// Reserved tokens; set by the reserve filter, taken by the settlement.
    pub hold: Option<Hold>,
    /// Deadline on the monotonic clock.
    ///
    /// The parser stores the caller's timeout here; the server then adds the arrival time.
    pub deadline: Duration,
    /// Upstream slot; set by the queue filter, freed on drop.
    pub slot: Option<Slot>,
    /// Counts the request against the account's concurrency limit until dropped.
    pub concurrency_permit: Option<Permit>,
    /// Digest of the request as received; `None` without an idempotency key.
    pub request_digest: Option<String>,
    /// Claim of the idempotency key; `None` without a key.
    pub claim: Option<Claim>,
    /// Stored answer of an earlier request under the same key; set by the claim filter.
    pub replay: Option<Answer>,
}

impl Exchange {
    /// Returns true if the caller sent an idempotency key.
    #[must_use]
    pub fn has_idempotency_key(&self) -> bool {
        self.request_digest.is_some()
    }

    /// Returns true if the caller requested a streamed answer.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        matches!(&self.call, Call::Chat(chat) if chat.stream)
    }

    /// Returns the caller that the identify filter found.
    ///
    /// # Panics
    ///
    /// Panics if that filter has not run, which is a bug in the order of the filters.
    #[must_use]
    pub fn caller(&self) -> &Caller {
        self.caller.as_ref().expect("the identify filter runs before every use of the caller")
    }
}
