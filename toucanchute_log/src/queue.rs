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

/// Most lines written at once.
const MAX_BATCH_ITEMS: usize = 256;

/// Lines of this process that found the queue full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Longest time that a process waits at its end for lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The way to the thread that writes, once there is one.
static QUEUE_SENDER: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

/// What the thread that writes is sent.
enum QueueItem {
    Line(String),
    /// All lines before are to be written; reported when they are.
    Flush(SyncSender<()>),
}

/// Waits a short time until the lines logged so far are written.
pub fn flush() {
    let (tx, rx) = sync_channel(1);
    let queue = QUEUE_SENDER.get();
    if queue.is_some_and(|queue| queue.try_send(QueueItem::Flush(tx)).is_ok()) {
        // Lines that take longer are lost with the process.
        let _ = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Returns how many lines found the queue full since the start.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Lines on their way to standard output. Whoever logs never waits.
pub(crate) struct LineQueue {
    tx: SyncSender<QueueItem>,
    limiter: Mutex<RateLimiter>,
}

impl LineQueue {
    /// Starts the thread that writes; at most `capacity` lines wait for it.
    pub(crate) fn start(capacity: usize, lines_per_second: u32) -> LineQueue {
        let (tx, rx) = sync_channel(capacity);
        thread::spawn(move || write_lines(&rx));
        // A process has one log.
        let _ = QUEUE_SENDER.set(tx.clone());
        LineQueue {
            tx,
            limiter: Mutex::new(RateLimiter::new(lines_per_second)),
        }
    }

    /// Queues a line, unless there are too many of its event or in the queue.
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

    fn send(&self, line: String) {
        if self.tx.try_send(QueueItem::Line(line)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Returns the event of a line.
fn event_name(line: &str) -> &str {
    let rest = line.split_once(" event=").map_or("", |(_, rest)| rest);
    rest.split(' ').next().unwrap_or_default()
}

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
        // Nobody is left to tell that standard output is gone.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        if let Some(tx) = flush_done {
            let _ = tx.try_send(());
        }
    }
}
