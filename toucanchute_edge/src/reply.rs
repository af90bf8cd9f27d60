use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use tokio::sync::{mpsc, oneshot};

use crate::{body::AnswerBody, problem::Problem};

/// Number of pieces of a stream that are queued for a slow caller before the sender waits.
const MAX_QUEUED_PIECES: usize = 4;

/// The caller has disconnected, or did not read the stream within the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// Sends a response to a caller: whole, or as an event stream.
#[derive(Debug)]
pub(crate) struct Reply {
    state: ReplyState,
    /// Longest time that the next piece may wait until the caller reads.
    timeout: Duration,
}

#[derive(Debug)]
enum ReplyState {
    /// Nothing was sent yet.
    Waiting(oneshot::Sender<Response<AnswerBody>>),
    /// The head of an event stream was sent.
    Open(mpsc::Sender<Bytes>),
    /// Nothing more can be sent.
    Closed,
}

impl Reply {
    /// Creates a reply that sends the response head to `head`.
    pub(crate) fn new(head: oneshot::Sender<Response<AnswerBody>>, timeout: Duration) -> Reply {
        Reply {
            state: ReplyState::Waiting(head),
            timeout,
        }
    }

    /// Resolves once the caller has disconnected.
    pub(crate) async fn caller_gone(&mut self) {
        match &mut self.state {
            ReplyState::Waiting(head) => head.closed().await,
            ReplyState::Open(tx) => tx.closed().await,
            ReplyState::Closed => {}
        }
    }

    /// Returns whether the caller has disconnected.
    pub(crate) fn is_caller_gone(&self) -> bool {
        match &self.state {
            ReplyState::Waiting(head) => head.is_closed(),
            ReplyState::Open(tx) => tx.is_closed(),
            ReplyState::Closed => true,
        }
    }

    /// Sends a piece of an event stream, and the response head before the first piece.
    ///
    /// Waits while the queue for a slow caller is full.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected, or does not read within the timeout.
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

    /// Sends a whole response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or a stream was begun; nothing is sent then.
    pub(crate) fn respond(self, res: Response<AnswerBody>) -> Result<(), CallerGone> {
        match self.state {
            ReplyState::Waiting(head) => head.send(res).map_err(|_| CallerGone),
            ReplyState::Open(_) | ReplyState::Closed => Err(CallerGone),
        }
    }

    /// Sends `problem`: as a whole response, or as the last event of an open stream.
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
