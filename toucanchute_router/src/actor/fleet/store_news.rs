use toucanchute_proto::Millis;

/// Logs when the store stops answering this router and when it answers again.
#[derive(Debug, Default)]
pub(super) struct StoreNews {
    /// When it was last asked something that it answered.
    answered: Option<Millis>,
    /// When it was found not to answer, until it does.
    lost: Option<Millis>,
}

impl StoreNews {
    /// Takes in that the store did not answer.
    pub(super) fn unanswered(&mut self, now: Millis) {
        if self.lost.is_some() {
            return;
        }
        self.lost = Some(now);
        let age = self.answered.map(|at| now.since(at).0);
        log::warn!(answered_ms_ago:? = age; "store-lost");
    }

    /// Takes in an answer to what was asked at `asked`.
    pub(super) fn answered(&mut self, now: Millis, asked: Millis) {
        self.answered = self.answered.max(Some(asked));
        // An answer to an older question says nothing about the time since.
        if let Some(lost) = self.lost.take_if(|lost| asked >= *lost) {
            log::info!(away_ms = now.since(lost).0; "store-regained");
        }
    }
}
