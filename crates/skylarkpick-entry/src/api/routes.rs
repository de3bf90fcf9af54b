//! Route table of the HTTP API: paths, methods and required access.

use crate::failure::{Failure, FailureCode};
use http::Method;

/// Access that a path requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// None: open without a token.
    Anyone,
    /// Any client account's token.
    Caller,
    /// An account with the operator role.
    Operator,
}

/// One path with its methods. A path that ends in `/*` matches every path below it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Route {
    pub(super) path: &'static str,
    pub(super) methods: &'static [&'static str],
    pub(super) access: Access,
}

const ANY_METHOD: &[&str] = &["DELETE", "GET", "PATCH", "POST", "PUT"];

/// Every route of the HTTP API.
pub(super) const ROUTES: &[Route] = &[
    Route { path: "/live", methods: &["GET"], access: Access::Anyone },
    Route { path: "/ready", methods: &["GET"], access: Access::Anyone },
    Route { path: "/v1/completions", methods: &["POST"], access: Access::Caller },
    Route { path: "/v1/completions/resume", methods: &["GET", "POST"], access: Access::Caller },
    Route { path: "/v1/services/*", methods: ANY_METHOD, access: Access::Caller },
    Route { path: "/v1/configuration", methods: &["GET", "PATCH"], access: Access::Operator },
    Route { path: "/v1/configuration/history", methods: &["GET"], access: Access::Operator },
    Route { path: "/v1/configuration/status", methods: &["GET"], access: Access::Operator },
    Route { path: "/state", methods: &["GET"], access: Access::Operator },
];

impl Route {
    fn matches(&self, path: &str) -> bool {
        match self.path.strip_suffix('*') {
            Some(prefix) => path.strip_prefix(prefix).is_some_and(|rest| !rest.is_empty()),
            None => path == self.path,
        }
    }
}

/// Finds the route of a request, or the reason why there is none.
pub(super) fn find(method: &Method, path: &str) -> Result<&'static Route, Failure> {
    let route = ROUTES.iter().find(|route| route.matches(path)).ok_or_else(|| {
        let paths: Vec<&str> = ROUTES.iter().map(|route| route.path).collect();
        let message = format!("no path {path:?}; the paths are {}", paths.join(", "));
        Failure::not_run(FailureCode::NotFound, message)
    })?;
    if route.methods.contains(&method.as_str()) {
        return Ok(route);
    }
    let allowed = route.methods.join(", ");
    let message = format!("{} accepts {allowed}, not {method}", route.path);
    Err(Failure::not_run(FailureCode::MethodNotAllowed, message))
}

/// Returns the methods of a path, for the `Allow` header.
pub(super) fn allowed_methods(path: &str) -> Option<String> {
    let route = ROUTES.iter().find(|route| route.matches(path))?;
    Some(route.methods.join(", "))
}
