use std::sync::atomic::{AtomicU64, Ordering};

/// Frames and bytes on all links since the start, without the framing of the layers below.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    pub(super) fn count(&self, len: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(super) fn read(&self) -> (u64, u64) {
        (
            self.frames.load(Ordering::Relaxed),
            self.bytes.load(Ordering::Relaxed),
        )
    }
}

/// What all links carried since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkCounts {
    /// Peers with an open link.
    pub(crate) peers: usize,
    /// Frames sent and their bytes.
    pub(crate) sent: (u64, u64),
    /// Frames received and their bytes.
    pub(crate) received: (u64, u64),
}
