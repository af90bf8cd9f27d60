use bytes::Bytes;
use serde_json::{Map, Value, json};

use super::prompt::Prompt;
use crate::{caller::CallerRequest, error::RequestError};

/// Largest answer that a caller may request, in tokens.
const MAX_TOKENS: u64 = 1 << 24;

/// Kind of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// A chat completion, with a list of messages.
    Chat,
    /// A text completion, with one prompt to be continued.
    Text,
}

impl CompletionKind {
    /// Returns the request path, which is the same at router and model engine.
    pub(crate) fn path(self) -> &'static str {
        match self {
            CompletionKind::Chat => "/v1/chat/completions",
            CompletionKind::Text => "/v1/completions",
        }
    }
}

/// A caller's request for a completion.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    /// Kind of the request.
    pub(crate) kind: CompletionKind,
    /// Name of the model.
    pub(crate) model: String,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// Largest number of tokens of the answer.
    pub(crate) max_tokens: u64,
    /// Tokens reserved for the prompt.
    pub(crate) prompt_tokens: u64,
    /// Hashes of the prompt's prefixes in whole blocks, longest prefix last.
    pub(crate) prefix: Vec<u64>,
    /// All fields as the caller sent them, except those that the router sets.
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses the body of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if the body is invalid or its model is not configured.
    pub(crate) fn parse(
        kind: CompletionKind,
        caller: &CallerRequest,
    ) -> Result<CompletionRequest, RequestError> {
        let config = caller.index.config();
        let req = Self::from_json(kind, &caller.body, config.routing.default_max_tokens)?;
        if !caller.index.has_model(&req.model) {
            return Err(RequestError::UnknownModel { name: req.model });
        }
        Ok(req)
    }

    /// Parses a body without checking that its model is configured.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON or a field is missing or invalid.
    pub(crate) fn from_json(
        kind: CompletionKind,
        body: &[u8],
        default_max_tokens: u64,
    ) -> Result<CompletionRequest, RequestError> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|source| RequestError::BadJson { source })?;
        let prompt = match kind {
            CompletionKind::Chat => fields.get("messages").and_then(Prompt::from_messages),
            CompletionKind::Text => fields.get("prompt").and_then(Prompt::from_text),
        };
        let prompt = prompt.ok_or(match kind {
            CompletionKind::Chat => bad_field("messages", "a list of messages with \"content\""),
            CompletionKind::Text => bad_field("prompt", "one string"),
        })?;
        let max_tokens = remove_max_tokens(&mut fields)?.unwrap_or(default_max_tokens);
        Ok(CompletionRequest {
            kind,
            model: parse_model(&fields)?,
            stream: parse_stream(&fields)?,
            max_tokens,
            prompt_tokens: prompt.token_estimate(),
            prefix: prompt.prefix_hashes(),
            fields: check_unsupported_fields(fields)?,
        })
    }

    /// Returns the largest number of tokens that the request may use, prompt and answer together.
    pub(crate) fn max_total_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }

    /// Returns the request body for a model engine, for an answer of at most `max_tokens` tokens.
    ///
    /// With `resume`, the number and the text of the tokens that were already received, the model
    /// engine continues the answer after these.
    pub(crate) fn engine_body(&mut self, max_tokens: u64, resume: Option<(u64, &str)>) -> Bytes {
        self.fields
            .insert("max_tokens".to_owned(), Value::from(max_tokens));
        if let Some((tokens, text)) = resume {
            let resume = json!({"tokens": tokens, "text": text});
            self.fields.insert("resume".to_owned(), resume);
        }
        serde_json::to_vec(&self.fields).unwrap_or_default().into()
    }
}

fn parse_model(fields: &Map<String, Value>) -> Result<String, RequestError> {
    match fields.get("model") {
        Some(Value::String(name)) if !name.is_empty() => Ok(name.clone()),
        _ => Err(bad_field("model", "the name of a model")),
    }
}

fn parse_stream(fields: &Map<String, Value>) -> Result<bool, RequestError> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(bad_field("stream", "true or false")),
    }
}

/// Removes `max_tokens` or its newer name, `max_completion_tokens`, from the fields and returns it.
fn remove_max_tokens(fields: &mut Map<String, Value>) -> Result<Option<u64>, RequestError> {
    let mut found = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        let value = fields.remove(name).filter(|value| !value.is_null());
        let Some(value) = value else {
            continue;
        };
        match value.as_u64() {
            Some(tokens) if (1..=MAX_TOKENS).contains(&tokens) => found = Some(tokens),
            _ => return Err(bad_field("max_tokens", "a whole number from 1 to 16777216")),
        }
    }
    Ok(found)
}

/// Rejects requests for several choices, as the tokens of different choices could not be
/// distinguished in a stream, and a `resume` sent by the caller.
fn check_unsupported_fields(
    fields: Map<String, Value>,
) -> Result<Map<String, Value>, RequestError> {
    for name in ["n", "best_of"] {
        let one = fields.get(name).is_none_or(|n| n.is_null() || n == 1);
        if !one {
            return Err(bad_field("n", "1, for one choice"));
        }
    }
    if fields.contains_key("resume") {
        return Err(bad_field(
            "resume",
            "no such field; the router resumes by itself",
        ));
    }
    Ok(fields)
}

fn bad_field(field: &'static str, expected: &'static str) -> RequestError {
    RequestError::BadField { field, expected }
}
