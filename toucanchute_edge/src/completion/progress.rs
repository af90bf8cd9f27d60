use bytes::{Bytes, BytesMut};

use super::chunk::{Chunk, Usage};
use crate::{backend::BackendError, sse::write_event};

/// The part of an answer that was received so far, over all attempts of the request.
#[derive(Debug, Default)]
pub(crate) struct AnswerProgress {
    /// Number of tokens that were relayed to the caller or are held back in the last chunk.
    pub(crate) tokens: u64,
    /// Text of these tokens, after which another model engine can resume the answer.
    pub(crate) text: String,
    /// Largest number of tokens of the answer; `tokens` never exceeds it.
    limit: u64,
    /// Identifier that the caller receives in every chunk: that of the first attempt.
    relayed_id: Option<String>,
    /// Whether the last chunk had no text, so that the model engine may or may not have counted it
    /// as a token.
    last_chunk_may_count: bool,
}

/// The last chunk of an answer, held back until the answer is billed.
#[derive(Debug)]
pub(crate) struct LastChunk {
    /// The chunk, encoded as an event.
    pub(crate) event: Bytes,
    /// Token counts as reported by the model engine.
    pub(crate) usage: Usage,
}

impl AnswerProgress {
    /// Creates the progress of an answer of at most `limit` tokens.
    pub(crate) fn new(limit: u64) -> AnswerProgress {
        AnswerProgress {
            limit,
            ..AnswerProgress::default()
        }
    }

    /// Processes one chunk of the attempt `id`: appends it to `out`, or returns it if it is the
    /// last.
    ///
    /// A chunk that was relayed before is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the chunk is malformed, belongs to another attempt, skips tokens or exceeds the
    /// largest number of tokens.
    pub(crate) fn accept(
        &mut self,
        id: &str,
        data: &[u8],
        out: &mut BytesMut,
    ) -> Result<Option<LastChunk>, BackendError> {
        let chunk = Chunk::parse(data).map_err(|err| malformed(err.to_string()))?;
        if chunk.id != id {
            let detail = format!("received a chunk of attempt {} in attempt {id}", chunk.id);
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

    /// Returns whether `offset` is that of the next token; `false` means a repeated chunk.
    ///
    /// An offset one beyond the next shows that the model engine counted the preceding chunk
    /// without text as a token; it is counted here too.
    fn check_offset(&mut self, offset: u64) -> Result<bool, BackendError> {
        let empty_chunk_counted = self.last_chunk_may_count && offset == self.tokens + 1;
        if !empty_chunk_counted && offset > self.tokens {
            let expected = self.tokens;
            return Err(malformed(format!(
                "received offset {offset}, expected {expected}"
            )));
        }
        if empty_chunk_counted {
            self.tokens += 1;
        }
        Ok(offset == self.tokens)
    }

    /// Adds the text of a chunk as one token; a chunk without text is not counted yet.
    fn append_token(&mut self, chunk: &Chunk<'_>) -> Result<(), BackendError> {
        let text = chunk.text();
        self.last_chunk_may_count = text.is_empty();
        if text.is_empty() {
            return Ok(());
        }
        if self.tokens >= self.limit {
            let limit = self.limit;
            return Err(malformed(format!("received more than {limit} tokens")));
        }
        self.tokens += 1;
        self.text.push_str(text);
        Ok(())
    }

    /// Returns the chunk's data with the identifier of the first attempt in place of its own, or
    /// `None` if the data is to be relayed unchanged.
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
