use bytes::{Bytes, BytesMut};

use super::chunk::{Chunk, Usage};
use crate::{backend::BackendError, sse::write_event};

/// How far an answer has come, over all of its attempts.
#[derive(Debug, Default)]
pub(crate) struct AnswerProgress {
    /// Tokens relayed to the caller or held back in the last chunk.
    pub(crate) tokens: u64,
    /// Text of these tokens, from which another model engine can go on.
    pub(crate) text: String,
    /// Longest answer, in tokens; `tokens` never exceeds it.
    limit: u64,
    /// Identifier in every chunk that the caller sees: that of the first attempt.
    relayed_id: Option<String>,
    /// Whether the last chunk had no text, so that it may or may not count as a token.
    last_chunk_may_count: bool,
}

/// The last chunk of an answer, held back until the answer is billed.
#[derive(Debug)]
pub(crate) struct LastChunk {
    /// The chunk as an event.
    pub(crate) event: Bytes,
    /// Count of tokens by the model engine.
    pub(crate) usage: Usage,
}

impl AnswerProgress {
    /// Starts an answer of at most `limit` tokens.
    pub(crate) fn new(limit: u64) -> AnswerProgress {
        AnswerProgress {
            limit,
            ..AnswerProgress::default()
        }
    }

    /// Takes one chunk of the attempt `id`: appends it to `out`, or returns it if it is the last.
    ///
    /// A chunk that was relayed before is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the chunk is malformed, belongs to another attempt, leaves tokens out or goes beyond
    /// the longest answer.
    pub(crate) fn accept(
        &mut self,
        id: &str,
        data: &[u8],
        out: &mut BytesMut,
    ) -> Result<Option<LastChunk>, BackendError> {
        let chunk = Chunk::parse(data).map_err(|err| malformed(err.to_string()))?;
        if chunk.id != id {
            let detail = format!("a chunk of attempt {} came in attempt {id}", chunk.id);
            return Err(malformed(detail));
        }
        if !self.check_offset(chunk.offset)? {
            log::warn!(attempt = id, offset = chunk.offset; "duplicate-chunk-dropped");
            return Ok(None);
        }
        self.append_token(&chunk)?;
        let is_last = chunk.is_last();
        let usage = chunk.usage.unwrap_or_default();
        let shown = self.with_relayed_id(id, &chunk, data);
        let data = shown.as_deref().unwrap_or(data);
        if !is_last {
            write_event(out, data);
            return Ok(None);
        }
        let mut event = BytesMut::new();
        write_event(&mut event, data);
        Ok(Some(LastChunk {
            event: event.freeze(),
            usage,
        }))
    }

    fn check_offset(&mut self, offset: u64) -> Result<bool, BackendError> {
        let empty_chunk_counted = self.last_chunk_may_count && offset == self.tokens + 1;
        if !empty_chunk_counted && offset > self.tokens {
            let expected = self.tokens;
            return Err(malformed(format!(
                "offset {offset} came where {expected} was expected"
            )));
        }
        if empty_chunk_counted {
            self.tokens += 1;
        }
        Ok(offset == self.tokens)
    }

    fn append_token(&mut self, chunk: &Chunk<'_>) -> Result<(), BackendError> {
        let text = chunk.text();
        self.last_chunk_may_count = text.is_empty();
        if text.is_empty() {
            return Ok(());
        }
        if self.tokens >= self.limit {
            let limit = self.limit;
            return Err(malformed(format!("more than {limit} tokens came")));
        }
        self.tokens += 1;
        self.text.push_str(text);
        Ok(())
    }

    /// Returns the chunk with the identifier of the first attempt, if that is another.
    fn with_relayed_id(&mut self, id: &str, chunk: &Chunk<'_>, data: &[u8]) -> Option<Vec<u8>> {
        let shown = self.relayed_id.get_or_insert_with(|| id.to_owned());
        if shown == id {
            return None;
        }
        let quoted = format!("\"{}\"", chunk.id);
        let start = find_bytes(data, quoted.as_bytes())? + 1;
        let end = start + chunk.id.len();
        Some([&data[..start], shown.as_bytes(), &data[end..]].concat())
    }
}

fn find_bytes(data: &[u8], part: &[u8]) -> Option<usize> {
    data.windows(part.len()).position(|window| window == part)
}

fn malformed(detail: String) -> BackendError {
    BackendError::Malformed { detail }
}
