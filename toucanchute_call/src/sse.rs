use bytes::{Buf as _, Bytes, BytesMut};

/// One event of a server-sent event stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SseEvent {
    /// Value of `event:`, empty if there is none.
    pub(crate) name: String,
    /// Values of `data:`, joined by line feeds.
    pub(crate) data: Vec<u8>,
}

/// Incremental parser of a server-sent event stream.
#[derive(Debug, Default)]
pub(crate) struct SseReader {
    buf: BytesMut,
}

impl SseReader {
    /// Appends received bytes to the buffer.
    pub(crate) fn push(&mut self, bytes: &Bytes) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub(crate) fn next_event(&mut self) -> Option<SseEvent> {
        let mut event = SseEvent::default();
        let mut start = 0;
        loop {
            let len = self.buf[start..].iter().position(|&b| b == b'\n')?;
            let line = &self.buf[start..start + len];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            start += len + 1;
            if line.is_empty() {
                self.buf.advance(start);
                return Some(event);
            }
            event.add_line(line);
        }
    }
}

impl SseEvent {
    fn add_line(&mut self, line: &[u8]) {
        if let Some(data) = field(line, b"data:") {
            if !self.data.is_empty() {
                self.data.push(b'\n');
            }
            self.data.extend_from_slice(data);
        }
        if let Some(name) = field(line, b"event:") {
            self.name = String::from_utf8_lossy(name).into_owned();
        }
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[cfg(test)]
mod tests;
