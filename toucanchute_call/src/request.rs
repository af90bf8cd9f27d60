use bytes::Bytes;
use serde::Serialize;

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Request {
    /// Work to do.
    pub work: Work,
    /// Time within which the answer has to begin, in milliseconds, if the caller has a limit.
    pub deadline_ms: Option<u64>,
    /// Whether the key was never sent before, so that a refusal of the first try can have the
    /// outcome `not-run`.
    pub fresh_key: bool,
}

/// Work that a request consists of.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Work {
    /// Chat completion by a model.
    Completion {
        /// Name of the model.
        model: String,
        /// Content of the only message.
        prompt: String,
        /// Maximum length of the answer, in tokens.
        max_tokens: u64,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// Call of a plain service.
    Service {
        /// Name of the service.
        service: String,
        /// Path at the service, with a leading slash.
        path: String,
        /// Body, sent as JSON.
        body: Bytes,
    },
}

#[derive(Serialize)]
struct ChatBody<'a> {
    model: &'a str,
    messages: [ChatMessage<'a>; 1],
    max_tokens: u64,
    stream: bool,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

impl Request {
    /// Creates a request for a chat completion that is not streamed.
    pub fn completion(model: &str, prompt: &str, max_tokens: u64) -> Request {
        Request::new(Work::Completion {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            stream: false,
        })
    }

    /// Creates a request that calls a plain service.
    pub fn service(service: &str, path: &str, body: impl Into<Bytes>) -> Request {
        Request::new(Work::Service {
            service: service.to_owned(),
            path: path.to_owned(),
            body: body.into(),
        })
    }

    /// Requests a streamed answer; no effect on plain services, whose answers are never streamed.
    pub fn streamed(mut self) -> Request {
        if let Work::Completion { stream, .. } = &mut self.work {
            *stream = true;
        }
        self
    }

    /// Sets the time within which the answer has to begin, in milliseconds.
    pub fn deadline(mut self, ms: u64) -> Request {
        self.deadline_ms = Some(ms);
        self
    }

    /// Declares that the key was never sent before this call of [`Caller::send`](crate::Caller::send).
    pub fn fresh_key(mut self) -> Request {
        self.fresh_key = true;
        self
    }

    fn new(work: Work) -> Request {
        Request {
            work,
            deadline_ms: None,
            fresh_key: false,
        }
    }

    /// Returns the path of the request's URL at the router.
    pub(crate) fn path(&self) -> String {
        match &self.work {
            Work::Completion { .. } => "/v1/chat/completions".to_owned(),
            Work::Service { service, path, .. } => format!("/v1/services/{service}{path}"),
        }
    }

    /// Returns the request body, which is the same for each try.
    pub(crate) fn body(&self) -> Bytes {
        match &self.work {
            Work::Service { body, .. } => body.clone(),
            Work::Completion {
                model,
                prompt,
                max_tokens,
                stream,
            } => {
                let body = ChatBody {
                    model,
                    messages: [ChatMessage {
                        role: "user",
                        content: prompt,
                    }],
                    max_tokens: *max_tokens,
                    stream: *stream,
                };
                serde_json::to_vec(&body).unwrap_or_default().into()
            }
        }
    }
}
