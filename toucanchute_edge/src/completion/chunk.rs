use std::borrow::Cow;

use serde::Deserialize;

/// Mark after the last chunk of a stream.
pub(crate) const DONE_MARKER: &[u8] = b"[DONE]";

/// One chunk of a model engine's stream: one token.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk<'a> {
    /// The attempt that the chunk belongs to.
    #[serde(borrow)]
    pub(crate) id: Cow<'a, str>,
    /// Number of tokens before this one.
    pub(crate) offset: u64,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    /// Count of tokens, in the last chunk.
    pub(crate) usage: Option<Usage>,
}

/// A whole answer of a model engine.
#[derive(Debug, Deserialize)]
pub(crate) struct WholeAnswer<'a> {
    /// The attempt that the answer belongs to.
    #[serde(borrow)]
    pub(crate) id: Cow<'a, str>,
    /// Count of tokens.
    pub(crate) usage: Usage,
}

/// Tokens that a model engine counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Usage {
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Tokens of the answer.
    pub(crate) completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    text: Option<Text<'a>>,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    finish_reason: Option<Text<'a>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Text<'a>>,
}

/// A string that is borrowed where it holds no escapes; serde borrows no `Cow` within an `Option`.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'a> Chunk<'a> {
    /// Parses the data of an event.
    pub(crate) fn parse(data: &'a [u8]) -> Result<Chunk<'a>, serde_json::Error> {
        serde_json::from_slice(data)
    }

    /// Returns the token's text, empty if it has none.
    pub(crate) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let content = choice.delta.as_ref().and_then(|d| d.content.as_ref());
        let text = choice.text.as_ref().or(content);
        text.map_or("", |text| &text.0)
    }

    /// Returns whether this is the last chunk.
    pub(crate) fn is_last(&self) -> bool {
        let reason = self.choices.first().and_then(|c| c.finish_reason.as_ref());
        reason.is_some_and(|reason| !reason.0.is_empty())
    }
}
