//! Filter: lookup of the called model or service in the configuration.

use base::prelude::*;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};
use ntex::http::StatusCode;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;

use crate::bound::token_bound;
use crate::chat::Chat;
use crate::exchange::{Call, Service};
use crate::refusal::BUSY_RETRY_AFTER;
use crate::{Exchange, Filter, Refusal};

/// Sets the candidate upstreams and the cost bound of a request.
#[derive(Debug, Clone, Copy)]
pub struct Resolve;

impl Filter for Resolve {
    fn apply<'a>(&'a self, exchange: &'a mut Exchange) -> LocalBoxFuture<'a, Result<(), Refusal>> {
        ready(resolve(exchange)).boxed_local()
    }
}

fn resolve(exchange: &mut Exchange) -> Result<(), Refusal> {
    let config = Arc::clone(&exchange.config);
    if config.version == 0 {
        return Err(not_configured());
    }
    match &mut exchange.call {
        Call::Chat(chat) => {
            let model =
                config.models.get(chat.model.as_str()).ok_or_else(|| model_not_found(chat))?;
            chat.set_default_max_tokens(model.max_tokens);
            exchange.bound = token_bound(chat, model);
            exchange.candidates.clone_from(&model.upstreams);
            exchange.body = Bytes::from(chat.render());
            // Callers may omit the content type, but engines require it.
            exchange.content_type = Some(HeaderValue::from_static("application/json"));
        }
        Call::Service(call) => {
            let service = config.services.get(&call.id).ok_or_else(|| service_not_found(call))?;
            exchange.idempotent &=
                service.is_idempotent(exchange.method.as_str(), path_without_query(call));
            exchange.bound = service.cost;
            exchange.candidates.clone_from(&service.upstreams);
        }
    }
    Ok(())
}

fn path_without_query(call: &Service) -> &str {
    call.path.split_once('?').map_or(&call.path, |(path, _)| path)
}

/// Refuses a request at an instance that has not read its first configuration yet.
fn not_configured() -> Refusal {
    let message = "this instance has no configuration yet";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_configured", message)
        .with_retry_after(BUSY_RETRY_AFTER)
}

fn model_not_found(chat: &Chat) -> Refusal {
    let message = format!("the model '{}' does not exist", chat.model);
    Refusal::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
}

fn service_not_found(call: &Service) -> Refusal {
    let message = format!("the service '{}' does not exist", call.id);
    Refusal::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
}
