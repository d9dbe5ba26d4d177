//! Requests, payers and budgets of the simulated callers, drawn from the seed.

use plan::hash::digest;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

/// Tokens billed for each call of the plain service.
pub const SERVICE_CALL_TOKENS: u64 = 5;
/// Fewest tokens that a drawn chat generates.
const MIN_OUTPUT_TOKENS: u64 = 4;
/// Most tokens that a drawn chat generates.
const MAX_OUTPUT_TOKENS: u64 = 24;
/// Size of a large budget, more than any run spends.
const LARGE_BUDGET_TOKENS: u64 = 100_000_000;
/// Average cost of a drawn request.
const MEAN_REQUEST_TOKENS: f64 = 23.0;
/// Fraction of its expected spending that the small budget covers.
const SMALL_BUDGET_COVERAGE: f64 = 0.6;
/// Fraction of their expected spending that the parent of two budgets covers.
const SHARED_BUDGET_COVERAGE: f64 = 0.8;

/// Account, budget and key with which callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Payer {
    /// Client account that owns the budget.
    pub account: &'static str,
    /// Budget that the requests are billed to.
    pub budget: &'static str,
    /// API key in plain text.
    pub key: &'static str,
    /// Share of all requests; the payers add up to 100.
    pub request_percent: u32,
}

/// All payers: two large budgets, a small one, and two below one parent.
pub const PAYERS: [Payer; 5] = [
    Payer { account: "courier", budget: "courier", key: "courier-key", request_percent: 40 },
    Payer { account: "merchant", budget: "merchant", key: "merchant-key", request_percent: 35 },
    Payer { account: "tour", budget: SMALL_BUDGET, key: "tour-key", request_percent: 10 },
    Payer { account: "clinic", budget: "clinic-web", key: "clinic-web-key", request_percent: 8 },
    Payer { account: "clinic", budget: "clinic-mail", key: "clinic-mail-key", request_percent: 7 },
];

/// Budget that runs out during a run.
pub const SMALL_BUDGET: &str = "tour";

/// Kind of a request, which sets its path and the form of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Chat that is answered in one body.
    Whole,
    /// Chat that is answered as an event stream.
    Stream,
    /// Idempotent call of the plain service.
    Lookup,
    /// Non-idempotent call of the plain service.
    Confirm,
}

/// A request as a caller sends it, the same in each attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Chat or service call, and the form of the answer.
    pub kind: Kind,
    /// Idempotency key, also sent as the marker that the answer must repeat.
    pub name: String,
    /// Index in [`PAYERS`].
    pub payer_index: usize,
    /// Tokens that the engine is told to generate.
    pub output_tokens: u64,
    /// Whether the request crashes each engine that runs it.
    pub poison: bool,
}

impl Request {
    /// Draws kind, payer and length of a request.
    pub fn draw(rng: &mut StdRng, name: String) -> Self {
        let kind = match rng.random_range(0..100) {
            0..35 => Kind::Whole,
            35..70 => Kind::Stream,
            70..85 => Kind::Lookup,
            _ => Kind::Confirm,
        };
        let output_tokens = rng.random_range(MIN_OUTPUT_TOKENS..=MAX_OUTPUT_TOKENS);
        Self { kind, name, payer_index: draw_payer_index(rng), output_tokens, poison: false }
    }

    /// Returns the payer that the index refers to.
    #[must_use]
    pub fn payer(&self) -> &'static Payer {
        &PAYERS[self.payer_index]
    }

    /// Returns true for requests to an engine, false for service calls.
    #[must_use]
    pub fn is_chat(&self) -> bool {
        matches!(self.kind, Kind::Whole | Kind::Stream)
    }

    /// Returns the path at the upstream itself.
    #[must_use]
    pub fn path(&self) -> String {
        match self.kind {
            Kind::Whole | Kind::Stream => "/v1/chat/completions".into(),
            Kind::Lookup => "/lookup".into(),
            Kind::Confirm => format!("/confirm/{}", self.name),
        }
    }

    /// Returns the path at an instance, which differs for service calls.
    #[must_use]
    pub fn routed_path(&self) -> String {
        if self.is_chat() { self.path() } else { format!("/v1/services/delivery{}", self.path()) }
    }

    fn content(&self) -> String {
        let poison = if self.poison { " poison" } else { "" };
        format!("marker={} tokens={}{poison}", self.name, self.output_tokens)
    }

    /// Returns the body: JSON for a chat, plain text for a service call.
    #[must_use]
    pub fn body(&self) -> String {
        if !self.is_chat() {
            return self.content();
        }
        let body = json!({
            "model": "model", "max_tokens": self.output_tokens, "stream": self.kind == Kind::Stream,
            "messages": [{"role": "user", "content": self.content()}],
        });
        body.to_string()
    }

    /// Returns the bound: the most tokens that the request can cost.
    #[must_use]
    pub fn token_bound(&self) -> u64 {
        /// Tokens of the bound for the role `user` (4 bytes) and the template (8).
        const ROLE_AND_TEMPLATE_TOKENS: u64 = 4 + 8;
        if self.is_chat() {
            self.content().len() as u64 + ROLE_AND_TEMPLATE_TOKENS + self.output_tokens
        } else {
            SERVICE_CALL_TOKENS
        }
    }

    /// Returns true if the text is exactly the complete answer to this chat.
    #[must_use]
    pub fn is_answered_by(&self, text: &str) -> bool {
        let own = format!("marker={}", self.name);
        let words: Vec<&str> = text.split_whitespace().collect();
        let markers = words.iter().filter(|word| word.starts_with("marker=")).count();
        words.first() == Some(&own.as_str())
            && markers == 1
            && words.len() as u64 == self.output_tokens
    }
}

fn draw_payer_index(rng: &mut StdRng) -> usize {
    let mut left = rng.random_range(0..100);
    for (index, payer) in PAYERS.iter().enumerate() {
        if left < payer.request_percent {
            return index;
        }
        left -= payer.request_percent;
    }
    0
}

/// Returns the intent with accounts, budgets and keys for this many requests.
#[must_use]
pub fn intent(request_count: f64) -> Value {
    let small = expected_tokens(request_count, 10) * SMALL_BUDGET_COVERAGE;
    let shared = expected_tokens(request_count, 15) * SHARED_BUDGET_COVERAGE;
    let mut budgets = json!({
        "courier": {"account": "courier", "paid": LARGE_BUDGET_TOKENS},
        "merchant": {"account": "merchant", "paid": LARGE_BUDGET_TOKENS},
        "clinic": {"account": "clinic", "paid": truncate(shared)},
        "clinic-web": {"account": "clinic", "parent": "clinic", "paid": LARGE_BUDGET_TOKENS},
        "clinic-mail": {"account": "clinic", "parent": "clinic", "paid": LARGE_BUDGET_TOKENS},
    });
    budgets[SMALL_BUDGET] = json!({"account": "tour", "paid": truncate(small)});
    let mut keys = serde_json::Map::new();
    for payer in PAYERS {
        keys.insert(digest(payer.key), json!({"account": payer.account, "budget": payer.budget}));
    }
    json!({
        "accounts": {"courier": {}, "merchant": {}, "tour": {}, "clinic": {}},
        "budgets": budgets,
        "keys": keys,
        "services": {"delivery": {"cost": SERVICE_CALL_TOKENS}},
    })
}

/// Returns the tokens that a share of the requests is expected to cost.
fn expected_tokens(request_count: f64, percent: u32) -> f64 {
    request_count * f64::from(percent) / 100.0 * MEAN_REQUEST_TOKENS
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and in range"
)]
fn truncate(tokens: f64) -> u64 {
    tokens as u64
}
