use http::{Response, StatusCode, response};

use super::{ResponseBody, headers::strip_connection_headers, is_promise};

/// Head of a backend server's response that may be relayed to a caller.
///
/// Invariant: its status does not promise that the request did not run. Such a promise is the
/// router's to make.
#[derive(Debug)]
pub(super) struct RelayableHead(response::Parts);

impl RelayableHead {
    /// Checks the status of a response.
    ///
    /// # Errors
    ///
    /// Returns the head if its status is a promise.
    pub(super) fn new(head: response::Parts) -> Result<RelayableHead, Box<response::Parts>> {
        match is_promise(head.status) {
            true => Err(Box::new(head)),
            false => Ok(RelayableHead(head)),
        }
    }

    pub(super) fn status(&self) -> StatusCode {
        self.0.status
    }

    /// Returns a response to the caller with the backend server's status and headers.
    pub(super) fn to_response(&self, body: ResponseBody) -> Response<ResponseBody> {
        let mut res = Response::new(body);
        *res.status_mut() = self.0.status;
        let mut headers = self.0.headers.clone();
        strip_connection_headers(&mut headers);
        *res.headers_mut() = headers;
        res
    }
}
