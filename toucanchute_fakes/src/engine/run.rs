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
    answer::{CompletionBody, FinishReason, Usage, answer_tag, natural_tokens, prompt_tokens},
    fault::{Fault, Mode},
    hang_forever,
    request::CompletionRequest,
    run_queue::Slot,
    stats::RunState,
};
use crate::reply::{self, Abort, Reply};

/// Attempt identifier in chunks of [`Mode::WrongAttempt`].
const FOREIGN_ATTEMPT: &str = "0000000000000000-0";
/// Tag of the tokens in chunks of [`Mode::WrongAttempt`]; it belongs to no prompt of a test.
const FOREIGN_TAG: &str = "ffffffffffffffff";

/// One run of a completion, from the time when it gets a slot.
pub(super) struct Run {
    shared: Arc<Shared>,
    req: CompletionRequest,
    attempt: String,
    tag: String,
    fault: Fault,
    /// Number of the next token.
    next_token: u64,
    /// Number of tokens of the complete answer.
    token_count: u64,
    finish_reason: FinishReason,
    /// Time at which the next token is sent.
    next_token_at: Instant,
    cancelled: watch::Receiver<bool>,
    /// Chunks that are ready to be sent.
    chunks: VecDeque<Bytes>,
    ended: RunState,
    /// Released when the run is dropped.
    _slot: Slot,
}

impl Run {
    pub(super) fn start(
        shared: Arc<Shared>,
        slot: Slot,
        req: CompletionRequest,
        attempt: String,
        fault: Fault,
    ) -> Run {
        let tag = answer_tag(&req.prompt);
        let options = &shared.options;
        let natural_len = natural_tokens(&req.prompt, options.answer_tokens);
        let max_tokens = req.max_tokens.unwrap_or(u64::MAX).min(options.max_tokens);
        let finish_reason = match natural_len <= max_tokens {
            true => FinishReason::Stop,
            false => FinishReason::Length,
        };
        let (uncached_blocks, cancelled) = {
            let mut state = shared.state();
            let uncached_blocks = state.cache.cache_prompt(wall_clock_ms(), &req.prompt) as u64;
            (
                uncached_blocks,
                state.stats.start(&attempt, &tag, req.resume),
            )
        };
        let delay = options.first_token_ms + options.block_ms * uncached_blocks;
        log::info!(attempt = attempt, resume = req.resume; "run-started");
        shared.record_load();
        Run {
            next_token: req.resume,
            token_count: natural_len.min(max_tokens).max(req.resume),
            next_token_at: Instant::now() + Duration::from_millis(delay),
            chunks: VecDeque::new(),
            ended: RunState::Running,
            _slot: slot,
            shared,
            req,
            attempt,
            tag,
            fault,
            finish_reason,
            cancelled,
        }
    }

    /// Returns the complete answer at the end of the run, or a stream that drives the run.
    pub(super) async fn respond(mut self) -> Result<Reply, Abort> {
        let attempt = self.attempt.parse();
        let mut reply = match self.req.stream {
            true => self.stream(),
            false => self.full_answer().await?,
        };
        if let Ok(value) = attempt {
            reply.headers_mut().insert(reply::ATTEMPT_HEADER, value);
        }
        Ok(reply)
    }

    // Answers in one piece

    async fn full_answer(&mut self) -> Result<Reply, Abort> {
        let offset = self.next_token;
        let mut text = String::new();
        while self.next_token < self.token_count {
            text.push_str(&self.generate_token().await?);
        }
        let message = self.completion_body(false, offset, &text);
        let message = message.finish(self.finish_reason, self.usage());
        let mut body = serde_json::to_vec(&message).unwrap_or_default();
        if matches!(self.fault.mode, Mode::Truncated | Mode::Malformed) {
            body.truncate(body.len() / 2);
        }
        self.ended = RunState::Finished;
        Ok(reply::full(StatusCode::OK, "application/json", body.into()))
    }

    // Streamed answers

    fn stream(self) -> Reply {
        let chunks = stream::unfold(self, |mut run| async move {
            let chunk = run.next_chunk().await;
            match chunk {
                Ok(chunk) => Some((Ok(chunk?), run)),
                Err(abort) => Some((Err(io::Error::other(abort)), run)),
            }
        });
        reply::streamed("text/event-stream", chunks)
    }

    /// Returns the next chunk, or `None` at the end of the answer.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Abort> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Ok(Some(chunk));
        }
        if self.ended == RunState::Finished {
            return Ok(None);
        }
        if self.next_token == self.token_count {
            self.push_final_chunks();
            return Ok(self.chunks.pop_front());
        }
        let is_fault_due = self.req.resume + self.fault.after <= self.next_token;
        match self.fault.mode {
            Mode::Truncated if is_fault_due => return Ok(None),
            Mode::Malformed if is_fault_due => {
                self.fault.mode = Mode::Ok;
                return Ok(Some(Bytes::from_static(b"data: {\"id\":\n\n")));
            }
            _ => {}
        }
        self.push_token().await?;
        if self.fault.mode == Mode::Reordered && self.next_token < self.token_count {
            self.push_token().await?;
            self.chunks.swap(0, 1);
        }
        Ok(self.chunks.pop_front())
    }

    async fn push_token(&mut self) -> Result<(), Abort> {
        let offset = self.next_token;
        let token = self.generate_token().await?;
        let chunk = encode(&self.completion_body(true, offset, &token));
        if self.fault.mode == Mode::Duplicated {
            self.chunks.push_back(chunk.clone());
        }
        self.chunks.push_back(chunk);
        Ok(())
    }

    fn push_final_chunks(&mut self) {
        let end = self.completion_body(true, self.next_token, "");
        let end = encode(&end.finish(self.finish_reason, self.usage()));
        self.chunks.push_back(end);
        self.chunks
            .push_back(Bytes::from_static(b"data: [DONE]\n\n"));
        self.ended = RunState::Finished;
    }

    // Tokens

    /// Waits until the next token is due and returns it.
    async fn generate_token(&mut self) -> Result<String, Abort> {
        let is_fault_due = self.req.resume + self.fault.after <= self.next_token;
        match self.fault.mode {
            Mode::Hang if is_fault_due => return Err(hang_forever().await),
            Mode::CrashOn if is_fault_due => return Err(self.shared.crash(self.fault.ms)),
            Mode::Slow => self.next_token_at += Duration::from_millis(self.fault.ms),
            _ => {}
        }
        tokio::select! {
            () = sleep_until(self.next_token_at) => {}
            _ = self.cancelled.wait_for(|&cancelled| cancelled) => return Err(Abort),
        }
        let token_interval = Duration::from_millis(self.shared.options.token_ms);
        self.next_token_at = (self.next_token_at + token_interval).max(Instant::now());
        let tag = match self.fault.mode {
            Mode::WrongAttempt => FOREIGN_TAG,
            _ => &self.tag,
        };
        let token = format!("{tag}.{} ", self.next_token);
        self.next_token += 1;
        Ok(token)
    }

    fn completion_body<'a>(
        &'a self,
        streamed: bool,
        offset: u64,
        text: &'a str,
    ) -> CompletionBody<'a> {
        let id = match self.fault.mode {
            Mode::WrongAttempt => FOREIGN_ATTEMPT,
            _ => &self.attempt,
        };
        CompletionBody::new(self.req.api, streamed, id, &self.req.model, offset, text)
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = prompt_tokens(&self.req.prompt);
        Usage {
            prompt_tokens,
            completion_tokens: self.token_count,
            total_tokens: prompt_tokens + self.token_count,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let ended = match self.ended {
            RunState::Finished => RunState::Finished,
            RunState::Running | RunState::Broken => RunState::Broken,
        };
        let tokens = self.next_token - self.req.resume;
        log::info!(attempt = self.attempt, tokens, ended:? = ended; "run-ended");
        self.shared.state().stats.end(&self.attempt, tokens, ended);
        self.shared.record_load();
    }
}

fn encode(message: &CompletionBody<'_>) -> Bytes {
    let json = serde_json::to_string(message).unwrap_or_default();
    format!("data: {json}\n\n").into()
}
