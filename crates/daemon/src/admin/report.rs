//! Handlers that report the configuration, the instances, the budgets and the audit log.

use std::rc::Rc;

use base::clock::millis;
use base::prelude::*;
use ledger::row;
use ntex::http::StatusCode;
use ntex::web::types::{Query, State};
use ntex::web::{HttpRequest, HttpResponse};
use plan::doc::Role;
use serde::Deserialize;
use serde_json::{Value, json};
use store::Table;
use wire::message::{self, Member};

use super::Admin;
use super::answer::{plan_problem, problem};

/// Rows of a page if the query has no `limit`.
const DEFAULT_PAGE_ROWS: usize = 500;
/// Most rows of a page, whatever `limit` the query has.
const MAX_PAGE_ROWS: usize = 5_000;

/// Query of a list, with the start and the size of the page.
///
/// `after` is `next` of the previous page, a budget or a version; empty starts at the first row.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Page {
    after: String,
    limit: Option<usize>,
}

impl Page {
    fn row_limit(&self) -> usize {
        self.limit.unwrap_or(DEFAULT_PAGE_ROWS).clamp(1, MAX_PAGE_ROWS)
    }
}

pub(super) async fn config(http: HttpRequest, admin: State<Rc<Admin>>) -> HttpResponse {
    if let Err(answer) = admin.authorize_unlimited(&http, Role::Read) {
        return answer;
    }
    let mut doc = plan::Doc::clone(&admin.shared.config.load());
    for upstream in doc.upstreams.values_mut() {
        upstream.token = upstream.token.as_ref().map(|_| "redacted".into());
    }
    HttpResponse::Ok().json(&doc)
}

pub(super) async fn status(http: HttpRequest, admin: State<Rc<Admin>>) -> HttpResponse {
    if let Err(answer) = admin.authorize(&http, Role::Read) {
        return answer;
    }
    let shared = &admin.shared;
    let own = shared.membership.own();
    let members = shared.membership.members();
    HttpResponse::Ok().json(&json!({
        "instance": own.instance,
        "address": own.address,
        "domain": own.domain,
        "version": shared.config.load().version,
        "active": shared.in_flight.count(),
        "uptime_ms": millis(shared.clock.now()),
        "fenced": shared.ledger.gate().is_fenced(),
        "instances": &*shared.membership.listed(),
        "members": members.iter().map(member_json).collect::<Vec<Value>>(),
    }))
}

fn member_json(member: &Member) -> Value {
    let state = match member.state {
        message::State::Alive if member.incarnation == 0 => "listed",
        message::State::Alive => "alive",
        message::State::Suspect => "suspect",
        message::State::Leaving => "leaving",
        message::State::Dead => "dead",
    };
    json!({
        "instance": member.instance,
        "address": member.address,
        "domain": member.domain,
        "incarnation": member.incarnation,
        "state": state,
        "version": member.version,
        "since_ms": member.since,
        "load": member.load,
    })
}

pub(super) async fn accounts(
    http: HttpRequest,
    page: Query<Page>,
    admin: State<Rc<Admin>>,
) -> HttpResponse {
    let access = match admin.authorize(&http, Role::Read) {
        Ok(access) => access,
        Err(answer) => return answer,
    };
    let after = if page.after.is_empty() { String::new() } else { row::budget_key(&page.after) };
    let rows = match admin.platform.scan(row::BUDGETS.into(), after, page.row_limit()).await {
        Ok(rows) => rows,
        Err(error) => return plan_problem(&error.into()),
    };
    let name = |key: &str| key.strip_prefix(row::BUDGETS).unwrap_or_default().to_owned();
    let is_visible = |state: &Value| {
        let account = state["account"].as_str().unwrap_or_default();
        access.accounts.is_empty() || access.accounts.iter().any(|visible| &**visible == account)
    };
    let budgets: Vec<Value> = rows
        .iter()
        .filter(|found| is_visible(&found.value))
        .map(|found| json!({"budget": name(&found.key), "state": found.value}))
        .collect();
    let next = rows.last().filter(|_| rows.len() == page.row_limit()).map(|last| name(&last.key));
    HttpResponse::Ok().json(&json!({"budgets": budgets, "next": next}))
}

pub(super) async fn audit(
    http: HttpRequest,
    page: Query<Page>,
    admin: State<Rc<Admin>>,
) -> HttpResponse {
    if let Err(answer) = admin.authorize_unlimited(&http, Role::Read) {
        return answer;
    }
    let from = if page.after.is_empty() { "0" } else { &page.after };
    let Ok(after) = from.parse::<Version>() else {
        let message = "'after' must be a version";
        return problem(StatusCode::BAD_REQUEST, "invalid_request", message);
    };
    match admin.planner.audit(after, page.row_limit()).await {
        Ok(entries) => {
            let full = entries.len() == page.row_limit();
            let next = entries.last().filter(|_| full).map(|entry| entry.version);
            HttpResponse::Ok().json(&json!({"entries": entries, "next": next}))
        }
        Err(error) => plan_problem(&error),
    }
}
