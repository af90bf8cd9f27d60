use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Places for runs at the same time, and the queue before them, highest priority first.
#[derive(Clone, Debug)]
pub(super) struct Batch(Arc<Mutex<Places>>);

#[derive(Debug)]
struct Places {
    capacity: usize,
    queue: usize,
    running: usize,
    /// Order of arrival of the latest.
    arrivals: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<()>>,
}

/// A place in the queue.
#[derive(Debug)]
pub(super) struct Ticket {
    batch: Batch,
    key: (Reverse<u8>, u64),
    /// Resolves when the run may start; `None` if it may at once.
    turn: Option<oneshot::Receiver<()>>,
    /// Whether dropping it gives up a place.
    started: bool,
}

/// A place of a run; dropping it lets the next one start.
#[derive(Debug)]
pub(super) struct Slot(Batch);

impl Batch {
    pub(super) fn new(capacity: usize, queue: usize) -> Batch {
        Batch(Arc::new(Mutex::new(Places {
            capacity,
            queue,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        })))
    }

    fn places(&self) -> MutexGuard<'_, Places> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of runs and of those waiting.
    pub(super) fn size(&self) -> (usize, usize) {
        let places = self.places();
        (places.running, places.waiting.len())
    }

    /// Enters the queue; `None` if it is full.
    pub(super) fn enter(&self, priority: u8) -> Option<Ticket> {
        let mut places = self.places();
        places.arrivals += 1;
        let key = (Reverse(priority), places.arrivals);
        let turn = if places.running < places.capacity {
            places.running += 1;
            None
        } else if places.waiting.len() < places.queue {
            let (tx, rx) = oneshot::channel();
            places.waiting.insert(key, tx);
            Some(rx)
        } else {
            return None;
        };
        Some(Ticket {
            batch: self.clone(),
            key,
            turn,
            started: false,
        })
    }

    /// Gives the place of a run that ended to the next in the queue.
    fn leave(&self) {
        let mut places = self.places();
        while let Some((_, tx)) = places.waiting.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
        places.running -= 1;
    }
}

impl Ticket {
    /// Waits for a place.
    pub(super) async fn wait(mut self) -> Slot {
        if let Some(turn) = &mut self.turn {
            let _ = turn.await;
        }
        self.started = true;
        Slot(self.batch.clone())
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.started {
            return;
        }
        let removed = self.batch.places().waiting.remove(&self.key);
        // The place was given to this ticket if it is no longer waiting.
        if removed.is_none() {
            self.batch.leave();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.leave();
    }
}
