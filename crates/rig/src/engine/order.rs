//! Orders to an engine: load or unload a model, or change the role.
//!
//! Also handles the announcement of a planned stop.

use std::sync::{Mutex, PoisonError};

use ntex::http::{Method, StatusCode};
use ntex::web::types::{Json, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use super::{Engine, header};
use crate::client;

/// Change that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load the model or adapter of this name.
    Load(String),
    /// Unload the model or adapter of this name.
    Unload(String),
    /// Change the role, such as `prefill` or `both`.
    Role(String),
}

/// An order as it arrives in the request body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender; a newer holder has a higher one.
    pub fence: u64,
    /// Name of the sender; empty if it sends none.
    #[serde(default)]
    pub by: String,
    /// Change that the engine makes.
    pub action: Action,
}

/// Shared state that orders change.
#[derive(Debug, Default)]
pub struct Orders {
    state: Mutex<OrderState>,
}

/// Role, models and orders of an engine, as listed to readers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrderState {
    /// Highest fencing number of all received orders.
    pub fence: u64,
    /// Current role; `both` at the start.
    pub role: String,
    /// Loaded models and adapters; empty if the engine serves any model.
    pub models: Vec<String>,
    /// Whether a planned stop of the engine is announced.
    pub leaving: bool,
    /// Applied orders, oldest first.
    pub applied: Vec<Order>,
}

impl Orders {
    /// Opens the state with the models that are loaded at the start.
    #[must_use]
    pub fn open(models: Vec<String>) -> Self {
        let state = OrderState { role: "both".into(), models, ..OrderState::default() };
        Self { state: Mutex::new(state) }
    }

    /// Returns a copy of the state.
    #[must_use]
    pub fn get(&self) -> OrderState {
        self.with_state(|state| state.clone())
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut OrderState) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stores a higher fencing number; returns false if `fence` is lower than the stored one.
    fn advance_fence(&self, fence: u64) -> bool {
        self.with_state(|state| {
            let is_current = fence >= state.fence;
            state.fence = state.fence.max(fence);
            is_current
        })
    }

    fn apply(&self, order: Order) {
        self.with_state(|state| {
            match &order.action {
                Action::Load(model) if !state.models.contains(model) => {
                    state.models.push(model.clone());
                }
                Action::Load(_) => {}
                Action::Unload(model) => state.models.retain(|loaded| loaded != model),
                Action::Role(role) => state.role.clone_from(role),
            }
            state.applied.push(order);
        });
    }
}

/// Announces a planned stop, which the load reports then show.
pub async fn mark_leaving(engine: State<Engine>) -> HttpResponse {
    engine.orders.with_state(|state| state.leaving = true);
    engine.record_report();
    HttpResponse::Ok().finish()
}

/// Answers with the state as JSON.
pub async fn list_state(engine: State<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.orders.get())
}

/// Checks and applies an order, and answers with the new state.
///
/// Answers 401 without the token, and 429 if the fetch from the weight store fails. Answers 409 to
/// an old fencing number if the setting `checks_fence` is true.
pub async fn handle_order(
    http: HttpRequest,
    body: Json<Order>,
    engine: State<Engine>,
) -> HttpResponse {
    if !is_authorized(&http, &engine) {
        return refusal(StatusCode::UNAUTHORIZED, "the token is missing or wrong");
    }
    let order = body.into_inner();
    if !engine.orders.advance_fence(order.fence) && engine.settings.checks_fence {
        return refusal(StatusCode::CONFLICT, "the fencing number is old");
    }
    if let Action::Load(model) = &order.action
        && let Err(answer) = load_model(&engine, model).await
    {
        return answer;
    }
    engine.orders.apply(order);
    engine.record_report();
    HttpResponse::Ok().json(&engine.orders.get())
}

fn is_authorized(http: &HttpRequest, engine: &Engine) -> bool {
    let expected = engine.settings.order_token.as_ref();
    expected.is_none_or(|token| header(http, "authorization") == format!("Bearer {token}"))
}

fn refusal(status: StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(&json!({"error": {"message": message}}))
}

async fn load_model(engine: &Engine, model: &str) -> Result<(), HttpResponse> {
    if let Some(store) = engine.settings.weight_store {
        let http = client::open(1).await;
        let url = format!("http://{store}/weights/{model}");
        let fetched = client::json::<_, ()>(&http, Method::GET, url, None, &()).await;
        if fetched.is_err() {
            return Err(refusal(StatusCode::TOO_MANY_REQUESTS, "the weight store refused"));
        }
    }
    sleep(engine.settings.load_delay).await;
    Ok(())
}
