use std::collections::VecDeque;

use toucanchute_proto::{Digest, Millis};

/// Attempts remembered for one backend server; the oldest are forgotten first.
const MAX_ATTEMPTS: usize = 32;

/// Time for which one is remembered: longer than a registration outlives its backend server.
const RETENTION: Millis = Millis(15_000);

/// Time within which connections break off by one end.
const SAME_TERMINATION_WINDOW: Millis = Millis(1_000);

/// Attempts at one backend server that brought no answer and did not show whether it ended.
///
/// What is seen later decides. If the backend server turns out to have ended, each of the requests
/// was in flight on it; if it answers a request that was sent later, none of them ended it.
#[derive(Debug, Default)]
pub(super) struct UnansweredAttempts {
    /// In the order of their ends.
    attempts: VecDeque<UnansweredAttempt>,
}

/// An attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnansweredAttempt {
    /// Digest of customer and request.
    pub(super) key: Digest,
    pub(super) started: Millis,
    pub(super) ended: Millis,
    /// Whether the backend server ended it, and not this router or its caller.
    pub(super) ended_by_server: bool,
}

/// What shows that a backend server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TerminationEvidence {
    /// It broke off a connection just now. Attempts that it left silent before may have ended it
    /// earlier, if its host was down until now.
    ConnectionBroken,
    /// It is not there any more; it may have ended at any time since its last answer.
    Gone,
}

impl UnansweredAttempts {
    pub(super) fn add(&mut self, attempt: UnansweredAttempt) {
        if self.attempts.len() == MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }

    /// Takes in that the backend server answered a request that was sent at `sent`.
    pub(super) fn record_answer(&mut self, sent: Millis) {
        self.attempts.retain(|a| a.ended > sent);
    }

    /// Takes those that the end of the backend server explains.
    pub(super) fn take_explained(
        &mut self,
        now: Millis,
        evidence: TerminationEvidence,
    ) -> Vec<UnansweredAttempt> {
        self.attempts.retain(|a| now.since(a.ended) <= RETENTION);
        let explained = |a: &UnansweredAttempt| match evidence {
            TerminationEvidence::ConnectionBroken => {
                a.ended_by_server && now.since(a.ended) <= SAME_TERMINATION_WINDOW
            }
            TerminationEvidence::Gone => true,
        };
        let attempts = std::mem::take(&mut self.attempts);
        let (explained, unexplained): (Vec<UnansweredAttempt>, Vec<UnansweredAttempt>) =
            attempts.into_iter().partition(explained);
        self.attempts = unexplained.into();
        explained
    }
}
