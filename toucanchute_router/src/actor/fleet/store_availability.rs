use toucanchute_proto::Millis;

/// Tracks whether the store answers this router, and logs each change.
#[derive(Debug, Default)]
pub(super) struct StoreAvailability {
    /// When the latest request was sent that the store answered.
    last_answered_request: Option<Millis>,
    /// When the first request failed since the last answer; absent while the store answers.
    lost_at: Option<Millis>,
}

impl StoreAvailability {
    /// Records that a request to the store failed at `now`.
    pub(super) fn record_failure(&mut self, now: Millis) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(now);
        let age = self.last_answered_request.map(|at| now.since(at).0);
        log::warn!(answered_ms_ago:? = age; "store-lost");
    }

    /// Records at `now` an answer to the request that was sent at `requested_at`.
    pub(super) fn record_answer(&mut self, now: Millis, requested_at: Millis) {
        self.last_answered_request = self.last_answered_request.max(Some(requested_at));
        // An answer to a request from before the loss does not show that the store is back.
        if let Some(lost_at) = self.lost_at.take_if(|lost_at| requested_at >= *lost_at) {
            log::info!(away_ms = now.since(lost_at).0; "store-regained");
        }
    }
}
