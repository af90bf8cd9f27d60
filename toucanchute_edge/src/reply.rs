use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use tokio::sync::{mpsc, oneshot};

use crate::{body::AnswerBody, problem::Problem};

/// Pieces of an answer that may wait for a slow caller.
const MAX_QUEUED_PIECES: usize = 4;

/// The caller does not want the answer any more, or reads none of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// The way of an answer to its caller.
#[derive(Debug)]
pub(crate) struct Reply {
    state: ReplyState,
    /// Longest time that a piece may wait for the caller.
    timeout: Duration,
}

#[derive(Debug)]
enum ReplyState {
    /// Nothing was sent.
    Waiting(oneshot::Sender<Response<AnswerBody>>),
    /// The head of a stream was sent.
    Open(mpsc::Sender<Bytes>),
    /// Nothing more can be sent.
    Closed,
}

impl Reply {
    /// Creates a reply whose head goes to `head`.
    pub(crate) fn new(head: oneshot::Sender<Response<AnswerBody>>, timeout: Duration) -> Reply {
        Reply {
            state: ReplyState::Waiting(head),
            timeout,
        }
    }

    /// Resolves when the caller has gone away.
    pub(crate) async fn caller_gone(&mut self) {
        match &mut self.state {
            ReplyState::Waiting(head) => head.closed().await,
            ReplyState::Open(tx) => tx.closed().await,
            ReplyState::Closed => {}
        }
    }

    /// Returns whether the caller has gone away.
    pub(crate) fn is_caller_gone(&self) -> bool {
        match &self.state {
            ReplyState::Waiting(head) => head.is_closed(),
            ReplyState::Open(tx) => tx.is_closed(),
            ReplyState::Closed => true,
        }
    }

    /// Sends a piece of an event stream, and its head before the first one; waits while the caller
    /// is slow.
    pub(crate) async fn send(&mut self, piece: Bytes) -> Result<(), CallerGone> {
        self.open_stream()?;
        let ReplyState::Open(tx) = &self.state else {
            return Err(CallerGone);
        };
        match tokio::time::timeout(self.timeout, tx.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                self.state = ReplyState::Closed;
                Err(CallerGone)
            }
        }
    }

    /// Sends a whole answer. Does nothing once a stream is open.
    pub(crate) fn respond(self, res: Response<AnswerBody>) -> Result<(), CallerGone> {
        match self.state {
            ReplyState::Waiting(head) => head.send(res).map_err(|_| CallerGone),
            ReplyState::Open(_) | ReplyState::Closed => Err(CallerGone),
        }
    }

    /// Ends the answer with an error: as a whole answer, or as the last event of an open stream.
    pub(crate) async fn fail(mut self, problem: Problem) {
        if let ReplyState::Waiting(_) = self.state {
            let _ = self.respond(problem.into_response());
        } else {
            let _ = self.send(problem.to_event()).await;
        }
    }

    fn open_stream(&mut self) -> Result<(), CallerGone> {
        if !matches!(self.state, ReplyState::Waiting(_)) {
            return Ok(());
        }
        let ReplyState::Waiting(head) = std::mem::replace(&mut self.state, ReplyState::Closed)
        else {
            return Err(CallerGone);
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_PIECES);
        let mut res = Response::new(AnswerBody::Stream(rx));
        let headers = res.headers_mut();
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        let cache = HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, cache);
        head.send(res).map_err(|_| CallerGone)?;
        self.state = ReplyState::Open(tx);
        Ok(())
    }
}
