//! Error answers of the admin API.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde_json::json;

/// Returns an answer with an error code and a message.
#[must_use]
pub fn problem(status: StatusCode, code: &str, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(&json!({"error": {"code": code, "message": message}}))
}

fn problem_with_reasons(
    status: StatusCode,
    code: &str,
    message: &str,
    reasons: &[String],
) -> HttpResponse {
    let error = json!({"code": code, "message": message, "reasons": reasons});
    HttpResponse::build(status).json(&json!({"error": error}))
}

/// Returns the answer for an error of the planner or of the table.
#[must_use]
pub fn plan_problem(error: &plan::Error) -> HttpResponse {
    let message = error.to_string();
    match error {
        plan::Error::Invalid(reasons) => problem_with_reasons(
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid_intent",
            &message,
            reasons,
        ),
        plan::Error::Forbidden(reasons) => {
            problem_with_reasons(StatusCode::FORBIDDEN, "forbidden", &message, reasons)
        }
        plan::Error::NotFound(_) => problem(StatusCode::NOT_FOUND, "unknown_plan", &message),
        plan::Error::Expired => problem(StatusCode::GONE, "expired_plan", &message),
        plan::Error::Stale(fresh) => {
            let body = json!({"error": {"code": "stale_plan", "message": message}, "plan": fresh});
            HttpResponse::build(StatusCode::CONFLICT).json(&body)
        }
        plan::Error::Store(_) | plan::Error::Contended => {
            problem(StatusCode::SERVICE_UNAVAILABLE, "unavailable", &message)
        }
    }
}
