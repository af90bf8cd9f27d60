use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

/// Complete answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Answer {
    /// HTTP status; 400 or above only if a plain service itself rejected the call.
    pub status: u16,
    /// Router that sent the answer.
    pub address: SocketAddr,
    /// Key of the request in the form that event logs show.
    pub logged_key: String,
    /// Number of tries, from 1.
    pub tries: u32,
    /// Text of a completion, or body of a plain service's answer.
    pub text: String,
    /// Tokens of the prompt as the engine counted them.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Latencies of the answer.
    pub timing: Timing,
}

/// Latencies of an answer, measured from the start of the first try.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time until the first token of the last try; until the end of the body if it is not streamed.
    pub first_token: Duration,
    /// Time until the end of the answer.
    pub total: Duration,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
}

/// Token counts reported by an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

/// A whole completion, or one chunk of a streamed completion.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
    pub(crate) usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    message: Option<Content>,
    delta: Option<Content>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Content {
    #[serde(default)]
    content: String,
}

impl Completion {
    /// Returns the text of the completion or chunk; empty if it has none.
    pub(crate) fn text(&self) -> &str {
        let choice = self.choices.first();
        let content = choice.and_then(|c| c.message.as_ref().or(c.delta.as_ref()));
        content.map_or("", |c| c.content.as_str())
    }

    /// Returns whether a choice has a finish reason, which marks the end of the answer.
    pub(crate) fn is_finished(&self) -> bool {
        let mut choices = self.choices.iter();
        choices.any(|c| c.finish_reason.is_some())
    }
}
