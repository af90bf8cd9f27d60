use bytes::{Buf, Bytes, BytesMut};

use crate::sse::MAX_EVENT_BYTES;

/// Splits the bytes of an event stream into complete events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that were searched and contain no end of an event.
    searched_len: usize,
    /// Whether any bytes were received.
    used: bool,
}

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) bytes: Bytes,
    pub(super) id: Option<u64>,
}

impl EventSplitter {
    /// Adds received bytes.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.used |= !data.is_empty();
        self.buf.extend_from_slice(data);
    }

    /// Whether the buffered bytes of the incomplete event exceed the size limit.
    pub(super) fn is_too_large(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Whether no bytes were received.
    pub(super) fn is_unused(&self) -> bool {
        !self.used
    }

    /// Whether bytes of an incomplete event are buffered.
    pub(super) fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the next complete event.
    pub(super) fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.copy_to_bytes(end);
        self.searched_len = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the position after the first empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched_len.saturating_sub(3);
        for at in from..self.buf.len() {
            let rest = &self.buf[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.searched_len = self.buf.len();
        None
    }
}

/// Reads the identifier of an event; `None` if it has none or it is not a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&b| b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
