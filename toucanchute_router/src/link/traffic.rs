use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the frames in one direction on all links, and of their bytes without the framing of
/// the layers below.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    /// Counts one frame of `len` bytes.
    pub(super) fn count(&self, len: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    /// Returns the numbers of frames and bytes.
    pub(super) fn read(&self) -> (u64, u64) {
        (
            self.frames.load(Ordering::Relaxed),
            self.bytes.load(Ordering::Relaxed),
        )
    }
}

/// Traffic on all links since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkCounts {
    /// Number of peers with an open link.
    pub(crate) peers: usize,
    /// Number of frames sent, and number of their bytes.
    pub(crate) sent: (u64, u64),
    /// Number of frames received, and number of the bytes of their messages.
    pub(crate) received: (u64, u64),
}
