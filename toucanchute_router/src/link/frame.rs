use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use toucanchute_log::HybridTimestamp;
use toucanchute_proto::{
    Incarnation,
    peer::{FrameHeader, FrameKind},
};

use super::error::LinkError;

/// Version of the protocol between routers. A router ignores frames of unknown kinds only if they
/// have a later version than its own.
pub(crate) const PROTOCOL_VERSION: u16 = 3;

/// A received frame whose message is not decoded yet.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    /// Incarnation of the sending router.
    pub(crate) from: Incarnation,
    /// Reading of the sender's clock that never jumps, in milliseconds since the Unix epoch; 0 if
    /// the sender does not report it.
    pub(crate) steady_ms: u64,
    /// Kind of the message in [`Frame::body`].
    pub(crate) kind: FrameKind,
    /// The message, encoded as one CBOR item.
    body: Bytes,
}

impl Frame {
    /// Decodes the header of a frame and advances the log's clock by the time in it. Returns `None`
    /// for a frame of a later protocol version whose header cannot be decoded, such as one of an
    /// unknown kind.
    pub(crate) fn decode(buf: &Bytes) -> Result<Option<Frame>, LinkError> {
        let mut rest = &buf[..];
        let header: ciborium::Value = decode_item(&mut rest)?;
        let header: FrameHeader = match header.deserialized() {
            Ok(header) => header,
            Err(_) if is_later_version(&header) => return Ok(None),
            Err(e) => {
                return Err(LinkError::Decode {
                    detail: e.to_string(),
                });
            }
        };
        toucanchute_log::observe(HybridTimestamp(header.clock));
        let body = buf.slice(buf.len() - rest.len()..);
        Ok(Some(Frame {
            from: header.from,
            steady_ms: header.steady,
            kind: header.kind,
            body,
        }))
    }

    /// Returns the length of the message, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.body.len()
    }

    /// Decodes the message as type `M`.
    pub(crate) fn message<M: DeserializeOwned>(&self) -> Result<M, LinkError> {
        decode_item(&mut &self.body[..])
    }
}

/// Encodes a frame that carries `message` and this router's clocks.
pub(crate) fn encode<M: Serialize>(from: Incarnation, kind: FrameKind, message: &M) -> Bytes {
    let clock = toucanchute_log::now().0;
    let header = FrameHeader {
        version: PROTOCOL_VERSION,
        clock,
        steady: toucanchute_log::steady_clock_ms(),
        from,
        kind,
    };
    let mut buf = Vec::with_capacity(256);
    let _ = ciborium::into_writer(&header, &mut buf);
    let _ = ciborium::into_writer(message, &mut buf);
    Bytes::from(buf)
}

fn decode_item<M: DeserializeOwned>(buf: &mut &[u8]) -> Result<M, LinkError> {
    ciborium::from_reader(buf).map_err(|e| LinkError::Decode {
        detail: e.to_string(),
    })
}

fn is_later_version(header: &ciborium::Value) -> bool {
    let field = |(key, value): &(ciborium::Value, ciborium::Value)| {
        (key.as_text() == Some("version")).then(|| value.as_integer())
    };
    let version = header.as_map().and_then(|map| map.iter().find_map(field));
    let version = version.flatten().and_then(|v| u64::try_from(v).ok());
    version.is_some_and(|version| version > u64::from(PROTOCOL_VERSION))
}

#[cfg(test)]
mod tests;
