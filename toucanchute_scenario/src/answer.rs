use std::fmt;

use serde::Deserialize;
use toucanchute_fakes::answer_token;

/// Outcome of a request as its caller observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The caller received an answer up to its end.
    Answered(Answer),
    /// The caller received an error response.
    Refused(Problem),
    /// The connection failed, or the response ended early or could not be parsed.
    Interrupted(String),
}

/// An answer as its caller receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) verdict: Verdict,
    /// Number of tokens that the ledger should bill for the answer.
    pub(crate) expected_bill: u64,
}

/// Result of comparing an answer with the expected answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The complete answer to the request.
    Correct,
    /// The answer to another request.
    Foreign,
    /// Text of the answer to the request that is incomplete, repeated or out of order.
    Incomplete,
    /// The call ran more than once under its idempotency key.
    Rerun,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct Problem {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) outcome: String,
    pub(crate) retryable: bool,
}

impl Outcome {
    /// Returns whether the caller received the complete answer to its request.
    pub(crate) fn is_correct(&self) -> bool {
        matches!(
            self,
            Outcome::Answered(Answer {
                verdict: Verdict::Correct,
                ..
            })
        )
    }
}

/// Compares the text of an engine's answer with the text that the prompt determines.
pub(crate) fn check_answer(prompt: &str, text: &str, tokens: u64) -> Verdict {
    let expected = (0..tokens).map(|i| answer_token(prompt, i));
    if text == expected.collect::<String>() && tokens > 0 {
        return Verdict::Correct;
    }
    let first_token = answer_token(prompt, 0);
    let tag = first_token.split('.').next().unwrap_or_default();
    match text.split_whitespace().all(|token| token.starts_with(tag)) {
        true => Verdict::Incomplete,
        false => Verdict::Foreign,
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered(answer) => match answer.verdict {
                Verdict::Correct => f.write_str("complete"),
                Verdict::Foreign => f.write_str("answer to another request"),
                Verdict::Incomplete => f.write_str("incomplete"),
                Verdict::Rerun => f.write_str("executed again"),
            },
            Outcome::Refused(problem) => {
                write!(f, "{} {}", problem.reason, problem.outcome)
            }
            Outcome::Interrupted(_) => f.write_str("interrupted"),
        }
    }
}
