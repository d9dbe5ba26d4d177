//! Who an operator is and what the operator may do.

use flow::request;
use ntex::http::StatusCode;
use ntex::web::{HttpRequest, HttpResponse};
use plan::doc::Role;
use plan::hash::digest;
use plan::proposal::Access;

use super::Admin;
use super::answer::problem;

impl Admin {
    /// Returns who the request comes from if it carries a key with the role.
    pub(super) fn operator(&self, http: &HttpRequest, role: Role) -> Result<Access, HttpResponse> {
        let Some(bearer) = request::bearer_key(http.headers()) else {
            return Err(problem(StatusCode::UNAUTHORIZED, "unauthorized", "no operator key"));
        };
        let found = digest(&bearer);
        if self.root_digest.as_ref() == Some(&found) {
            return Ok(Access::whole("root"));
        }
        let doc = self.shared.config.load();
        match doc.operators.get(&found) {
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

    /// Returns who the request comes from if the operator is not limited to some accounts.
    pub(super) fn unlimited(&self, http: &HttpRequest, role: Role) -> Result<Access, HttpResponse> {
        let access = self.operator(http, role)?;
        if access.accounts.is_empty() {
            return Ok(access);
        }
        let message = "this key is limited to some accounts";
        Err(problem(StatusCode::FORBIDDEN, "forbidden", message))
    }
}
