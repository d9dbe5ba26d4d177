//! Commands for operators, which call the admin API of an instance.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use ntex::client::Client;
use ntex::http::Method;
use rig::client::{self, Error};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::args::Operator;
use crate::table;

/// Exit code for unusable input: a file, an intent or the id of a plan.
const EXIT_INPUT: u8 = 2;
/// Exit code for a stale plan; a fresh plan is printed.
const EXIT_STALE: u8 = 3;
/// Interval between two reports of the instances with `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the intent in `file`, a JSON merge patch, and prints the plan for it.
pub async fn plan(operator: &Operator, file: &Path) -> ExitCode {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return input_error(&format!("cannot read {}: {error}", file.display())),
    };
    let intent: Value = match serde_json::from_str(&text) {
        Ok(intent) => intent,
        Err(error) => return input_error(&format!("{} is not JSON: {error}", file.display())),
    };
    call_and_print(operator, Method::POST, "plans", &intent, table::plan).await
}

/// Confirms the plan with the id `plan` and prints the new version.
pub async fn confirm(operator: &Operator, plan: &str) -> ExitCode {
    let path = format!("plans/{plan}/confirm");
    call_and_print(operator, Method::POST, &path, &Value::Null, |answer| {
        format!("version {} is confirmed\n", answer["version"])
    })
    .await
}

/// Prints the state of the instances; with `watch`, repeats it every second until interrupted.
pub async fn status(operator: &Operator, watch: bool) -> ExitCode {
    loop {
        let code =
            call_and_print(operator, Method::GET, "status", &Value::Null, table::status).await;
        if !watch {
            return code;
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Prints all budgets that the operator may read.
pub async fn accounts(operator: &Operator) -> ExitCode {
    print_pages(operator, "accounts", "budgets", table::accounts).await
}

/// Prints the audit log: who planned and confirmed which changes.
pub async fn audit(operator: &Operator) -> ExitCode {
    print_pages(operator, "audit", "entries", table::audit).await
}

fn input_error(message: &str) -> ExitCode {
    eprintln!("lacewing: {message}");
    ExitCode::from(EXIT_INPUT)
}

async fn call_and_print(
    operator: &Operator,
    method: Method,
    path: &str,
    body: &Value,
    render: impl FnOnce(&Value) -> String,
) -> ExitCode {
    let http = client::open(1).await;
    match send(&http, operator, method, path, body).await {
        Ok(answer) if operator.json => println!("{answer}"),
        Ok(answer) => print!("{}", render(&answer)),
        Err(error) => return print_error(operator, &error),
    }
    ExitCode::SUCCESS
}

async fn send(
    http: &Client,
    operator: &Operator,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Value, Error> {
    let url = format!("http://{}/admin/v1/{path}", operator.address);
    client::json(http, method, url, Some(&operator.key), body).await
}

/// Reads all pages of a list and prints their rows as one list.
async fn print_pages(
    operator: &Operator,
    path: &str,
    list: &str,
    render: impl FnOnce(&[Value]) -> String,
) -> ExitCode {
    let http = client::open(1).await;
    let mut rows = Vec::new();
    let mut next = Value::Null;
    loop {
        let after = if next.is_null() { String::new() } else { table::text(&next) };
        let page = format!("{path}?after={after}");
        let mut answer = match send(&http, operator, Method::GET, &page, &Value::Null).await {
            Ok(answer) => answer,
            Err(error) => return print_error(operator, &error),
        };
        if let Value::Array(part) = answer[list].take() {
            rows.extend(part);
        }
        next = answer["next"].take();
        if next.is_null() {
            break;
        }
    }
    if operator.json {
        println!("{}", json!({ list: rows }));
    } else {
        print!("{}", render(&rows));
    }
    ExitCode::SUCCESS
}

/// Prints an error with all its reasons and returns the exit code for it.
fn print_error(operator: &Operator, error: &Error) -> ExitCode {
    let Error::Status(status, body) = error else {
        eprintln!("lacewing: cannot call {}: {error}", operator.address);
        return ExitCode::FAILURE;
    };
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    if operator.json && !answer.is_null() {
        println!("{answer}");
    }
    eprint!("{}", table::problem(*status, &answer));
    match status {
        400 | 404 | 410 | 422 => ExitCode::from(EXIT_INPUT),
        409 => ExitCode::from(EXIT_STALE),
        _ => ExitCode::FAILURE,
    }
}
