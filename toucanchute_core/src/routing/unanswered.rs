use std::{collections::VecDeque, sync::Arc};

use toucanchute_proto::Millis;

use super::suspects::SuspectKey;

/// Number of attempts recorded for one backend server; the oldest are removed first.
const MAX_ATTEMPTS: usize = 32;

/// Time for which an attempt is kept. It is longer than a registration outlives its backend server.
const RETENTION: Millis = Millis(15_000);

/// Time within which connections that break are taken to break by the same end of the server.
const SAME_TERMINATION_WINDOW: Millis = Millis(1_000);

/// Attempts on one backend server that got no answer and did not show whether the server ended.
///
/// Later events decide. If the server turns out to have ended, each of the requests was in flight
/// on it. If it answers a request that was sent later, none of them ended it.
#[derive(Debug, Default)]
pub(super) struct UnansweredAttempts {
    /// Ordered by the time at which they ended.
    attempts: VecDeque<UnansweredAttempt>,
}

/// An attempt that got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct UnansweredAttempt {
    /// The request and the parts that its prompt shares with others.
    pub(super) keys: Arc<[SuspectKey]>,
    /// Those for which the backend server was claimed.
    pub(super) claimed: Arc<[SuspectKey]>,
    pub(super) started: Millis,
    pub(super) ended: Millis,
    /// Whether the backend server ended the attempt, instead of this router or the caller.
    pub(super) ended_by_server: bool,
}

/// Evidence that a backend server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TerminationEvidence {
    /// It has just broken a connection. Attempts that it left without any response before may be
    /// the cause of an earlier end, if its host was down until now; they stay recorded.
    ConnectionBroken,
    /// It is gone, and may have ended at any time since its last answer.
    Gone,
}

impl UnansweredAttempts {
    pub(super) fn add(&mut self, attempt: UnansweredAttempt) {
        if self.attempts.len() == MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(attempt);
    }

    /// Records that the backend server answered a request that was sent at `sent`. Attempts that
    /// ended before cannot have ended the server.
    pub(super) fn record_answer(&mut self, sent: Millis) {
        self.attempts.retain(|a| a.ended > sent);
    }

    /// Removes and returns the attempts that the end of the backend server explains.
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
