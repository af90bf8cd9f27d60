use std::fmt;

use serde::Deserialize;
use toucanchute_fakes::answer_token;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An answer with its end mark came.
    Answered(Answer),
    /// The system refused or gave up.
    Refused(Problem),
    /// The connection failed or broke off.
    Interrupted(String),
}

/// An answer as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) verdict: Verdict,
    /// Tokens that it is expected to be billed.
    pub(crate) expected_bill: u64,
}

/// Whether an answer is the whole answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Correct,
    Foreign,
    Incomplete,
    /// The call ran more than once under its key.
    Rerun,
}

/// A problem document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(crate) struct Problem {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) outcome: String,
    pub(crate) retryable: bool,
}

impl Outcome {
    /// Returns whether the answer is whole and the caller's own.
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

/// Compares the text of an engine's answer with the one that its prompt leads to.
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
