use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::time::{sleep, timeout};
use toucanchute_proto::Millis;

use super::{
    ConnectionPool,
    wire::{Event, EventKind, StreamMessage, WatchRequest, WatchResponse, to_revision},
};
use crate::{
    Entry, KeySelection, Revision, StoreError, WatchSender, WatchUpdate,
    error::{MalformedSnafu, TimedOutSnafu, TruncatedSnafu},
};

/// A watch reconnects if it receives no line for this time. The service sends progress
/// notifications, so a working stream is never silent for long.
const STREAM_IDLE_TIMEOUT: Millis = Millis(10_000);

/// The [`Watch`](crate::Watch) that receives the updates has been dropped.
struct ReceiverDropped;

/// Reason for which the stream of a watch ended.
enum StreamEnd {
    ReceiverDropped,
    Failed(StoreError),
    /// The service closed the connection.
    ServerClosed,
}

impl From<ReceiverDropped> for StreamEnd {
    fn from(ReceiverDropped: ReceiverDropped) -> StreamEnd {
        StreamEnd::ReceiverDropped
    }
}

impl From<StoreError> for StreamEnd {
    fn from(e: StoreError) -> StreamEnd {
        StreamEnd::Failed(e)
    }
}

/// Sends the changes of `selection` to `tx` until the receiver is dropped. Reconnects after each
/// failure, `retry_delay` later.
pub(super) async fn run_watch(
    pool: Arc<ConnectionPool>,
    selection: KeySelection,
    from: Revision,
    retry_delay: Millis,
    tx: WatchSender,
) {
    let mut task = WatchTask {
        pool,
        selection,
        next_revision: from,
        tx,
    };
    loop {
        match task.run_stream().await {
            StreamEnd::ReceiverDropped => return,
            StreamEnd::Failed(e) => log::debug!(error:% = e; "watch-disconnected"),
            StreamEnd::ServerClosed => log::debug!("watch-ended"),
        }
        if task.send(WatchUpdate::Disconnected).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(retry_delay.0)).await;
    }
}

/// State of a watch, which is kept across reconnects.
struct WatchTask {
    pool: Arc<ConnectionPool>,
    selection: KeySelection,
    /// First revision whose changes have not been sent to the receiver; zero until a revision is
    /// known.
    next_revision: Revision,
    tx: WatchSender,
}

impl WatchTask {
    async fn send(&self, update: WatchUpdate) -> Result<(), ReceiverDropped> {
        self.tx.send(update).await.map_err(|_| ReceiverDropped)
    }

    async fn run_stream(&mut self) -> StreamEnd {
        match self.stream_updates().await {
            Ok(()) => StreamEnd::ServerClosed,
            Err(end) => end,
        }
    }

    /// Opens a stream and forwards its updates until it ends.
    async fn stream_updates(&mut self) -> Result<(), StreamEnd> {
        let req = WatchRequest::new(&self.selection, self.next_revision);
        let (endpoint, body) = self.pool.open_stream("/v3/watch", &req).await?;
        let mut lines = LineReader {
            endpoint,
            body,
            buf: BytesMut::new(),
        };
        let tx = self.tx.clone();
        loop {
            let line = tokio::select! {
                line = lines.next() => line?,
                () = tx.closed() => return Err(StreamEnd::ReceiverDropped),
            };
            let Some(line) = line else {
                return Ok(());
            };
            let line: StreamMessage<WatchResponse> =
                serde_json::from_slice(&line).context(MalformedSnafu { endpoint })?;
            self.handle_response(line.result).await?;
        }
    }

    /// Sends the updates of one response.
    async fn handle_response(&mut self, res: WatchResponse) -> Result<(), StreamEnd> {
        if res.canceled {
            let compacted = to_revision(res.compact_revision);
            let from = self.next_revision;
            self.next_revision = self.next_revision.max(compacted.next());
            let until = self.next_revision;
            self.send(WatchUpdate::Gap { from, until }).await?;
            return Ok(());
        }
        // The first response carries the service's revision, but earlier changes are still to come.
        if res.created {
            return Ok(());
        }
        let latest = res.events.iter().map(|e| to_revision(e.kv.mod_revision));
        let revision = latest.max().unwrap_or(res.header.revision());
        for event in res.events {
            self.forward_event(event).await?;
        }
        self.next_revision = self.next_revision.max(revision.next());
        self.send(WatchUpdate::Progress {
            revision,
            waited: Millis::default(),
        })
        .await?;
        Ok(())
    }

    /// Sends one change, unless it has been sent before.
    async fn forward_event(&mut self, event: Event) -> Result<(), ReceiverDropped> {
        let revision = to_revision(event.kv.mod_revision);
        // The service may send changes again after a reconnect.
        if revision < self.next_revision {
            return Ok(());
        }
        let update = match event.kind {
            EventKind::Put => WatchUpdate::Put(Entry::from(event.kv)),
            EventKind::Delete => WatchUpdate::Delete {
                key: event.kv.key(),
                revision,
            },
        };
        self.send(update).await
    }
}

/// Reader of the lines of a streamed response.
struct LineReader {
    endpoint: SocketAddr,
    body: Incoming,
    /// Bytes received after the last complete line.
    buf: BytesMut,
}

impl LineReader {
    /// Returns the next line, or `None` at the end of the response.
    async fn next(&mut self) -> Result<Option<Bytes>, StoreError> {
        let endpoint = self.endpoint;
        loop {
            if let Some(end) = self.buf.iter().position(|&b| b == b'\n') {
                return Ok(Some(self.buf.split_to(end + 1).freeze()));
            }
            let frame = timeout(
                Duration::from_millis(STREAM_IDLE_TIMEOUT.0),
                self.body.frame(),
            )
            .await;
            let Ok(frame) = frame else {
                return TimedOutSnafu {
                    endpoint,
                    timeout: STREAM_IDLE_TIMEOUT,
                }
                .fail();
            };
            let Some(frame) = frame else {
                return Ok(None);
            };
            if let Ok(data) = frame.context(TruncatedSnafu { endpoint })?.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }
}
