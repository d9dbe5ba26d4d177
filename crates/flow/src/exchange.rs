//! One request on its way through the filters.

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

/// What the caller asks for.
#[derive(Debug)]
pub enum Call {
    /// A chat completion.
    Chat(Box<Chat>),
    /// A call of a plain service.
    Service(Service),
}

/// A call of a plain service.
#[derive(Debug)]
pub struct Service {
    /// Service.
    pub id: ServiceId,
    /// Path and query below the service, starting with a slash.
    pub path: String,
}

/// Who calls and who pays.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Client account.
    pub account: AccountId,
    /// Priority class of the account.
    pub class: Class,
    /// Budget that pays.
    pub budget: BudgetId,
}

/// A request and what the filters found out about it.
#[derive(Debug)]
pub struct Exchange {
    /// Id of the request.
    pub request_id: RequestId,
    /// Configuration under which the request is served.
    pub config: Arc<Doc>,
    /// Method of the request.
    pub method: Method,
    /// Content type of the request.
    pub content_type: Option<HeaderValue>,
    /// Body as it is sent to the upstream.
    pub body: Bytes,
    /// What is asked for.
    pub call: Call,
    /// Bearer key of the caller.
    pub bearer_key: Option<String>,
    /// Caller, once identified.
    pub caller: Option<Caller>,
    /// The caller's name for the request.
    pub idempotency_key: Option<String>,
    /// Whether the request may be run again.
    pub idempotent: bool,
    /// Upstreams that may serve it.
    pub candidates: Vec<UpstreamId>,
    /// Upper bound of the cost.
    pub bound: Tokens,
    /// Reserved tokens.
    pub hold: Option<Hold>,
    /// Monotonic time by which the request must have ended.
    pub deadline: Duration,
    /// Place at the upstreams.
    pub slot: Option<Slot>,
    /// Place among the requests of the account.
    pub concurrency_permit: Option<Permit>,
    /// Digest of the request as it arrived, if it has a key.
    pub request_digest: Option<String>,
    /// Claim of the key.
    pub claim: Option<Claim>,
    /// Answer of an earlier request under the same key.
    pub replay: Option<Answer>,
}

impl Exchange {
    /// Returns true if the request has a claimed key.
    #[must_use]
    pub fn has_idempotency_key(&self) -> bool {
        self.request_digest.is_some()
    }

    /// Returns true if the answer is streamed.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        matches!(&self.call, Call::Chat(chat) if chat.stream)
    }

    /// Returns the caller.
    ///
    /// # Panics
    ///
    /// Panics if the request was not identified, which is a bug in the order of the filters.
    #[must_use]
    pub fn caller(&self) -> &Caller {
        self.caller.as_ref().expect("identify runs before all filters that need the caller")
    }
}
