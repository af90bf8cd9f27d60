use std::{
    io::{self, Write},
    iter,
    sync::{
        Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use crate::{clock::steady_clock_ms, rate_limiter::RateLimiter};

/// Maximum number of queued items that are written together with the first one.
const MAX_BATCH_ITEMS: usize = 256;

/// Number of lines that this process discarded because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Maximum time for which [`flush`] waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// Sender of the queue to the writer thread; set when the thread is started.
static QUEUE_SENDER: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

/// Item of the queue to the writer thread.
enum QueueItem {
    Line(String),
    /// Requests a confirmation when all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Waits until the lines logged so far have been written, but no longer than 50 ms. Returns at once
/// if the log does not use the queue or the queue is full.
pub fn flush() {
    let (tx, rx) = sync_channel(1);
    let queue = QUEUE_SENDER.get();
    if queue.is_some_and(|queue| queue.try_send(QueueItem::Flush(tx)).is_ok()) {
        // Lines that are not written in time are lost when the process exits.
        let _ = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Returns the number of lines discarded because the queue was full since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Bounded queue of lines for the thread that writes standard output. Logging never blocks.
pub(crate) struct LineQueue {
    tx: SyncSender<QueueItem>,
    limiter: Mutex<RateLimiter>,
}

impl LineQueue {
    /// Starts the writer thread with a queue of `capacity` lines. At most `lines_per_second` lines
    /// of one event are queued in a second.
    pub(crate) fn start(capacity: usize, lines_per_second: u32) -> LineQueue {
        let (tx, rx) = sync_channel(capacity);
        thread::spawn(move || write_lines(&rx));
        // A process has one log, so the sender is set only once.
        let _ = QUEUE_SENDER.set(tx.clone());
        LineQueue {
            tx,
            limiter: Mutex::new(RateLimiter::new(lines_per_second)),
        }
    }

    /// Queues a line. Discards it if its event exceeds the rate limit or the queue is full.
    pub(crate) fn push(&self, line: &str) {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let suppressed_lines = limiter.advance(steady_clock_ms());
        let admitted = limiter.admit(event_name(line));
        drop(limiter);
        for suppressed in suppressed_lines {
            self.send(format!(
                "event=lines-suppressed of={} lines={}",
                suppressed.event, suppressed.lines
            ));
        }
        if admitted {
            self.send(line.to_owned());
        }
    }

    /// Queues a line or, if the queue is full, counts it as dropped.
    fn send(&self, line: String) {
        if self.tx.try_send(QueueItem::Line(line)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Returns the event name of a line, or an empty text if it has none.
fn event_name(line: &str) -> &str {
    let rest = line.split_once(" event=").map_or("", |(_, rest)| rest);
    rest.split(' ').next().unwrap_or_default()
}

/// Receives queued items and writes their lines to standard output in batches.
fn write_lines(rx: &Receiver<QueueItem>) {
    let mut out = io::stdout();
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let mut text = String::new();
        let mut flush_done = None;
        for item in iter::once(first).chain(rx.try_iter().take(MAX_BATCH_ITEMS)) {
            match item {
                QueueItem::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                QueueItem::Flush(tx) => flush_done = Some(tx),
            }
        }
        let dropped = dropped_lines();
        if dropped > reported {
            text.push_str(&format!(
                "event=lines-dropped lines={}\n",
                dropped - reported
            ));
            reported = dropped;
        }
        // A failed write is ignored: without standard output there is no place to report it.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if let Some(tx) = flush_done {
            let _ = tx.try_send(());
        }
    }
}
