use toucanchute_proto::Millis;

/// Logs when the store stops answering this router and when it answers again.
#[derive(Debug, Default)]
pub(super) struct StoreAvailability {
    /// When it was last asked something that it answered.
    last_answered_request: Option<Millis>,
    /// When it was found not to answer, until it does.
    lost_at: Option<Millis>,
}

impl StoreAvailability {
    /// Takes in that the store did not answer.
    pub(super) fn record_failure(&mut self, now: Millis) {
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(now);
        let age = self.last_answered_request.map(|at| now.since(at).0);
        log::warn!(answered_ms_ago:? = age; "store-lost");
    }

    /// Takes in an answer to what was asked at `asked`.
    pub(super) fn record_answer(&mut self, now: Millis, requested_at: Millis) {
        self.last_answered_request = self.last_answered_request.max(Some(requested_at));
        // An answer to an older question says nothing about the time since.
        if let Some(lost_at) = self.lost_at.take_if(|lost_at| requested_at >= *lost_at) {
            log::info!(away_ms = now.since(lost_at).0; "store-regained");
        }
    }
}
