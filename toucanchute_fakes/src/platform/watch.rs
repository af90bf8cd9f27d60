use std::{collections::VecDeque, io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use tokio::{sync::watch as channel, time::timeout};

use super::{
    Shared,
    wire::{Blob, Int64, Streamed, WatchRequest, WatchResponse},
};
use crate::reply::{self, Reply};

/// Time without a change after which a watch sends a progress notification.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// One open watch.
struct Watch {
    shared: Arc<Shared>,
    key: Blob,
    range_end: Blob,
    progress_notify: bool,
    /// First revision whose changes have not been sent.
    next_revision: i64,
    revision: channel::Receiver<i64>,
    outages: channel::Receiver<u64>,
    /// Lines that are ready to be sent.
    queued_lines: VecDeque<Bytes>,
    /// Whether the watch ends after the lines in `queued_lines`.
    ended: bool,
}

/// Opens a watch, whose response is a stream of lines.
pub(super) fn open(shared: Arc<Shared>, body: &[u8]) -> Reply {
    let req = match reply::parse_json::<WatchRequest>(body) {
        Ok(req) => req.create_request,
        Err(refusal) => return *refusal,
    };
    let mut watch = Watch {
        key: req.key,
        range_end: req.range_end,
        progress_notify: req.progress_notify,
        next_revision: req.start_revision.0,
        revision: shared.revision.subscribe(),
        outages: shared.outages.subscribe(),
        queued_lines: VecDeque::new(),
        ended: false,
        shared,
    };
    watch.start();
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.next_line().await?;
        Some((Ok::<_, io::Error>(line), watch))
    });
    reply::streamed("application/json", lines)
}

impl Watch {
    fn start(&mut self) {
        let header = {
            let mut state = self.shared.state();
            state.stats.open_watches += 1;
            state.kv.header()
        };
        if self.next_revision == 0 {
            self.next_revision = header.revision.0 + 1;
        }
        self.queued_lines.push_back(encode(WatchResponse {
            header,
            created: true,
            ..WatchResponse::default()
        }));
    }

    /// Returns the next line, or `None` at the end of the watch.
    async fn next_line(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.queued_lines.pop_front() {
                return Some(line);
            }
            if self.ended {
                return None;
            }
            self.revision.mark_unchanged();
            self.queue_changes();
            if !self.queued_lines.is_empty() {
                continue;
            }
            self.wait_for_change().await;
        }
    }

    /// Queues a line with the changes since the last line, if there are any.
    fn queue_changes(&mut self) {
        let state = self.shared.state();
        let header = state.kv.header();
        let mut response = WatchResponse {
            header,
            ..WatchResponse::default()
        };
        match state
            .kv
            .events(&self.key, &self.range_end, self.next_revision)
        {
            Ok(events) => response.events = events,
            Err(compacted) => {
                response.canceled = true;
                response.compact_revision = Int64(compacted);
                self.ended = true;
            }
        }
        self.next_revision = self.next_revision.max(response.header.revision.0 + 1);
        if response.canceled || !response.events.is_empty() {
            self.queued_lines.push_back(encode(response));
        }
    }

    /// Waits for a change. Queues a progress notification if there is none for a while.
    async fn wait_for_change(&mut self) {
        tokio::select! {
            changed = timeout(PROGRESS_INTERVAL, self.revision.changed()) => {
                if changed.is_err() && self.progress_notify {
                    let header = self.shared.state().kv.header();
                    let response = WatchResponse { header, ..WatchResponse::default() };
                    self.queued_lines.push_back(encode(response));
                }
            }
            _ = self.outages.changed() => self.ended = true,
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.state().stats.open_watches -= 1;
    }
}

fn encode(result: WatchResponse) -> Bytes {
    let mut line = serde_json::to_vec(&Streamed { result }).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
