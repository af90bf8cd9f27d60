use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};

use super::{RouteControl, TokenRefusal, TokenRequest, TokenReservation};

/// Divisor of the output that is reserved: with less than this share of it left, more is requested.
const LOW_DIVISOR: u64 = 4;

/// Pause before tokens are requested again after a refusal that names no time.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Result of a request for further tokens that is still awaited.
type PendingPart = oneshot::Receiver<Result<TokenReservation, TokenRefusal>>;

/// Tokens of one request. They are reserved in parts, of which the first covers the prompt and the
/// response's probable length, and settled on drop, however the request ends.
///
/// What is charged never exceeds what is reserved.
pub(super) struct RequestTokens<C: RouteControl> {
    control: Arc<C>,
    /// The demand for the next part; absent for requests that cost nothing.
    next: Option<TokenRequest>,
    /// Tokens of the prompt.
    prompt: u64,
    /// Parts that were granted, in order.
    parts: Vec<TokenReservation>,
    pending: Option<PendingPart>,
    /// Time before which no part is requested, after a refusal.
    retry_at: Instant,
    /// Tokens that are charged when the request ends.
    used: u64,
    /// Time for which the response waited for tokens, in waits that have ended.
    held: Duration,
    /// Since when it waits for tokens.
    held_since: Option<Instant>,
}

impl<C: RouteControl> RequestTokens<C> {
    /// Creates the tokens of a request that costs nothing.
    pub(super) fn free(control: Arc<C>) -> RequestTokens<C> {
        RequestTokens {
            control,
            next: None,
            prompt: 0,
            parts: Vec::new(),
            pending: None,
            retry_at: Instant::now(),
            used: 0,
            held: Duration::ZERO,
            held_since: None,
        }
    }

    /// Reserves the first part of the tokens of a request with `prompt` tokens in its prompt.
    pub(super) async fn reserve(
        control: Arc<C>,
        demand: TokenRequest,
        prompt: u64,
    ) -> Result<RequestTokens<C>, TokenRefusal> {
        let first = control.reserve(demand.clone()).await?;
        let mut tokens = RequestTokens::free(control);
        tokens.next = Some(demand);
        tokens.prompt = prompt;
        tokens.add(first);
        Ok(tokens)
    }

    /// Returns the parts that were granted, in order.
    pub(super) fn parts(&self) -> &[TokenReservation] {
        &self.parts
    }

    /// Returns the tokens charged so far.
    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Returns the time for which the response waited for tokens.
    pub(super) fn held(&self) -> Duration {
        self.held
            + self
                .held_since
                .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Raises the tokens that are charged to `used`, once so many are reserved. Requests more when few
    /// are left.
    ///
    /// Nothing is charged if the future is dropped before it completes.
    pub(super) async fn charge(&mut self, used: u64) {
        self.collect_pending();
        while used > self.reserved() && self.may_reserve_more() {
            self.held_since.get_or_insert_with(Instant::now);
            self.request_part(used - self.reserved());
            self.await_part().await;
        }
        self.held = self.held();
        self.held_since = None;
        self.used = used;
        if self.is_low() {
            self.request_part(0);
        }
    }

    fn reserved(&self) -> u64 {
        self.parts.iter().map(|p| p.tokens).sum()
    }

    /// Output tokens that are reserved.
    fn reserved_output(&self) -> u64 {
        self.reserved().saturating_sub(self.prompt)
    }

    /// Whether less is reserved than the request may use.
    fn may_reserve_more(&self) -> bool {
        self.next.as_ref().is_some_and(|next| next.rest > 0)
    }

    /// Whether more should be requested. A process that stops cannot wait for tokens later.
    fn is_low(&self) -> bool {
        if self.is_stopping() {
            return true;
        }
        let left = self.reserved() - self.used.min(self.reserved());
        left < self.reserved_output() / LOW_DIVISOR
    }

    fn is_stopping(&self) -> bool {
        self.control.planned_stop().borrow().is_some()
    }

    /// Requests a part that doubles the reserved output, with `needed` tokens at least, or all that the
    /// request may use if the process is stopping.
    fn request_part(&mut self, needed: u64) {
        let wait = needed == 0 && Instant::now() < self.retry_at;
        if !self.may_reserve_more() || self.pending.is_some() || wait {
            return;
        }
        let Some(next) = &self.next else {
            return;
        };
        let tokens = match self.is_stopping() {
            true => next.rest,
            false => self.reserved_output().max(needed).min(next.rest),
        };
        let demand = TokenRequest {
            tokens,
            rest: next.rest - tokens,
            extends: self.parts.last().map(|p| p.id),
            ..next.clone()
        };
        let (tx, rx) = oneshot::channel();
        let control = Arc::clone(&self.control);
        tokio::spawn(async move {
            let result = control.reserve(demand).await;
            if let Err(Ok(part)) = tx.send(result) {
                control.settle(part, 0);
            }
        });
        self.pending = Some(rx);
    }

    /// Takes over the result of a request for a part, if it has arrived.
    fn collect_pending(&mut self) {
        let result = self.pending.as_mut().map(oneshot::Receiver::try_recv);
        match result {
            Some(Ok(result)) => self.finish_part(result),
            Some(Err(oneshot::error::TryRecvError::Closed)) => self.pending = None,
            Some(Err(oneshot::error::TryRecvError::Empty)) | None => {}
        }
    }

    /// Waits for the result of a request for a part, or until one may be sent again.
    async fn await_part(&mut self) {
        let Some(pending) = self.pending.as_mut() else {
            return sleep_until(self.retry_at).await;
        };
        match pending.await {
            Ok(result) => self.finish_part(result),
            Err(_) => self.pending = None,
        }
        if Instant::now() < self.retry_at {
            sleep_until(self.retry_at).await;
        }
    }

    fn finish_part(&mut self, result: Result<TokenReservation, TokenRefusal>) {
        self.pending = None;
        match result {
            Ok(part) => self.add(part),
            Err(refusal) => {
                let pause = refusal.retry_after.map(|t| Duration::from_millis(t.0));
                self.retry_at = Instant::now() + pause.unwrap_or(RETRY_AFTER);
            }
        }
    }

    fn add(&mut self, part: TokenReservation) {
        if let Some(next) = &mut self.next
            && !self.parts.is_empty()
        {
            next.rest = next.rest.saturating_sub(part.tokens);
        }
        self.parts.push(part);
    }
}

impl<C: RouteControl> Drop for RequestTokens<C> {
    fn drop(&mut self) {
        if let Some(mut pending) = self.pending.take() {
            pending.close();
            if let Ok(Ok(part)) = pending.try_recv() {
                self.control.settle(part, 0);
            }
        }
        let mut left = self.used;
        for part in self.parts.drain(..) {
            let used = left.min(part.tokens);
            left -= used;
            self.control.settle(part, used);
        }
    }
}
