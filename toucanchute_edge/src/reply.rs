use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use tokio::sync::{mpsc, oneshot};

use crate::{body::AnswerBody, problem::Problem};

/// Pieces of an answer that may wait for a slow caller.
const PIECES_IN_FLIGHT: usize = 4;

/// The caller does not want the answer any more, or reads none of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// The way of an answer to its caller.
#[derive(Debug)]
pub(crate) struct Reply {
    state: State,
    /// Longest time that a piece may wait for the caller.
    timeout: Duration,
}

#[derive(Debug)]
enum State {
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
            state: State::Waiting(head),
            timeout,
        }
    }

    /// Resolves when the caller has gone away.
    pub(crate) async fn gone(&mut self) {
        match &mut self.state {
            State::Waiting(head) => head.closed().await,
            State::Open(tx) => tx.closed().await,
            State::Closed => {}
        }
    }

    /// Returns whether the caller has gone away.
    pub(crate) fn is_gone(&self) -> bool {
        match &self.state {
            State::Waiting(head) => head.is_closed(),
            State::Open(tx) => tx.is_closed(),
            State::Closed => true,
        }
    }

    /// Sends a piece of an event stream, and its head before the first one; waits while the caller
    /// is slow.
    pub(crate) async fn send(&mut self, piece: Bytes) -> Result<(), CallerGone> {
        self.open()?;
        let State::Open(tx) = &self.state else {
            return Err(CallerGone);
        };
        match tokio::time::timeout(self.timeout, tx.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                self.state = State::Closed;
                Err(CallerGone)
            }
        }
    }

    /// Sends a whole answer. Does nothing once a stream is open.
    pub(crate) fn respond(self, res: Response<AnswerBody>) -> Result<(), CallerGone> {
        match self.state {
            State::Waiting(head) => head.send(res).map_err(|_| CallerGone),
            State::Open(_) | State::Closed => Err(CallerGone),
        }
    }

    /// Ends the answer with an error: as a whole answer, or as the last event of an open stream.
    pub(crate) async fn fail(mut self, problem: Problem) {
        if let State::Waiting(_) = self.state {
            let _ = self.respond(problem.into_response());
        } else {
            let _ = self.send(problem.to_event()).await;
        }
    }

    fn open(&mut self) -> Result<(), CallerGone> {
        if !matches!(self.state, State::Waiting(_)) {
            return Ok(());
        }
        let State::Waiting(head) = std::mem::replace(&mut self.state, State::Closed) else {
            return Err(CallerGone);
        };
        let (tx, rx) = mpsc::channel(PIECES_IN_FLIGHT);
        let mut res = Response::new(AnswerBody::Stream(rx));
        let headers = res.headers_mut();
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        let cache = HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, cache);
        head.send(res).map_err(|_| CallerGone)?;
        self.state = State::Open(tx);
        Ok(())
    }
}
