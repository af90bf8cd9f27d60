use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Answer {
    /// HTTP status; below 400 unless a plain service refused the call by itself.
    pub status: u16,
    /// Router that gave it.
    pub address: SocketAddr,
    /// Key of the request as it stands in event logs.
    pub logged_key: String,
    /// Number of tries, from 1.
    pub tries: u32,
    /// Text of a completion, or body of a plain service's answer.
    pub text: String,
    /// Tokens of the prompt as the engine counted them.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// When its parts came.
    pub timing: Timing,
}

/// When the parts of an answer came, from the first try on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Until the first token or byte of the last try.
    pub first_token: Duration,
    /// Until the end.
    pub total: Duration,
    /// Between one token and the next.
    pub gaps: Vec<Duration>,
}

/// Tokens counted by an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

/// A whole completion or one chunk of a streamed one.
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
    /// Returns the text of a whole answer or of a chunk.
    pub(crate) fn text(&self) -> &str {
        let choice = self.choices.first();
        let content = choice.and_then(|c| c.message.as_ref().or(c.delta.as_ref()));
        content.map_or("", |c| c.content.as_str())
    }

    /// Returns whether the answer ends here.
    pub(crate) fn is_finished(&self) -> bool {
        let mut choices = self.choices.iter();
        choices.any(|c| c.finish_reason.is_some())
    }
}
