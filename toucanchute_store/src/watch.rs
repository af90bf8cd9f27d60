use tokio::sync::mpsc;
use toucanchute_proto::Millis;

use crate::{Entry, Revision};

/// Updates that a watch holds for a slow receiver; the watch waits when it is full.
const UPDATE_CAPACITY: usize = 256;

/// News of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// A key was written.
    Put(Entry),
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
    /// Each change up to this revision has been told.
    Progress {
        /// Revision of the service.
        revision: Revision,
        /// Time that the service waited before it told that nothing changed; 0 if it did not.
        waited: Millis,
    },
    /// Changes were missed for good: the keys have to be read again.
    Gap {
        /// First revision that was missed.
        from: Revision,
        /// First revision that will be told again.
        until: Revision,
    },
    /// The connection broke off; the watch connects again and goes on without a gap.
    Disconnected,
}

/// Receives the changes of some keys in order of revision; dropping it ends the watch.
#[derive(Debug)]
pub struct Watch {
    rx: mpsc::Receiver<WatchUpdate>,
}

/// Sends the updates of a [`Watch`].
#[derive(Clone, Debug)]
pub struct WatchSender {
    tx: mpsc::Sender<WatchUpdate>,
}

impl Watch {
    /// Creates a watch that is told its updates by the sender.
    #[must_use]
    pub fn channel() -> (WatchSender, Watch) {
        let (tx, rx) = mpsc::channel(UPDATE_CAPACITY);
        (WatchSender { tx }, Watch { rx })
    }

    /// Waits for the next update; `None` once the sender is gone.
    pub async fn next(&mut self) -> Option<WatchUpdate> {
        self.rx.recv().await
    }
}

impl WatchSender {
    /// Tells an update, waiting while the watch holds too many.
    ///
    /// # Errors
    ///
    /// Gives the update back if the watch is gone.
    pub async fn send(&self, update: WatchUpdate) -> Result<(), WatchUpdate> {
        self.tx.send(update).await.map_err(|e| e.0)
    }

    /// Waits until the watch is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}
