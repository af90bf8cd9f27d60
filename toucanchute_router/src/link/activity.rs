use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use toucanchute_proto::Millis;

/// Time after an unanswered message at which the link is lost. A working peer sends something well
/// within it.
const ANSWER_TIMEOUT: Millis = Millis(1_300);

/// Time without any received frame at which a link is lost, even if this side sent nothing.
const IDLE_TIMEOUT: Millis = Millis(7_000);

/// Time without sending after which a side sends a keepalive.
const KEEPALIVE_INTERVAL: Millis = Millis(2_000);

/// Times at which a link was last used in each direction, in milliseconds since the Unix epoch.
///
/// A side that received a message sends something at its next check, a keepalive if nothing else.
/// A link that a partition cut is therefore detected soon after its next use, and an idle link needs
/// few keepalives.
#[derive(Debug)]
pub(super) struct LinkActivity {
    /// When this side last sent a message or a keepalive.
    sent_at: AtomicU64,
    /// When this side sent its first message since it last received anything; 0 if it sent none.
    unanswered_since: AtomicU64,
    /// When this side last received a message or a keepalive.
    received_at: AtomicU64,
    /// Whether this side received a message and has sent nothing since.
    answer_due: AtomicBool,
}

impl LinkActivity {
    /// Creates the state of a link that is opened at `now`.
    pub(super) fn new(now: Millis) -> LinkActivity {
        LinkActivity {
            sent_at: AtomicU64::new(now.0),
            unanswered_since: AtomicU64::new(0),
            received_at: AtomicU64::new(now.0),
            answer_due: AtomicBool::new(false),
        }
    }

    /// Records that a message was sent, to which the other side sends an answer.
    pub(super) fn message_sent(&self, now: Millis) {
        self.keepalive_sent(now);
        // The time runs from the first message since the last answer.
        _ = self
            .unanswered_since
            .compare_exchange(0, now.0, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records that a keepalive was sent, to which the other side sends no answer.
    pub(super) fn keepalive_sent(&self, now: Millis) {
        self.sent_at.store(now.0, Ordering::Relaxed);
        self.answer_due.store(false, Ordering::Relaxed);
    }

    /// Records that a message or a keepalive was received. Only a message makes an answer due.
    pub(super) fn received(&self, now: Millis, is_message: bool) {
        self.received_at.store(now.0, Ordering::Relaxed);
        self.unanswered_since.store(0, Ordering::Relaxed);
        if is_message {
            self.answer_due.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether this side has to send a keepalive.
    pub(super) fn is_keepalive_due(&self, now: Millis) -> bool {
        let sent_at = Millis(self.sent_at.load(Ordering::Relaxed));
        self.answer_due.load(Ordering::Relaxed) || now.since(sent_at) >= KEEPALIVE_INTERVAL
    }

    /// Returns whether the other side has sent nothing for too long.
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
