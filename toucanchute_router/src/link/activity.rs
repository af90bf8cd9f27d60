use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use toucanchute_proto::Millis;

/// Longest silence after something was sent; the other side answers within a part of it.
const ANSWER_TIMEOUT: Millis = Millis(1_300);

/// Longest silence on a link on which nothing was sent.
const IDLE_TIMEOUT: Millis = Millis(7_000);

/// Time after which an idle side tells that it lives.
const KEEPALIVE_INTERVAL: Millis = Millis(2_000);

/// When a link was last used in each direction.
///
/// A side that received something answers at its next look even if it has nothing to say, so that a
/// link that a partition cut is noticed soon after its next use and an idle one costs little.
#[derive(Debug)]
pub(super) struct LinkActivity {
    /// When this side last sent anything.
    sent_at: AtomicU64,
    /// When it first sent something after it last received; 0 if it has not.
    unanswered_since: AtomicU64,
    /// When it last received anything.
    received_at: AtomicU64,
    /// Whether it received a message and has sent nothing since.
    answer_due: AtomicBool,
}

impl LinkActivity {
    pub(super) fn new(now: Millis) -> LinkActivity {
        LinkActivity {
            sent_at: AtomicU64::new(now.0),
            unanswered_since: AtomicU64::new(0),
            received_at: AtomicU64::new(now.0),
            answer_due: AtomicBool::new(false),
        }
    }

    /// Takes in that a message was sent, which the other side answers.
    pub(super) fn message_sent(&self, now: Millis) {
        self.keepalive_sent(now);
        // Only the first one after an answer counts.
        _ = self
            .unanswered_since
            .compare_exchange(0, now.0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Takes in that a keepalive was sent, which nobody answers.
    pub(super) fn keepalive_sent(&self, now: Millis) {
        self.sent_at.store(now.0, Ordering::Relaxed);
        self.answer_due.store(false, Ordering::Relaxed);
    }

    /// Takes in that something was received; only messages are answered.
    pub(super) fn received(&self, now: Millis, is_message: bool) {
        self.received_at.store(now.0, Ordering::Relaxed);
        self.unanswered_since.store(0, Ordering::Relaxed);
        if is_message {
            self.answer_due.store(true, Ordering::Relaxed);
        }
    }

    /// Whether this side has to tell that it lives.
    pub(super) fn is_keepalive_due(&self, now: Millis) -> bool {
        let sent_at = Millis(self.sent_at.load(Ordering::Relaxed));
        self.answer_due.load(Ordering::Relaxed) || now.since(sent_at) >= KEEPALIVE_INTERVAL
    }

    /// Whether the other side has been silent for too long.
    pub(super) fn is_lost(&self, now: Millis) -> bool {
        let received_at = Millis(self.received_at.load(Ordering::Relaxed));
        let unanswered = match self.unanswered_since.load(Ordering::Relaxed) {
            0 => false,
            since => now.since(Millis(since)) >= ANSWER_TIMEOUT,
        };
        unanswered || now.since(received_at) >= IDLE_TIMEOUT
    }
}

#[cfg(test)]
mod tests;
