use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use toucanchute_proto::{Incarnation, Millis};

/// Frames held for one peer; further ones are dropped.
const MAX_FRAMES_PER_PEER: usize = 256;

/// Time after which a frame is of no use any more: its sender has asked again or elsewhere.
const MAX_FRAME_AGE: Millis = Millis(1_000);

/// Frames for peers whose link is being opened.
///
/// Some are sent only once, such as an account that is handed over.
#[derive(Debug, Default)]
pub(super) struct PendingFrames {
    frames: BTreeMap<Incarnation, VecDeque<(Millis, Bytes)>>,
}

impl PendingFrames {
    /// Holds a frame; returns false if there are too many.
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

    /// Takes the frames for a peer whose link is open now, in the order in which they were sent.
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
