use bytes::Bytes;
use toucanchute_proto::Millis;

/// Information from the head of a caller's request, apart from method, host and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// Identifier that the caller gave this attempt, unique over all attempts.
    pub attempt: Option<String>,
    /// The caller's access token.
    pub credential: Option<Bytes>,
    /// Time that the caller waits for the whole response.
    pub timeout: Option<Millis>,
    /// Most tokens that a request to a model may use.
    pub tokens: Option<TokenBound>,
    /// The caller's estimate of the tokens that the response will have. Often far off.
    pub output_estimate: Option<u64>,
    /// Parts of the prompt in order. The last one is specific to the request or its session; other
    /// requests may share the parts before it.
    pub prompt: Vec<PromptPart>,
    /// Identifier of the last event of this stream that the caller has received.
    pub resume_after: Option<u64>,
    /// The caller's attempt that brought the first event of the stream that it takes up again.
    pub resumes: Option<Bytes>,
}

/// Number of times that an estimate of the output is exceeded by few requests.
const ESTIMATE_FACTOR: u64 = 2;

/// Divisor of the longest response: what is reserved for one whose length cannot be estimated.
const UNKNOWN_OUTPUT_DIVISOR: u64 = 4;

impl RequestInfo {
    /// Returns the output tokens to reserve before the response begins, by the caller's estimate or, if
    /// there is none, by the length that responses of the route have.
    pub(super) fn first_output(&self, bound: TokenBound, seen: Option<u64>) -> u64 {
        match self.output_estimate.or(seen) {
            Some(likely) => likely.saturating_mul(ESTIMATE_FACTOR),
            None => bound.output / UNKNOWN_OUTPUT_DIVISOR,
        }
    }

    /// Returns the tokens that the response probably has at most, if the request names a bound.
    pub(super) fn likely_output(&self) -> Option<u64> {
        let bound = self.tokens?.output;
        let likely = self.output_estimate.unwrap_or(bound);
        Some(likely.saturating_mul(ESTIMATE_FACTOR).min(bound))
    }
}

/// Most tokens that a request to a model may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBound {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens that the response may have.
    pub output: u64,
}

impl TokenBound {
    /// Returns the tokens of the prompt and the longest response together.
    #[must_use]
    pub fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// A part of a prompt. Prompts that begin with the same parts share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content: equal parts have equal identifiers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}
