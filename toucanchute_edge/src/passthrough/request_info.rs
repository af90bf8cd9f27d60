use bytes::Bytes;
use toucanchute_proto::Millis;

/// What a caller's head says, apart from method, host and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's name for this attempt, unique over all attempts.
    pub attempt: Option<String>,
    /// The caller's token.
    pub credential: Option<Bytes>,
    /// How long the caller waits for the whole answer.
    pub timeout: Option<Millis>,
    /// Worst case of a request to a model.
    pub tokens: Option<TokenBound>,
    /// Parts of the prompt in order; the last one belongs to the request or its session alone.
    pub prompt: Vec<PromptPart>,
    /// Identifier of the last event that the caller has of this stream.
    pub resume_after: Option<u64>,
}

/// Worst case of a request to a model, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBound {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens that the answer may have.
    pub output: u64,
}

impl TokenBound {
    /// Returns the tokens of prompt and longest answer.
    #[must_use]
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// A part of a prompt that other prompts may begin with too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Equal for equal parts.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}
