//! Which attempts of a request may have run, and the proof that none did.

use toucanchute_proto::AttemptId;

use crate::{
    backend::BackendError,
    passthrough::{ResponseRecord, SendError},
};

/// Proof that a request did not run at any backend server and that none will run it.
///
/// Only a [`RunRecord`] makes one. Whatever promises a caller that its request did not run, such as
/// a response with status 503, needs one.
///
/// ```compile_fail
/// let forged = toucanchute_edge::NotRun(());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// Proof that one attempt did not run and never will.
///
/// Each constructor takes the evidence: nothing of the request was written, or a response of the
/// backend server to this attempt states that it did not run.
#[derive(Debug)]
#[must_use]
pub(crate) struct AttemptNotRun(AttemptId);

impl AttemptNotRun {
    /// Returns the proof if `error` shows that nothing of the request was written.
    pub(crate) fn from_send_error(attempt: AttemptId, error: &SendError) -> Option<AttemptNotRun> {
        error.is_unsent().then_some(AttemptNotRun(attempt))
    }

    /// Returns the proof if `error` shows that no connection was opened, or holds a response that
    /// names the attempt and states that it did not run.
    pub(crate) fn from_backend_error(
        attempt: AttemptId,
        error: &BackendError,
    ) -> Option<AttemptNotRun> {
        match error {
            // The client's errors of this kind are made before a request is handed to a connection.
            BackendError::Connect { source } if source.is_connect() => Some(AttemptNotRun(attempt)),
            BackendError::Refused { response } => AttemptNotRun::from_response(attempt, response),
            _ => None,
        }
    }

    /// Returns the proof if the response names the attempt and states that it did not run.
    pub(crate) fn from_response(
        attempt: AttemptId,
        response: &ResponseRecord,
    ) -> Option<AttemptNotRun> {
        response
            .is_proven_refusal()
            .then_some(AttemptNotRun(attempt))
    }
}

/// The attempts of one request that may have run.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Attempts that were begun and not proved not to have run.
    unproven: Vec<AttemptId>,
}

impl RunRecord {
    /// Creates the record of a request without attempts.
    #[must_use]
    pub fn new() -> RunRecord {
        RunRecord::default()
    }

    /// Records an attempt before anything of the request is written.
    pub(crate) fn begin_attempt(&mut self, attempt: AttemptId) {
        self.unproven.push(attempt);
    }

    /// Records that an attempt did not run.
    pub(crate) fn attempt_not_run(&mut self, proof: &AttemptNotRun) {
        self.unproven.retain(|attempt| *attempt != proof.0);
    }

    /// Returns the proof that the request did not run, or `None` if an attempt may have run it.
    ///
    /// ```
    /// use toucanchute_edge::RunRecord;
    ///
    /// assert!(RunRecord::new().not_run().is_some());
    /// ```
    #[must_use]
    pub fn not_run(&self) -> Option<NotRun> {
        self.unproven.is_empty().then_some(NotRun(()))
    }
}
