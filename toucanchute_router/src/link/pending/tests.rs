use bytes::Bytes;
use toucanchute_proto::{Incarnation, Millis};

use super::{MAX_FRAMES_PER_PEER, PendingFrames};

const PEER: Incarnation = Incarnation(7);

fn frame(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Guards against the loss of accounts that are handed over to a router to which no link is open
/// yet.
#[test]
fn frames_wait_for_their_link_in_order() {
    let mut pending = PendingFrames::default();
    assert!(pending.push(Millis(0), PEER, frame("a")));
    assert!(pending.push(Millis(10), PEER, frame("b")));
    assert!(pending.push(Millis(20), Incarnation(8), frame("c")));
    assert_eq!(pending.take(Millis(300), PEER), [frame("a"), frame("b")]);
    assert!(pending.take(Millis(300), PEER).is_empty());
}

#[test]
fn too_old_frames_are_not_sent() {
    let mut pending = PendingFrames::default();
    pending.push(Millis(0), PEER, frame("a"));
    pending.push(Millis(900), PEER, frame("b"));
    assert_eq!(pending.take(Millis(1_500), PEER), [frame("b")]);
}

#[test]
fn number_of_pending_frames_is_limited() {
    let mut pending = PendingFrames::default();
    for _ in 0..MAX_FRAMES_PER_PEER {
        assert!(pending.push(Millis(0), PEER, frame("a")));
    }
    assert!(!pending.push(Millis(0), PEER, frame("b")));
    // Frames that are too old are dropped and make room.
    assert!(pending.push(Millis(1_100), PEER, frame("c")));
}
