use std::{collections::VecDeque, io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};
use toucanchute_log::wall_clock_ms;

use super::{
    Shared,
    answer::{FinishReason, Message, Usage, answer_tag, natural_tokens, prompt_tokens},
    batch::Slot,
    fault::{Fault, Mode},
    hang,
    request::Completion,
    stats::Ended,
};
use crate::reply::{self, Abort, Reply};

/// Identifier that chunks carry in place of their attempt's.
const FOREIGN_ATTEMPT: &str = "0000000000000000-0";
/// Mark of tokens that belong to another prompt's answer.
const FOREIGN_TAG: &str = "ffffffffffffffff";

/// One run of a completion, from its place in the batch to its end.
pub(super) struct Run {
    shared: Arc<Shared>,
    req: Completion,
    attempt: String,
    tag: String,
    fault: Fault,
    /// Next token's number.
    next: u64,
    /// Number of tokens of the whole answer.
    len: u64,
    finish: FinishReason,
    /// Time when the next token is ready.
    ready: Instant,
    cancelled: watch::Receiver<bool>,
    /// Chunks to be sent before any token.
    chunks: VecDeque<Bytes>,
    ended: Ended,
    /// Given back when the run is dropped.
    _slot: Slot,
}

impl Run {
    pub(super) fn start(
        shared: Arc<Shared>,
        slot: Slot,
        req: Completion,
        attempt: String,
        fault: Fault,
    ) -> Run {
        let tag = answer_tag(&req.prompt);
        let options = &shared.options;
        let natural = natural_tokens(&req.prompt, options.answer_tokens);
        let limit = req.max_tokens.unwrap_or(u64::MAX).min(options.max_tokens);
        let finish = match natural <= limit {
            true => FinishReason::Stop,
            false => FinishReason::Length,
        };
        let (cold, cancelled) = {
            let mut state = shared.state();
            let cold = state.cache.visit(wall_clock_ms(), &req.prompt) as u64;
            (cold, state.stats.start(&attempt, &tag, req.resume))
        };
        let delay = options.first_token_ms + options.block_ms * cold;
        log::info!(attempt = attempt, resume = req.resume; "run-started");
        shared.note_load();
        Run {
            next: req.resume,
            len: natural.min(limit).max(req.resume),
            ready: Instant::now() + Duration::from_millis(delay),
            chunks: VecDeque::new(),
            ended: Ended::Running,
            _slot: slot,
            shared,
            req,
            attempt,
            tag,
            fault,
            finish,
            cancelled,
        }
    }

    /// Runs to the end or starts to stream.
    pub(super) async fn answer(mut self) -> Result<Reply, Abort> {
        let attempt = self.attempt.parse();
        let mut reply = match self.req.stream {
            true => self.stream(),
            false => self.whole().await?,
        };
        if let Ok(value) = attempt {
            reply.headers_mut().insert(reply::ATTEMPT_HEADER, value);
        }
        Ok(reply)
    }

    // Whole answers

    async fn whole(&mut self) -> Result<Reply, Abort> {
        let offset = self.next;
        let mut text = String::new();
        while self.next < self.len {
            text.push_str(&self.token().await?);
        }
        let message = self.message(false, offset, &text);
        let message = message.finish(self.finish, self.usage());
        let mut body = serde_json::to_vec(&message).unwrap_or_default();
        if matches!(self.fault.mode, Mode::Truncated | Mode::Malformed) {
            body.truncate(body.len() / 2);
        }
        self.ended = Ended::Finished;
        Ok(reply::whole(
            StatusCode::OK,
            "application/json",
            body.into(),
        ))
    }

    // Streamed answers

    fn stream(self) -> Reply {
        let chunks = stream::unfold(self, |mut run| async move {
            let chunk = run.chunk().await;
            match chunk {
                Ok(chunk) => Some((Ok(chunk?), run)),
                Err(abort) => Some((Err(io::Error::other(abort)), run)),
            }
        });
        reply::streamed("text/event-stream", chunks)
    }

    /// Returns the next chunk, or nothing at the answer's end.
    async fn chunk(&mut self) -> Result<Option<Bytes>, Abort> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Ok(Some(chunk));
        }
        if self.ended == Ended::Finished {
            return Ok(None);
        }
        if self.next == self.len {
            self.push_end();
            return Ok(self.chunks.pop_front());
        }
        let broken = self.req.resume + self.fault.after <= self.next;
        match self.fault.mode {
            Mode::Truncated if broken => return Ok(None),
            Mode::Malformed if broken => {
                self.fault.mode = Mode::Ok;
                return Ok(Some(Bytes::from_static(b"data: {\"id\":\n\n")));
            }
            _ => {}
        }
        self.push_token().await?;
        if self.fault.mode == Mode::Reordered && self.next < self.len {
            self.push_token().await?;
            self.chunks.swap(0, 1);
        }
        Ok(self.chunks.pop_front())
    }

    async fn push_token(&mut self) -> Result<(), Abort> {
        let offset = self.next;
        let token = self.token().await?;
        let chunk = encode(&self.message(true, offset, &token));
        if self.fault.mode == Mode::Duplicated {
            self.chunks.push_back(chunk.clone());
        }
        self.chunks.push_back(chunk);
        Ok(())
    }

    fn push_end(&mut self) {
        let end = self.message(true, self.next, "");
        let end = encode(&end.finish(self.finish, self.usage()));
        self.chunks.push_back(end);
        self.chunks
            .push_back(Bytes::from_static(b"data: [DONE]\n\n"));
        self.ended = Ended::Finished;
    }

    // Tokens

    /// Generates the next token.
    async fn token(&mut self) -> Result<String, Abort> {
        let broken = self.req.resume + self.fault.after <= self.next;
        match self.fault.mode {
            Mode::Hang if broken => return Err(hang().await),
            Mode::CrashOn if broken => return Err(self.shared.crash(self.fault.ms)),
            Mode::Slow => self.ready += Duration::from_millis(self.fault.ms),
            _ => {}
        }
        tokio::select! {
            () = sleep_until(self.ready) => {}
            _ = self.cancelled.wait_for(|&cancelled| cancelled) => return Err(Abort),
        }
        let pause = Duration::from_millis(self.shared.options.token_ms);
        self.ready = (self.ready + pause).max(Instant::now());
        let tag = match self.fault.mode {
            Mode::WrongAttempt => FOREIGN_TAG,
            _ => &self.tag,
        };
        let token = format!("{tag}.{} ", self.next);
        self.next += 1;
        Ok(token)
    }

    fn message<'a>(&'a self, streamed: bool, offset: u64, text: &'a str) -> Message<'a> {
        let id = match self.fault.mode {
            Mode::WrongAttempt => FOREIGN_ATTEMPT,
            _ => &self.attempt,
        };
        Message::new(self.req.form, streamed, id, &self.req.model, offset, text)
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = prompt_tokens(&self.req.prompt);
        Usage {
            prompt_tokens,
            completion_tokens: self.len,
            total_tokens: prompt_tokens + self.len,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let ended = match self.ended {
            Ended::Finished => Ended::Finished,
            Ended::Running | Ended::Broken => Ended::Broken,
        };
        let tokens = self.next - self.req.resume;
        log::info!(attempt = self.attempt, tokens, ended:? = ended; "run-ended");
        self.shared.state().stats.end(&self.attempt, tokens, ended);
        self.shared.note_load();
    }
}

fn encode(message: &Message<'_>) -> Bytes {
    let json = serde_json::to_string(message).unwrap_or_default();
    format!("data: {json}\n\n").into()
}
