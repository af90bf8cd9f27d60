use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The whole body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// Pieces of a stream, sent as they arrive. Dropping the body closes the channel, which shows
    /// the sender that the caller has disconnected.
    Stream(mpsc::Receiver<Bytes>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take()),
            AnswerBody::Stream(rx) => rx.poll_recv(cx),
        };
        piece.map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
