//! Completions: from a caller's request to its billed answer.

mod chunk;
mod progress;
mod prompt;
mod request;
mod run;
mod stream;
mod whole;

#[cfg(test)]
pub(crate) use progress::AnswerProgress;
pub(crate) use request::{CompletionKind, CompletionRequest};
pub(crate) use run::run;
