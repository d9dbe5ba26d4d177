//! Orders to an engine: load or unload a model or adapter, change the role, leave.

use std::sync::{Mutex, PoisonError};

use ntex::http::{Method, StatusCode};
use ntex::web::types::{Json, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use super::{Engine, header};
use crate::client;

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a model or adapter.
    Load(String),
    /// Unload a model or adapter.
    Unload(String),
    /// Change the role.
    Role(String),
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the one who orders.
    pub fence: u64,
    /// Holder who orders.
    #[serde(default)]
    pub by: String,
    /// What to do.
    pub action: Action,
}

/// What orders have led to.
#[derive(Debug, Default)]
pub struct Orders {
    state: Mutex<OrderState>,
}

/// State that orders change.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrderState {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Role.
    pub role: String,
    /// Loaded models and adapters.
    pub models: Vec<String>,
    /// Whether the engine is about to leave.
    pub leaving: bool,
    /// Orders that were applied.
    pub applied: Vec<Order>,
}

impl Orders {
    /// Opens the state with the models loaded at the start.
    #[must_use]
    pub fn open(models: Vec<String>) -> Self {
        let state = OrderState { role: "both".into(), models, ..OrderState::default() };
        Self { state: Mutex::new(state) }
    }

    /// Returns the state.
    #[must_use]
    pub fn get(&self) -> OrderState {
        self.with_state(|state| state.clone())
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut OrderState) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns false if the order carries an old fencing number.
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

/// Tells the engine that it is about to leave.
pub async fn mark_leaving(engine: State<Engine>) -> HttpResponse {
    engine.orders.with_state(|state| state.leaving = true);
    engine.record_report();
    HttpResponse::Ok().finish()
}

/// Lists the state that orders led to.
pub async fn list_state(engine: State<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.orders.get())
}

/// Takes an order.
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
