use std::{collections::VecDeque, io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use tokio::{sync::watch as channel, time::timeout};

use super::{
    Shared,
    wire::{Blob, Num, Streamed, WatchRequest, WatchResponse},
};
use crate::reply::{self, Reply};

/// Time without a change after which a watch is told of its progress.
const PROGRESS_PAUSE: Duration = Duration::from_secs(2);

/// One open watch.
struct Watch {
    shared: Arc<Shared>,
    key: Blob,
    end: Blob,
    progress: bool,
    /// First revision that has not been sent.
    next: i64,
    revision: channel::Receiver<i64>,
    outages: channel::Receiver<u64>,
    /// Lines to be sent before any change.
    ready: VecDeque<Bytes>,
    /// No line follows those in `ready`.
    ended: bool,
}

/// Answers a request for a watch by a stream of lines.
pub(super) fn open(shared: Arc<Shared>, body: &[u8]) -> Reply {
    let req = match reply::parse::<WatchRequest>(body) {
        Ok(req) => req.create_request,
        Err(refusal) => return *refusal,
    };
    let mut watch = Watch {
        key: req.key,
        end: req.range_end,
        progress: req.progress_notify,
        next: req.start_revision.0,
        revision: shared.revision.subscribe(),
        outages: shared.outages.subscribe(),
        ready: VecDeque::new(),
        ended: false,
        shared,
    };
    watch.start();
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.line().await?;
        Some((Ok::<_, io::Error>(line), watch))
    });
    reply::streamed("application/json", lines)
}

impl Watch {
    fn start(&mut self) {
        let header = {
            let mut state = self.shared.state();
            state.stats.open_watches += 1;
            state.tree.header()
        };
        if self.next == 0 {
            self.next = header.revision.0 + 1;
        }
        self.ready.push_back(encode(WatchResponse {
            header,
            created: true,
            ..WatchResponse::default()
        }));
    }

    /// Returns the next line, or nothing at the watch's end.
    async fn line(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.ready.pop_front() {
                return Some(line);
            }
            if self.ended {
                return None;
            }
            self.revision.mark_unchanged();
            self.collect();
            if !self.ready.is_empty() {
                continue;
            }
            self.wait().await;
        }
    }

    /// Encodes the changes since the last line.
    fn collect(&mut self) {
        let state = self.shared.state();
        let header = state.tree.header();
        let mut answer = WatchResponse {
            header,
            ..WatchResponse::default()
        };
        match state.tree.events(&self.key, &self.end, self.next) {
            Ok(events) => answer.events = events,
            Err(compacted) => {
                answer.canceled = true;
                answer.compact_revision = Num(compacted);
                self.ended = true;
            }
        }
        self.next = self.next.max(answer.header.revision.0 + 1);
        if answer.canceled || !answer.events.is_empty() {
            self.ready.push_back(encode(answer));
        }
    }

    /// Waits for a change; prepares a report of progress if none comes.
    async fn wait(&mut self) {
        tokio::select! {
            changed = timeout(PROGRESS_PAUSE, self.revision.changed()) => {
                if changed.is_err() && self.progress {
                    let header = self.shared.state().tree.header();
                    let answer = WatchResponse { header, ..WatchResponse::default() };
                    self.ready.push_back(encode(answer));
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
