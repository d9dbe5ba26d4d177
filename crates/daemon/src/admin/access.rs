//! Authentication and authorization of operators.

use flow::request;
use ntex::http::StatusCode;
use ntex::web::{HttpRequest, HttpResponse};
use plan::doc::Role;
use plan::hash::digest;
use plan::proposal::Access;

use super::Admin;
use super::answer::problem;

impl Admin {
    /// Returns the operator of the request, or a refusal if its key lacks the role.
    pub(super) fn authorize(&self, http: &HttpRequest, role: Role) -> Result<Access, HttpResponse> {
        let Some(bearer) = request::bearer_key(http.headers()) else {
            return Err(problem(StatusCode::UNAUTHORIZED, "unauthorized", "no operator key"));
        };
        let key_digest = digest(&bearer);
        if self.root_digest.as_ref() == Some(&key_digest) {
            return Ok(Access::unrestricted("root"));
        }
        let doc = self.shared.config.load();
        match doc.operators.get(&key_digest) {
            Some(operator) if operator.roles.contains(&role) => {
                Ok(Access { name: operator.name.clone(), accounts: operator.accounts.clone() })
            }
            Some(_) => {
                let message = format!("this key may not {role:?}").to_lowercase();
                Err(problem(StatusCode::FORBIDDEN, "forbidden", &message))
            }
            None => Err(problem(StatusCode::UNAUTHORIZED, "unauthorized", "unknown operator key")),
        }
    }

    /// Authorizes like [`Admin::authorize`], but refuses operators limited to some accounts.
    pub(super) fn authorize_unlimited(
        &self,
        http: &HttpRequest,
        role: Role,
    ) -> Result<Access, HttpResponse> {
        let access = self.authorize(http, role)?;
        if access.accounts.is_empty() {
            return Ok(access);
        }
        let message = "this key is limited to some accounts";
        Err(problem(StatusCode::FORBIDDEN, "forbidden", message))
    }
}
