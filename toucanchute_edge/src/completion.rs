//! Completion requests: parsing, relaying to model engines, and billing.

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
