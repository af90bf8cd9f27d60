use tokio::sync::mpsc;
use toucanchute_proto::Millis;

use crate::{Entry, Revision};

/// Number of updates that a watch buffers for a slow receiver. The sender waits when the buffer is
/// full.
const UPDATE_CAPACITY: usize = 256;

/// Change or status that a watch reports.
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
    /// All changes up to and including this revision have been reported.
    Progress {
        /// Revision of the service.
        revision: Revision,
        /// How long the service waited for changes before it reported that there were none; 0 if it
        /// did not wait.
        waited: Millis,
    },
    /// Changes are lost to this watch. The receiver must read the keys again.
    Gap {
        /// First revision whose changes are lost.
        from: Revision,
        /// First revision from which on changes are reported again.
        until: Revision,
    },
    /// The connection was lost. The watch reconnects and reports a [`WatchUpdate::Gap`] if changes
    /// are lost.
    Disconnected,
}

/// Receiver of the changes of the watched keys, in order of revision. Dropping it ends the watch.
#[derive(Debug)]
pub struct Watch {
    rx: mpsc::Receiver<WatchUpdate>,
}

/// Sender of the updates that a [`Watch`] receives.
#[derive(Clone, Debug)]
pub struct WatchSender {
    tx: mpsc::Sender<WatchUpdate>,
}

impl Watch {
    /// Creates a watch and the sender of its updates.
    #[must_use]
    pub fn channel() -> (WatchSender, Watch) {
        let (tx, rx) = mpsc::channel(UPDATE_CAPACITY);
        (WatchSender { tx }, Watch { rx })
    }

    /// Waits for the next update. Returns `None` when all senders have been dropped.
    pub async fn next(&mut self) -> Option<WatchUpdate> {
        self.rx.recv().await
    }
}

impl WatchSender {
    /// Sends an update, waiting while the buffer of the watch is full.
    ///
    /// # Errors
    ///
    /// Returns the update if the [`Watch`] has been dropped.
    pub async fn send(&self, update: WatchUpdate) -> Result<(), WatchUpdate> {
        self.tx.send(update).await.map_err(|e| e.0)
    }

    /// Waits until the [`Watch`] has been dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}
