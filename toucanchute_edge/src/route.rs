use http::Method;

use crate::error::RequestError;

/// The route of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route<'a> {
    /// The list of router addresses.
    Addresses,
    /// Health check: the process runs.
    Health,
    /// Readiness check: the router accepts new requests.
    Ready,
    /// A chat completion.
    ChatCompletion,
    /// A text completion.
    TextCompletion,
    /// A call to a plain service.
    Service {
        /// Name of the service.
        name: &'a str,
        /// Path at the service, with a leading slash.
        path: &'a str,
    },
    /// An operator's request.
    Admin,
}

impl<'a> Route<'a> {
    /// Whether a request is checked against the configuration: the caller's token, and the name of a
    /// model or service.
    pub(crate) fn needs_config(self) -> bool {
        matches!(
            self,
            Route::ChatCompletion | Route::TextCompletion | Route::Service { .. }
        )
    }

    /// Finds the route for the method and path of a request.
    ///
    /// # Errors
    ///
    /// Fails if no route has this path or the route does not accept the method.
    pub(crate) fn parse(method: &Method, path: &'a str) -> Result<Route<'a>, RequestError> {
        let (route, allowed) = match path {
            "/v1/addresses" => (Route::Addresses, Method::GET),
            "/healthz" => (Route::Health, Method::GET),
            "/readyz" => (Route::Ready, Method::GET),
            "/v1/chat/completions" => (Route::ChatCompletion, Method::POST),
            "/v1/completions" => (Route::TextCompletion, Method::POST),
            _ if path.starts_with("/v1/admin/") => return Ok(Route::Admin),
            _ => return parse_service(path),
        };
        if *method != allowed {
            return Err(RequestError::MethodNotAllowed { allowed });
        }
        Ok(route)
    }
}

fn parse_service(path: &str) -> Result<Route<'_>, RequestError> {
    let rest = path
        .strip_prefix("/v1/services/")
        .ok_or(RequestError::UnknownPath)?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if name.is_empty() {
        return Err(RequestError::UnknownPath);
    }
    let path = if path.is_empty() { "/" } else { path };
    Ok(Route::Service { name, path })
}
