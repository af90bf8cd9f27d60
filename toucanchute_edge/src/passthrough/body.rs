use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Body of a response to a caller.
#[derive(Debug)]
pub struct ResponseBody {
    source: BodySource,
}

#[derive(Debug)]
enum BodySource {
    Full(Option<Bytes>),
    /// Chunks as they arrive. An error breaks the response off, so that it does not look complete.
    Stream(mpsc::Receiver<Result<Bytes, io::Error>>),
}

impl ResponseBody {
    /// Creates a body from bytes that are all available.
    pub(super) fn full(body: Bytes) -> ResponseBody {
        ResponseBody {
            source: BodySource::Full(Some(body).filter(|b| !b.is_empty())),
        }
    }

    /// Creates a body whose chunks are received from a channel.
    pub(super) fn streaming(rx: mpsc::Receiver<Result<Bytes, io::Error>>) -> ResponseBody {
        ResponseBody {
            source: BodySource::Stream(rx),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.source {
            BodySource::Full(body) => Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            BodySource::Stream(rx) => rx.poll_recv(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, BodySource::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Full(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64))
            }
            BodySource::Stream(_) => SizeHint::default(),
        }
    }
}
