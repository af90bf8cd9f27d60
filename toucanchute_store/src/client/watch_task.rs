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

/// Time without a line after which a watch is taken for dead; the service reports progress.
const STREAM_IDLE_TIMEOUT: Millis = Millis(10_000);

/// The receiver of a watch is gone.
struct ReceiverDropped;

/// Why a connection of a watch ended.
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

/// Follows a selection until the receiver is gone, connecting again after each failure.
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

struct WatchTask {
    pool: Arc<ConnectionPool>,
    selection: KeySelection,
    /// First revision that has not been passed on; zero before any is known.
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

    /// Passes on what one line says.
    async fn handle_response(&mut self, res: WatchResponse) -> Result<(), StreamEnd> {
        if res.canceled {
            let compacted = to_revision(res.compact_revision);
            let from = self.next_revision;
            self.next_revision = self.next_revision.max(compacted.next());
            let until = self.next_revision;
            self.send(WatchUpdate::Gap { from, until }).await?;
            return Ok(());
        }
        // The first line carries the service's revision, but tells of no change up to it.
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

    async fn forward_event(&mut self, event: Event) -> Result<(), ReceiverDropped> {
        let revision = to_revision(event.kv.mod_revision);
        // A service that resends after a reconnect tells nothing new.
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

/// LineReader of a streamed answer.
struct LineReader {
    endpoint: SocketAddr,
    body: Incoming,
    /// Bytes received after the last line.
    buf: BytesMut,
}

impl LineReader {
    /// Returns the next line, or nothing at the answer's end.
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
