use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use http_body::{Body, Frame, SizeHint};

use super::ConnectionTracker;

/// Body of a response that reports its end, or that it was dropped, to a [`ConnectionTracker`].
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    tracker: Arc<ConnectionTracker>,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, tracker: Arc<ConnectionTracker>) -> TrackedBody<B> {
        TrackedBody { body, tracker }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.tracker.response_ended();
    }
}
