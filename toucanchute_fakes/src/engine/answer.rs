//! Text of answers, which is determined by the prompt.

use serde::Serialize;

use super::request::Api;

/// Number of bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the text with which each token of the answer to `prompt` begins: the 64-bit FNV-1a hash
/// of the prompt as 16 hexadecimal digits.
///
/// The prompt of a chat consists of the contents of its messages, joined by line feeds.
#[must_use]
pub fn answer_tag(prompt: &str) -> String {
    format!("{:016x}", hash(prompt))
}

/// Returns token `i` of the answer to `prompt`, counted from zero.
///
/// ```
/// use toucanchute_fakes::answer_token;
///
/// assert_eq!(answer_token("a", 3), "af63dc4c8601ec8c.3 ");
/// ```
#[must_use]
pub fn answer_token(prompt: &str, i: u64) -> String {
    format!("{}.{i} ", answer_tag(prompt))
}

/// Returns the number of tokens of `prompt`: its length in bytes divided by 4, rounded up, and at
/// least one.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Returns the length of the answer to `prompt` if it is not truncated, in tokens.
pub(super) fn natural_tokens(prompt: &str, mean: u64) -> u64 {
    let mean = mean.max(1);
    mean.div_ceil(2) + hash(prompt) % mean
}

fn hash(prompt: &str) -> u64 {
    let add_byte = |hash: u64, &b: &u8| (hash ^ u64::from(b)).wrapping_mul(FNV_PRIME);
    prompt.as_bytes().iter().fold(FNV_OFFSET, add_byte)
}

/// Reason for the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FinishReason {
    Stop,
    Length,
}

/// Numbers of tokens of a complete answer and its prompt.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u64,
    pub(super) completion_tokens: u64,
    pub(super) total_tokens: u64,
}

/// A complete answer, or a chunk of a streamed answer.
#[derive(Debug, Serialize)]
pub(super) struct CompletionBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    /// Number of tokens before the text.
    offset: u64,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    text: Text<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Text<'a> {
    #[serde(rename = "text")]
    Plain(&'a str),
    Delta(Content<'a>),
    Message(Content<'a>),
}

#[derive(Debug, Serialize)]
struct Content<'a> {
    role: &'static str,
    content: &'a str,
}

impl<'a> CompletionBody<'a> {
    /// Returns a complete answer or a chunk, without its end.
    pub(super) fn new(
        api: Api,
        streamed: bool,
        id: &'a str,
        model: &'a str,
        offset: u64,
        text: &'a str,
    ) -> CompletionBody<'a> {
        let content = Content {
            role: "assistant",
            content: text,
        };
        let (object, text) = match (api, streamed) {
            (Api::Plain, _) => ("text_completion", Text::Plain(text)),
            (Api::Chat, true) => ("chat.completion.chunk", Text::Delta(content)),
            (Api::Chat, false) => ("chat.completion", Text::Message(content)),
        };
        CompletionBody {
            id,
            object,
            created: toucanchute_log::wall_clock_ms() / 1000,
            model,
            offset,
            choices: [Choice {
                index: 0,
                text,
                finish_reason: None,
            }],
            usage: None,
        }
    }

    /// Sets the end of the answer.
    pub(super) fn finish(mut self, reason: FinishReason, usage: Usage) -> CompletionBody<'a> {
        self.choices[0].finish_reason = Some(reason);
        self.usage = Some(usage);
        self
    }
}
