use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Places for runs at the same time, and the queue before them, highest priority first.
#[derive(Clone, Debug)]
pub(super) struct RunQueue(Arc<Mutex<QueueState>>);

#[derive(Debug)]
struct QueueState {
    capacity: usize,
    queue: usize,
    running: usize,
    /// Order of arrival of the latest.
    arrival_count: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<()>>,
}

/// A place in the queue.
#[derive(Debug)]
pub(super) struct QueuedRun {
    run_queue: RunQueue,
    key: (Reverse<u8>, u64),
    /// Resolves when the run may start; `None` if it may at once.
    start_signal: Option<oneshot::Receiver<()>>,
    /// Whether dropping it gives up a place.
    started: bool,
}

/// A place of a run; dropping it lets the next one start.
#[derive(Debug)]
pub(super) struct Slot(RunQueue);

impl RunQueue {
    pub(super) fn new(capacity: usize, queue: usize) -> RunQueue {
        RunQueue(Arc::new(Mutex::new(QueueState {
            capacity,
            queue,
            running: 0,
            arrival_count: 0,
            waiting: BTreeMap::new(),
        })))
    }

    fn places(&self) -> MutexGuard<'_, QueueState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of runs and of those waiting.
    pub(super) fn counts(&self) -> (usize, usize) {
        let places = self.places();
        (places.running, places.waiting.len())
    }

    /// Enters the queue; `None` if it is full.
    pub(super) fn enqueue(&self, priority: u8) -> Option<QueuedRun> {
        let mut places = self.places();
        places.arrival_count += 1;
        let key = (Reverse(priority), places.arrival_count);
        let start_signal = if places.running < places.capacity {
            places.running += 1;
            None
        } else if places.waiting.len() < places.queue {
            let (tx, rx) = oneshot::channel();
            places.waiting.insert(key, tx);
            Some(rx)
        } else {
            return None;
        };
        Some(QueuedRun {
            run_queue: self.clone(),
            key,
            start_signal,
            started: false,
        })
    }

    /// Gives the place of a run that ended to the next in the queue.
    fn release_slot(&self) {
        let mut places = self.places();
        while let Some((_, tx)) = places.waiting.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
        places.running -= 1;
    }
}

impl QueuedRun {
    /// Waits for a place.
    pub(super) async fn wait(mut self) -> Slot {
        if let Some(start_signal) = &mut self.start_signal {
            let _ = start_signal.await;
        }
        self.started = true;
        Slot(self.run_queue.clone())
    }
}

impl Drop for QueuedRun {
    fn drop(&mut self) {
        if self.started {
            return;
        }
        let removed = self.run_queue.places().waiting.remove(&self.key);
        // The place was given to this ticket if it is no longer waiting.
        if removed.is_none() {
            self.run_queue.release_slot();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release_slot();
    }
}
