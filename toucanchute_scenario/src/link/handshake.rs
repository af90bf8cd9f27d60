//! Handshake of a link between routers: a WebSocket whose first frame names the host of the router
//! that opened it.

use std::io;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
};

/// Maximum number of bytes that are read at once.
const READ_BYTES: usize = 4 << 10;
/// End of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Size of the masking key of a client's frame.
const MASK_BYTES: usize = 4;

/// Forwards the WebSocket handshake. Returns which of `peers` opened the connection, and the bytes
/// that have been read from it but not forwarded.
pub(super) async fn identify_dialer(
    from_dialer: &mut OwnedReadHalf,
    to_dialer: &mut OwnedWriteHalf,
    from_server: &mut OwnedReadHalf,
    to_server: &mut OwnedWriteHalf,
    peers: &[String],
) -> io::Result<(String, Vec<u8>)> {
    let (head, _) = read_head(from_dialer).await?;
    to_server.write_all(&head).await?;
    let (head, remaining) = read_head(from_server).await?;
    to_dialer.write_all(&head).await?;
    to_dialer.write_all(&remaining).await?;
    let mut frame = Vec::new();
    loop {
        if let Some(payload) = unmask_payload(&frame) {
            let is_named = |peer: &&String| contains(&payload, peer.as_bytes());
            let peer = peers.iter().find(is_named).cloned();
            let peer = peer.ok_or(io::ErrorKind::InvalidData)?;
            return Ok((peer, frame));
        }
        read_more(from_dialer, &mut frame).await?;
    }
}

/// Reads the head of an HTTP message. Returns the head and the bytes read after it.
async fn read_head(from: &mut OwnedReadHalf) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut buf = Vec::new();
    loop {
        if let Some(end) = position(&buf, HEAD_END) {
            let remaining = buf.split_off(end + HEAD_END.len());
            return Ok((buf, remaining));
        }
        read_more(from, &mut buf).await?;
    }
}

async fn read_more(from: &mut OwnedReadHalf, buf: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0; READ_BYTES];
    let len = from.read(&mut chunk).await?;
    if len == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    buf.extend_from_slice(&chunk[..len]);
    Ok(())
}

/// Returns the payload of a masked frame of less than 64 KiB, or `None` if the frame is incomplete.
fn unmask_payload(frame: &[u8]) -> Option<Vec<u8>> {
    let short_len = usize::from(*frame.get(1)? & 0x7f);
    let (len, start) = match short_len {
        126 => (
            usize::from(u16::from_be_bytes([*frame.get(2)?, *frame.get(3)?])),
            4,
        ),
        len => (len, 2),
    };
    let mask = frame.get(start..start + MASK_BYTES)?;
    let payload = frame.get(start + MASK_BYTES..start + MASK_BYTES + len)?;
    let bytes = payload.iter().zip(mask.iter().cycle());
    Some(bytes.map(|(b, m)| b ^ m).collect())
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    position(bytes, part).is_some()
}

fn position(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
