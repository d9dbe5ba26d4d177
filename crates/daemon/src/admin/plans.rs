//! Handlers that propose and confirm plans.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, State};
use ntex::web::{HttpRequest, HttpResponse};
use plan::doc::Role;
use serde_json::{Value, json};

use super::Admin;
use super::answer::{plan_problem, problem};

pub(super) async fn propose(
    http: HttpRequest,
    body: Bytes,
    admin: State<Rc<Admin>>,
) -> HttpResponse {
    let access = match admin.authorize(&http, Role::Plan) {
        Ok(access) => access,
        Err(answer) => return answer,
    };
    let patch: Value = match serde_json::from_slice(&body) {
        Ok(patch) => patch,
        Err(error) => {
            return problem(StatusCode::BAD_REQUEST, "invalid_json", &error.to_string());
        }
    };
    match admin.planner.propose(patch, &access).await {
        Ok(proposal) => HttpResponse::Ok().json(&proposal),
        Err(error) => plan_problem(&error),
    }
}

pub(super) async fn confirm(
    http: HttpRequest,
    id: Path<String>,
    body: Bytes,
    admin: State<Rc<Admin>>,
) -> HttpResponse {
    // The body is read although it is not used: an answer before its end would close the
    // caller's connection.
    drop(body);
    let access = match admin.authorize(&http, Role::Confirm) {
        Ok(access) => access,
        Err(answer) => return answer,
    };
    match admin.planner.confirm(&id, &access).await {
        Ok(version) => {
            admin.on_confirm.notify_one();
            HttpResponse::Ok().json(&json!({"version": version}))
        }
        Err(error) => plan_problem(&error),
    }
}
