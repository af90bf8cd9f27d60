use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use toucanchute_proto::{Incarnation, Millis};

/// Maximum number of frames that wait for one peer. Further frames are dropped.
const MAX_FRAMES_PER_PEER: usize = 256;

/// Age at which a frame is dropped: by then its sender has retried or used another router.
const MAX_FRAME_AGE: Millis = Millis(1_000);

/// Frames that wait until a link to their peer is open.
///
/// Without this queue, messages that are sent only once would be lost, such as the handover of an
/// account.
#[derive(Debug, Default)]
pub(super) struct PendingFrames {
    frames: BTreeMap<Incarnation, VecDeque<(Millis, Bytes)>>,
}

impl PendingFrames {
    /// Adds a frame for the peer `to`; returns false if too many frames wait for it.
    pub(super) fn push(&mut self, now: Millis, to: Incarnation, frame: Bytes) -> bool {
        self.frames.retain(|_, frames| {
            frames.retain(|(at, _)| now.since(*at) <= MAX_FRAME_AGE);
            !frames.is_empty()
        });
        let frames = self.frames.entry(to).or_default();
        let has_room = frames.len() < MAX_FRAMES_PER_PEER;
        if has_room {
            frames.push_back((now, frame));
        }
        has_room
    }

    /// Removes and returns the recent frames for the peer `to`, in the order in which they were
    /// added.
    pub(super) fn take(&mut self, now: Millis, to: Incarnation) -> Vec<Bytes> {
        let frames = self.frames.remove(&to).unwrap_or_default();
        let recent = frames
            .into_iter()
            .filter(|(at, _)| now.since(*at) <= MAX_FRAME_AGE);
        recent.map(|(_, frame)| frame).collect()
    }
}

#[cfg(test)]
mod tests;
