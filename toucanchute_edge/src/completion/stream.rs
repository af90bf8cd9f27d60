use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    chunk::DONE_MARKER,
    progress::LastChunk,
    run::{AttemptEnd, CompletionRun, LastPart},
};
use crate::{
    attempt::Attempt,
    backend::BackendError,
    control::Control,
    settings::{duration, now},
    sse::{SseParser, write_event},
};

/// Longest time to read the rest of a response after its last chunk.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of relaying the events of one read.
enum RelayStep {
    /// More chunks follow.
    Continue,
    /// The last chunk was received.
    Last(LastChunk),
    /// The caller disconnected.
    CallerGone,
}

impl<C: Control> CompletionRun<'_, C> {
    /// Relays a model engine's stream up to its last chunk, which is held back.
    pub(crate) async fn relay(
        &mut self,
        attempt: &Attempt<'_, C>,
        mut body: Incoming,
    ) -> AttemptEnd {
        let id = attempt.id().to_string();
        let mut parser = SseParser::default();
        let mut began = false;
        loop {
            let data = match self.read(&mut body, began).await {
                Ok(Some(data)) => data,
                Ok(None) => return AttemptEnd::CallerGone,
                Err(err) => return AttemptEnd::Failed(err),
            };
            if !began {
                began = true;
                attempt.report_first_token();
            }
            parser.push(&data);
            match self.relay_events(&id, &mut parser).await {
                Ok(RelayStep::Continue) => {}
                Ok(RelayStep::Last(last)) => return self.finished_stream(&last, body),
                Ok(RelayStep::CallerGone) => return AttemptEnd::CallerGone,
                Err(err) => return AttemptEnd::Failed(err),
            }
        }
    }

    /// Reads the next bytes of the response; `None` if the caller disconnects meanwhile.
    ///
    /// Before the first byte the request's deadline applies, then the timeout between tokens.
    async fn read(
        &mut self,
        body: &mut Incoming,
        began: bool,
    ) -> Result<Option<Bytes>, BackendError> {
        let span = if began {
            self.shared.settings.token_timeout
        } else {
            self.caller.deadline.since(now())
        };
        let frame = tokio::select! {
            biased;
            frame = tokio::time::timeout(duration(span), body.frame()) => frame,
            () = self.reply.caller_gone() => return Ok(None),
        };
        let frame = frame.map_err(|_| BackendError::Timeout)?;
        let frame = frame.ok_or(BackendError::Truncated)?;
        let frame = frame.map_err(|source| BackendError::Receive { source })?;
        Ok(Some(frame.into_data().unwrap_or_default()))
    }

    /// Relays all complete events in `parser` to the caller, as one piece.
    async fn relay_events(
        &mut self,
        id: &str,
        parser: &mut SseParser,
    ) -> Result<RelayStep, BackendError> {
        let mut out = BytesMut::new();
        let end = self.process_events(id, parser, &mut out);
        if !out.is_empty() && self.reply.send(out.freeze()).await.is_err() {
            return Ok(RelayStep::CallerGone);
        }
        Ok(end?.map_or(RelayStep::Continue, RelayStep::Last))
    }

    /// Processes all complete events in `parser` and appends those to relay to `out`. Returns the
    /// last chunk once it is reached.
    fn process_events(
        &mut self,
        id: &str,
        parser: &mut SseParser,
        out: &mut BytesMut,
    ) -> Result<Option<LastChunk>, BackendError> {
        loop {
            let event = parser.next_event();
            let event = event.map_err(|err| BackendError::Malformed {
                detail: err.to_string(),
            })?;
            let Some(data) = event else {
                return Ok(None);
            };
            if data == DONE_MARKER {
                return Err(BackendError::Truncated);
            }
            if let Some(last) = self.progress.accept(id, &data, out)? {
                return Ok(Some(last));
            }
        }
    }

    fn finished_stream(&self, last: &LastChunk, rest: Incoming) -> AttemptEnd {
        let prompt = last.usage.prompt_tokens.min(self.req.prompt_tokens);
        let mut tail = BytesMut::from(last.event.as_ref());
        write_event(&mut tail, DONE_MARKER);
        AttemptEnd::Finished {
            tokens: prompt + self.progress.tokens,
            last: LastPart::Stream(tail.freeze(), rest),
        }
    }
}

/// Reads a response to its end, so that its connection can be reused.
pub(crate) async fn drain(mut rest: Incoming) {
    let read = async { while let Some(Ok(_)) = rest.frame().await {} };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, read).await;
}
