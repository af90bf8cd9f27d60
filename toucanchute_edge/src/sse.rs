use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

/// Largest event that is accepted from a model engine, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An error in a stream of server-sent events.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub(crate) enum SseError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is larger than {MAX_EVENT_BYTES} bytes"))]
    EventTooLarge,
}

/// Incremental parser of server-sent events.
///
/// Lines end with LF or CRLF. Comments and all fields but `data` are ignored.
#[derive(Debug, Default)]
pub(crate) struct SseParser {
    /// Received bytes that are not parsed yet.
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that are known to contain no line end.
    scanned: usize,
    /// Data of the current event, whose end has not arrived; `None` before its first data line.
    data: Option<BytesMut>,
}

impl SseParser {
    /// Appends the next bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails once an incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn next_event(&mut self) -> Result<Option<Bytes>, SseError> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if let Some(data) = self.data.take() {
                    return Ok(Some(data.freeze()));
                }
                continue;
            }
            self.parse_field(line);
        }
        let held = self.buf.len() + self.data.as_ref().map_or(0, BytesMut::len);
        if held > MAX_EVENT_BYTES {
            return Err(SseError::EventTooLarge);
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let unscanned = &self.buf[self.scanned..];
        let Some(end) = unscanned.iter().position(|&b| b == b'\n') else {
            self.scanned = self.buf.len();
            return None;
        };
        let mut line = self.buf.split_to(self.scanned + end);
        self.buf.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    fn parse_field(&mut self, mut line: BytesMut) {
        if !line.starts_with(b"data:") {
            return;
        }
        line.advance(b"data:".len());
        if line.first() == Some(&b' ') {
            line.advance(1);
        }
        match &mut self.data {
            None => self.data = Some(line),
            Some(data) => {
                data.extend_from_slice(b"\n");
                data.extend_from_slice(&line);
            }
        }
    }
}

/// Appends an event with `data` to `out`, with one `data` field for each line.
pub(crate) fn write_event(out: &mut BytesMut, data: &[u8]) {
    for line in data.split(|&b| b == b'\n') {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(line);
        out.extend_from_slice(b"\n");
    }
    out.extend_from_slice(b"\n");
}
