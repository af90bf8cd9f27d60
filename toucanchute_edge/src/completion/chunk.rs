use std::borrow::Cow;

use serde::Deserialize;

/// Data of the event that ends a stream of chunks.
pub(crate) const DONE_MARKER: &[u8] = b"[DONE]";

/// One chunk of a model engine's stream; each chunk holds one token.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk<'a> {
    /// Identifier of the attempt that the chunk belongs to.
    #[serde(borrow)]
    pub(crate) id: Cow<'a, str>,
    /// Number of tokens of the answer before this one.
    pub(crate) offset: u64,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    /// Token counts; present in the last chunk.
    pub(crate) usage: Option<Usage>,
}

/// A model engine's answer that is not streamed.
#[derive(Debug, Deserialize)]
pub(crate) struct WholeAnswer<'a> {
    /// Identifier of the attempt that the answer belongs to.
    #[serde(borrow)]
    pub(crate) id: Cow<'a, str>,
    /// Token counts.
    pub(crate) usage: Usage,
}

/// Token counts as reported by a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Usage {
    /// Number of tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Number of tokens of the answer.
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

/// A string that is borrowed from the input unless it contains escapes.
///
/// This type is needed because serde does not borrow a `Cow` within an `Option`.
#[derive(Debug, Deserialize)]
#[serde(transparent)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'a> Chunk<'a> {
    /// Parses a chunk from the data of an event.
    pub(crate) fn parse(data: &'a [u8]) -> Result<Chunk<'a>, serde_json::Error> {
        serde_json::from_slice(data)
    }

    /// Returns the text of the token; empty if it has none.
    pub(crate) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let content = choice.delta.as_ref().and_then(|d| d.content.as_ref());
        let text = choice.text.as_ref().or(content);
        text.map_or("", |text| &text.0)
    }

    /// Returns whether this is the last chunk, which carries a finish reason.
    pub(crate) fn is_last(&self) -> bool {
        let reason = self.choices.first().and_then(|c| c.finish_reason.as_ref());
        reason.is_some_and(|reason| !reason.0.is_empty())
    }
}
