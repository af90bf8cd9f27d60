use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::time::{sleep, timeout};
use toucanchute_proto::Millis;

use super::{
    Connection,
    wire::{Event, EventKind, Streamed, WatchRequest, WatchResponse, to_revision},
};
use crate::{
    Entry, KeySelection, Revision, StoreError, WatchSender, WatchUpdate,
    error::{MalformedSnafu, TimedOutSnafu, TruncatedSnafu},
};

/// Time without a line after which a watch is taken for dead; the service reports progress.
const SILENCE: Millis = Millis(10_000);

/// The receiver of a watch is gone.
struct Closed;

/// Why a connection of a watch ended.
enum End {
    Closed,
    Failed(StoreError),
    /// The service closed the connection.
    Finished,
}

impl From<Closed> for End {
    fn from(Closed: Closed) -> End {
        End::Closed
    }
}

impl From<StoreError> for End {
    fn from(e: StoreError) -> End {
        End::Failed(e)
    }
}

/// Follows a selection until the receiver is gone, connecting again after each failure.
pub(super) async fn follow(
    connection: Arc<Connection>,
    selection: KeySelection,
    from: Revision,
    pause: Millis,
    tx: WatchSender,
) {
    let mut follower = Follower {
        connection,
        selection,
        next: from,
        tx,
    };
    loop {
        match follower.run().await {
            End::Closed => return,
            End::Failed(e) => log::debug!(error:% = e; "watch-broken"),
            End::Finished => log::debug!("watch-ended"),
        }
        if follower.send(WatchUpdate::Disconnected).await.is_err() {
            return;
        }
        sleep(Duration::from_millis(pause.0)).await;
    }
}

struct Follower {
    connection: Arc<Connection>,
    selection: KeySelection,
    /// First revision that has not been passed on; zero before any is known.
    next: Revision,
    tx: WatchSender,
}

impl Follower {
    async fn send(&self, update: WatchUpdate) -> Result<(), Closed> {
        self.tx.send(update).await.map_err(|_| Closed)
    }

    async fn run(&mut self) -> End {
        match self.connect().await {
            Ok(()) => End::Finished,
            Err(end) => end,
        }
    }

    async fn connect(&mut self) -> Result<(), End> {
        let req = WatchRequest::new(&self.selection, self.next);
        let (endpoint, body) = self.connection.open("/v3/watch", &req).await?;
        let mut lines = Lines {
            endpoint,
            body,
            buf: BytesMut::new(),
        };
        let tx = self.tx.clone();
        loop {
            let line = tokio::select! {
                line = lines.next() => line?,
                () = tx.closed() => return Err(End::Closed),
            };
            let Some(line) = line else {
                return Ok(());
            };
            let line: Streamed<WatchResponse> =
                serde_json::from_slice(&line).context(MalformedSnafu { endpoint })?;
            self.take(line.result).await?;
        }
    }

    /// Passes on what one line says.
    async fn take(&mut self, res: WatchResponse) -> Result<(), End> {
        if res.canceled {
            let compacted = to_revision(res.compact_revision);
            let from = self.next;
            self.next = self.next.max(compacted.next());
            let until = self.next;
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
            self.pass_on(event).await?;
        }
        self.next = self.next.max(revision.next());
        self.send(WatchUpdate::Progress {
            revision,
            waited: Millis::default(),
        })
        .await?;
        Ok(())
    }

    async fn pass_on(&mut self, event: Event) -> Result<(), Closed> {
        let revision = to_revision(event.kv.mod_revision);
        // A service that resends after a reconnect tells nothing new.
        if revision < self.next {
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

/// Lines of a streamed answer.
struct Lines {
    endpoint: SocketAddr,
    body: Incoming,
    /// Bytes received after the last line.
    buf: BytesMut,
}

impl Lines {
    /// Returns the next line, or nothing at the answer's end.
    async fn next(&mut self) -> Result<Option<Bytes>, StoreError> {
        let endpoint = self.endpoint;
        loop {
            if let Some(end) = self.buf.iter().position(|&b| b == b'\n') {
                return Ok(Some(self.buf.split_to(end + 1).freeze()));
            }
            let frame = timeout(Duration::from_millis(SILENCE.0), self.body.frame()).await;
            let Ok(frame) = frame else {
                return TimedOutSnafu {
                    endpoint,
                    timeout: SILENCE,
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
