use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Slots for concurrent runs, and the queue of waiting runs, which start in order of priority.
#[derive(Clone, Debug)]
pub(super) struct RunQueue(Arc<Mutex<QueueState>>);

#[derive(Debug)]
struct QueueState {
    capacity: usize,
    queue: usize,
    running: usize,
    /// Number of runs that have arrived so far.
    arrival_count: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<()>>,
}

/// A run that waits for a slot or has one reserved.
#[derive(Debug)]
pub(super) struct QueuedRun {
    run_queue: RunQueue,
    key: (Reverse<u8>, u64),
    /// Resolves when the run may start; `None` if it may start immediately.
    start_signal: Option<oneshot::Receiver<()>>,
    /// Whether the run has got its [`Slot`], which is released when that is dropped, not this.
    started: bool,
}

/// A slot of a run. Dropping it lets the next run start.
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

    /// Returns the numbers of running and of waiting runs.
    pub(super) fn counts(&self) -> (usize, usize) {
        let places = self.places();
        (places.running, places.waiting.len())
    }

    /// Adds a run to the queue. Returns `None` if the queue is full.
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

    /// Passes the slot of a run that has ended to the next waiting run.
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
    /// Waits for a slot.
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
        // If the run is no longer in the queue, it has a slot.
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
