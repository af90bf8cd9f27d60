use http::{StatusCode, header, response};

/// What shows the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// Its length, its last chunk or its status.
    Delimited,
    /// Only the end of the connection, which may also be that of the backend server.
    UntilClose,
}

impl Framing {
    /// Reads the head of a response to a request other than `HEAD`.
    pub(super) fn of(head: &response::Parts) -> Framing {
        let has_body = !matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        let delimiters = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let is_delimited = delimiters
            .iter()
            .any(|name| head.headers.contains_key(name));
        match has_body && !is_delimited {
            true => Framing::UntilClose,
            false => Framing::Delimited,
        }
    }
}
